package stream

import "sync/atomic"

// Cursor is the position of a fold that needs nothing of expired records: it
// has the Next and Skip of a Fold. Its zero value stands at the stream's start.
type Cursor struct {
	next    atomic.Uint64
	skipped atomic.Bool
}

// Next is the offset of the next record to read.
func (c *Cursor) Next() Offset {
	return Offset(c.next.Load())
}

// Skip passes over the records before the given offset, which have expired.
func (c *Cursor) Skip(first Offset) error {
	c.next.Store(max(c.next.Load(), uint64(first)))
	c.skipped.Store(true)
	return nil
}

// Skipped reports whether records expired unread.
func (c *Cursor) HasSkipped() bool {
	return c.skipped.Load()
}

// Advance moves past a record that was folded.
func (c *Cursor) Advance(rec Record) {
	c.next.Store(uint64(rec.Offset) + 1)
}
