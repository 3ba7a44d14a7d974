package stream

import (
	"context"
	"time"
)

// Name is the name of one stream of the platform's log.
type Name string

// Offset is the position of a record in its stream, from 0.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// Time is the log's own clock when the record was appended; it never
	// decreases along a stream.
	AppendedAt time.Time `json:"time"`
	Payload    []byte    `json:"payload"`
}

// Batch is what one read returns.
type Batch struct {
	// First is the offset of the oldest record still kept; it equals Next if
	// none is.
	FirstOffset Offset `json:"first"`
	// Next is the offset that the next append will get, as the reader saw it.
	NextOffset Offset `json:"next"`
	// Records are consecutive and start at the asked offset, or at First if
	// that is later.
	Records []Record `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. An error does not prove that
	// the record is not in the stream.
	Append(ctx context.Context, name Name, payload []byte) (Offset, error)
	// Read returns records from the given offset on, at most max of them. If
	// there are none it waits up to the given time for one.
	Read(ctx context.Context, name Name, from Offset, max int, wait time.Duration) (Batch, error)
}
