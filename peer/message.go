package peer

import (
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

const (
	// maxMessageBytes bounds a message before it is decoded.
	maxMessageBytes = 2 << 20
	// maxObservations and maxEntries bound what one message may carry.
	maxObservations = 1024
	maxEntries      = 4096
	// partRecords and partBytes bound the records that travel in one message, by
	// number and by the bytes of their keys and values: a large fleet's do not fit in
	// one.
	partRecords = 1024
	partBytes   = 512 << 10
	// compressFrom is the length from which messages are compressed, in bytes: what
	// is shorter gains little.
	compressFrom = 512
	// compressed is the first byte of a compressed message. No CBOR map, and so no
	// other message, begins with it.
	compressed = 0
)

// Observation is what a node saw of a target lately.
type Observation struct {
	Service  service.Name    `cbor:"1,keyasint"`
	ID       vm.ID           `cbor:"2,keyasint"`
	Instance target.Instance `cbor:"3,keyasint"`
	State    target.State    `cbor:"4,keyasint"`
	// Age is how long ago it was seen, in milliseconds.
	AgeMillis uint32 `cbor:"5,keyasint"`
}

// Withdrawal is an operator's temporary withdrawal of an availability zone,
// which spreads between nodes while the log is away. It can only take work
// away, and ends by itself.
type Withdrawal struct {
	Zone zone.Name `cbor:"1,keyasint"`
	// ID names the withdrawal, so that its end can be told from another one.
	ID string `cbor:"2,keyasint"`
	// Left is how long it was still to last, in milliseconds.
	RemainingMillis uint32 `cbor:"3,keyasint"`
	// Ended says that an operator ended it before its time.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Hold asks a node to take over no right to cold targets for a while.
type HoldRequest struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// Held is the answer to a Hold: the promise, and what the node sees of the
// membership.
type HoldGrant struct {
	Nonce    uint64             `cbor:"1,keyasint"`
	From     member.Incarnation `cbor:"2,keyasint"`
	ViewHash member.ViewHash    `cbor:"3,keyasint"`
}

// Message is all that nodes say to each other; unknown fields of newer versions
// are passed over.
type Message struct {
	Entries      []member.Entry `cbor:"1,keyasint,omitempty"`
	Observations []Observation  `cbor:"2,keyasint,omitempty"`
	WantConfig   bool           `cbor:"3,keyasint,omitempty"`
	Config       []byte         `cbor:"4,keyasint,omitempty"`
	Withdrawals  []Withdrawal   `cbor:"5,keyasint,omitempty"`
	HoldRequest  *HoldRequest   `cbor:"6,keyasint,omitempty"`
	HoldGrant    *HoldGrant     `cbor:"7,keyasint,omitempty"`
	// Records are records of the platform's store, and Marks how far and how
	// lately it was read.
	Records []replica.Record   `cbor:"8,keyasint,omitempty"`
	Marks   []replica.ReadMark `cbor:"9,keyasint,omitempty"`
	// Nodes are the entry nodes that the sender knows of.
	Nodes []vm.VM `cbor:"10,keyasint,omitempty"`
	// Sender is who speaks, first on each link; WantRecords asks for all records.
	Sender      *vm.VM `cbor:"11,keyasint,omitempty"`
	WantRecords bool   `cbor:"12,keyasint,omitempty"`
	// Known is how many nodes the sender knows of, with Sender.
	KnownNodeCount int `cbor:"13,keyasint,omitempty"`
}

// Split returns messages that say the same in turn, each with as many records as one
// may carry; all else goes with the last, so that marks come after what they stand
// for.
func (m Message) Split() (parts []Message) {
	records, size, from := m.Records, 0, 0
	for i, r := range records {
		length := len(r.Key) + len(r.Value)
		if i > from && (i-from == partRecords || size+length > partBytes) {
			parts = append(parts, Message{Records: records[from:i]})
			size, from = 0, i
		}
		size += length
	}
	m.Records = records[from:]
	return append(parts, m)
}

// Encode returns the message as bytes, compressed if it is long: a whole
// configuration has hundreds of kilobytes, which shrink to a tenth.
func (m Message) Encode() []byte {
	b := codec.Encode(m)
	if len(b) < compressFrom {
		return b
	}
	out := make([]byte, 1+s2.MaxEncodedLen(len(b)))
	out[0] = compressed
	return out[:1+len(s2.Encode(out[1:], b))]
}

// expand undoes the compression of Encode.
func expand(b []byte) (expanded []byte, err error) {
	if len(b) == 0 || b[0] != compressed {
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

// Decode reads a message and checks its bounds.
func Decode(b []byte) (m Message, err error) {
	defer func() { err = eris.Wrap(err, "decode a peer message") }()
	if len(b) > maxMessageBytes {
		return Message{}, eris.Errorf("%d bytes are too many", len(b))
	}
	if b, err = expand(b); err != nil {
		return Message{}, err
	}
	if err := codec.Decode(b, &m); err != nil {
		return Message{}, err
	}
	if len(m.Observations) > maxObservations || len(m.Entries) > maxEntries || len(m.Withdrawals) > maxObservations || len(m.Records) > maxEntries || len(m.Nodes) > maxEntries {
		return Message{}, eris.New("a list is too long")
	}
	return m, nil
}

// AgeOf returns a duration as the age of a word.
func Milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, 1<<31))
}
