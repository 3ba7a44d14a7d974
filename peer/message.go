package peer

import (
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes is the maximum length of a message, compressed and decompressed,
	// checked before it is decoded.
	maxMessageBytes = 2 << 20
	// maxObservations limits the number of observations, of rate limits and of
	// withdrawals in a message, maxEntries that of entries, of records and of nodes.
	maxObservations = 1024
	maxEntries      = 4096
	// maxPartRecords and maxPartBytes limit the records in one message by number and
	// by the bytes of their keys and values. The records of a large fleet need
	// several messages.
	maxPartRecords = 1024
	maxPartBytes   = 512 << 10
	// compressMinBytes is the length from which messages are compressed. Shorter ones
	// gain little.
	compressMinBytes = 512
	// compressedPrefix is the first byte of a compressed message. No CBOR map, and so
	// no uncompressed message, begins with it.
	compressedPrefix = 0
)

// Observation is a node's recent observation of the state of a target.
type Observation struct {
	Service  service.Name    `cbor:"1,keyasint"`
	ID       vm.ID           `cbor:"2,keyasint"`
	Instance target.Instance `cbor:"3,keyasint"`
	State    target.State    `cbor:"4,keyasint"`
	// AgeMillis is the time since the observation, in milliseconds.
	AgeMillis uint32 `cbor:"5,keyasint"`
}

// TargetLimit is the rate limit that a target has named to the sender, or its end.
type TargetLimit struct {
	Service service.Name `cbor:"1,keyasint"`
	ID      vm.ID        `cbor:"2,keyasint"`
	// Incarnation is that of the target's process; zero if unknown.
	Incarnation int64      `cbor:"3,keyasint,omitempty"`
	PerSecond   quota.Rate `cbor:"4,keyasint"`
	// Ended reports whether the target names no limit any more.
	Ended bool `cbor:"5,keyasint,omitempty"`
	// OnLoadQueries reports whether responses to load queries name the limit too.
	OnLoadQueries bool `cbor:"6,keyasint,omitempty"`
	// AgeMillis is the time since the target's response, in milliseconds.
	AgeMillis uint32 `cbor:"7,keyasint"`
}

// Withdrawal is an operator's temporary withdrawal of an availability zone. It
// spreads from node to node, so that it works while the platform's log is
// unavailable. It can only remove work from a zone, and expires without further
// action.
type Withdrawal struct {
	Zone zone.Name `cbor:"1,keyasint"`
	// ID identifies the withdrawal, so that ending it does not end another one.
	ID string `cbor:"2,keyasint"`
	// RemainingMillis is the remaining time when the message was sent, in milliseconds.
	RemainingMillis uint32 `cbor:"3,keyasint"`
	// Ended marks a withdrawal that an operator ended before it expired.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// HoldRequest asks a node to grant a hold: for a limited time it takes over no
// cold-start lease. Nonce identifies the request.
type HoldRequest struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// HoldGrant grants the HoldRequest with the same nonce. From is the granting node, and
// ViewHash is the hash of its live members.
type HoldGrant struct {
	Nonce    uint64             `cbor:"1,keyasint"`
	From     member.Incarnation `cbor:"2,keyasint"`
	ViewHash member.ViewHash    `cbor:"3,keyasint"`
}

// Message is the only type of message between nodes. Decode ignores unknown fields
// from newer versions.
type Message struct {
	Entries      []member.Entry `cbor:"1,keyasint,omitempty"`
	Observations []Observation  `cbor:"2,keyasint,omitempty"`
	// WantConfig requests the peer's whole configuration, which Config carries.
	WantConfig  bool         `cbor:"3,keyasint,omitempty"`
	Config      []byte       `cbor:"4,keyasint,omitempty"`
	Withdrawals []Withdrawal `cbor:"5,keyasint,omitempty"`
	HoldRequest *HoldRequest `cbor:"6,keyasint,omitempty"`
	HoldGrant   *HoldGrant   `cbor:"7,keyasint,omitempty"`
	// Records are records of the platform's store. Marks state up to which offset and
	// how long ago the store was read.
	Records []replica.Record   `cbor:"8,keyasint,omitempty"`
	Marks   []replica.ReadMark `cbor:"9,keyasint,omitempty"`
	// Nodes are entry nodes in the sender's table, all or only new ones.
	Nodes []vm.VM `cbor:"10,keyasint,omitempty"`
	// Sender is the sending node, in messages with its state. WantRecords requests all
	// records.
	Sender      *vm.VM `cbor:"11,keyasint,omitempty"`
	WantRecords bool   `cbor:"12,keyasint,omitempty"`
	// KnownNodeCount is the number of nodes in the sender's table, sent together with
	// Sender.
	KnownNodeCount int `cbor:"13,keyasint,omitempty"`
	// Limits are rate limits that targets have named to the sender.
	Limits []TargetLimit `cbor:"14,keyasint,omitempty"`
	// Left are nodes that have begun a planned stop.
	Left []vm.ID `cbor:"15,keyasint,omitempty"`
	// Suspects are requests that may end the targets that run them.
	Suspects []Suspect `cbor:"16,keyasint,omitempty"`
	// Alive are processes of targets that were taken for ended and have responded since.
	Alive []SuspectEnd `cbor:"17,keyasint,omitempty"`
	// Rollouts are states and samples of roll-outs.
	Rollouts []rollout.Report `cbor:"18,keyasint,omitempty"`
}

// Split divides the message into parts with at most maxPartRecords records and
// maxPartBytes bytes of keys and values each. All other fields are in the last part,
// so that marks arrive after the records that they cover. A record longer than
// maxPartBytes has a part of its own.
func (m Message) Split() (parts []Message) {
	records, partBytes, start := m.Records, 0, 0
	for i, r := range records {
		recordBytes := len(r.Key) + len(r.Value)
		if i > start && (i-start == maxPartRecords || partBytes+recordBytes > maxPartBytes) {
			parts = append(parts, Message{Records: records[start:i]})
			partBytes, start = 0, i
		}
		partBytes += recordBytes
	}
	m.Records = records[start:]
	return append(parts, m)
}

// Encode returns the message as CBOR, compressed if it is long: a whole configuration
// has hundreds of kilobytes and compresses to a tenth.
func (m Message) Encode() []byte {
	b := codec.Encode(m)
	if len(b) < compressMinBytes {
		return b
	}
	compressed := make([]byte, 1+s2.MaxEncodedLen(len(b)))
	compressed[0] = compressedPrefix
	return compressed[:1+len(s2.Encode(compressed[1:], b))]
}

// decompress reverses the compression of Encode. It fails if the result would be
// longer than maxMessageBytes.
func decompress(b []byte) (decompressed []byte, err error) {
	if len(b) == 0 || b[0] != compressedPrefix {
		return b, nil
	}
	n, err := s2.DecodedLen(b[1:])
	if err != nil {
		return nil, err
	}
	if n > maxMessageBytes {
		return nil, eris.Errorf("%d bytes are too many", n)
	}
	return s2.Decode(nil, b[1:])
}

// Decode decodes a message. It fails if the message is malformed, or if the message
// or one of its lists is too long.
func Decode(b []byte) (m Message, err error) {
	defer func() { err = eris.Wrap(err, "decode a peer message") }()
	if len(b) > maxMessageBytes {
		return Message{}, eris.Errorf("%d bytes are too many", len(b))
	}
	if b, err = decompress(b); err != nil {
		return Message{}, err
	}
	if err := codec.DecodeAnyText(b, &m); err != nil {
		return Message{}, err
	}
	if len(m.Observations) > maxObservations || len(m.Limits) > maxObservations || len(m.Entries) > maxEntries || len(m.Withdrawals) > maxObservations || len(m.Records) > maxEntries || len(m.Nodes) > maxEntries || len(m.Left) > maxEntries || len(m.Suspects) > maxEntries || len(m.Alive) > maxEntries || rollout.SampleCount(m.Rollouts) > maxEntries {
		return Message{}, eris.New("a list is too long")
	}
	return m, nil
}

// Milliseconds returns a duration in milliseconds, clamped to the range from 0 to
// 1<<31, the form of ages and remaining times in messages.
func Milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, 1<<31))
}
