package stream

import "sync/atomic"

// Cursor is the position of a reader in a stream. It implements Next and Skip of
// Applier for readers that do not need expired records. The zero value is at the
// start of the stream.
type Cursor struct {
	next    atomic.Uint64
	skipped atomic.Bool
}

// Next returns the offset of the next record to read.
func (c *Cursor) Next() Offset {
	return Offset(c.next.Load())
}

// Skip advances past the records before the given offset, which have expired.
func (c *Cursor) Skip(first Offset) error {
	c.next.Store(max(c.next.Load(), uint64(first)))
	c.skipped.Store(true)
	return nil
}

// HasSkipped reports whether Skip was called, that is, whether records expired unread.
func (c *Cursor) HasSkipped() bool {
	return c.skipped.Load()
}

// Advance moves past a record that was applied.
func (c *Cursor) Advance(rec Record) {
	c.next.Store(uint64(rec.Offset) + 1)
}
