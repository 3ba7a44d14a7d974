package backup

import (
	"cmp"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/replica"
)

// maxSnapshotBytes is the maximum length of a decoded snapshot.
const maxSnapshotBytes = 8 << 20

// Snapshot is a topic as a node held it.
type Snapshot struct {
	Topic replica.Topic `cbor:"1,keyasint"`
	// EndOffset is the offset before which the node held all records, in Epoch.
	EndOffset replica.Offset `cbor:"2,keyasint"`
	Epoch     replica.Epoch  `cbor:"3,keyasint"`
	// Digest is the digest of the node's copy.
	Digest  replica.Digest   `cbor:"4,keyasint"`
	Records []replica.Record `cbor:"5,keyasint,omitempty"`
}

// Compare returns a negative number if s is earlier than other, a positive one if it is
// later, and 0 if both end at the same position of the topic.
func (s Snapshot) Compare(other Snapshot) int {
	return cmp.Or(cmp.Compare(s.Epoch, other.Epoch), cmp.Compare(s.EndOffset, other.EndOffset))
}

// Encode returns the snapshot as compressed CBOR.
func (s Snapshot) Encode() []byte {
	return s2.Encode(nil, codec.Encode(s))
}

// Decode decodes a snapshot of a topic. It returns an error if the value is malformed, too
// long or of another topic.
func Decode(t replica.Topic, value []byte) (s Snapshot, err error) {
	defer func() { err = eris.Wrapf(err, "decode a snapshot of %s", t) }()
	n, err := s2.DecodedLen(value)
	if err != nil {
		return Snapshot{}, err
	}
	if n > maxSnapshotBytes {
		return Snapshot{}, eris.Errorf("%d bytes are too many", n)
	}
	b, err := s2.Decode(nil, value)
	if err != nil {
		return Snapshot{}, err
	}
	if err := codec.DecodeAnyText(b, &s); err != nil {
		return Snapshot{}, err
	}
	if s.Topic != t {
		return Snapshot{}, eris.Errorf("it holds topic %s", s.Topic)
	}
	for _, r := range s.Records {
		if r.Topic != t {
			return Snapshot{}, eris.Errorf("a record is of topic %s", r.Topic)
		}
	}
	return s, nil
}
