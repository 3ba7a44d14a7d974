package stream

import (
	"context"
	"time"
)

// Name identifies one stream of the log.
type Name string

// Offset is the position of a record in its stream, from 0.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// AppendedAt is the time of the append by the clock of the log; it never decreases
	// along a stream.
	AppendedAt time.Time `json:"time"`
	Payload    []byte    `json:"payload"`
}

// Batch is the result of one read.
type Batch struct {
	// FirstOffset is the offset of the oldest record kept, or NextOffset if none
	// is kept.
	FirstOffset Offset `json:"first"`
	// NextOffset is the offset of the next append, at the time of the read; it may be
	// stale.
	NextOffset Offset `json:"next"`
	// Records are consecutive and start at the requested offset, or at
	// FirstOffset if that is later.
	Records []Record `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// still be in the stream.
	Append(ctx context.Context, name Name, payload []byte) (Offset, error)
	// Read returns at most max records from the given offset on. If there are
	// none, it waits for one up to the given time.
	Read(ctx context.Context, name Name, from Offset, max int, wait time.Duration) (Batch, error)
}
