package replica

import (
	"cmp"
	"time"
)

// ReadMark is the progress of a reader: the offset before which it had read all
// records of a topic, and the time of that read.
type ReadMark struct {
	Topic     Topic  `cbor:"1,keyasint"`
	EndOffset Offset `cbor:"2,keyasint"`
	// AgeMillis is the time since that read, in milliseconds.
	AgeMillis uint32 `cbor:"3,keyasint"`
	// Reader identifies the node that read the store.
	Reader ReaderID `cbor:"4,keyasint"`
	// Digest is the digest of the reader's copy at that time.
	Digest Digest `cbor:"5,keyasint"`
	// Epoch is the epoch of EndOffset.
	Epoch Epoch `cbor:"6,keyasint,omitempty"`
}

// ReaderID identifies a node that reads the store, by the incarnation of its
// process. If several nodes read at the same time, only the one with the lowest ID
// continues.
type ReaderID uint64

// CompareDigest records the digest of a reader that has read as far as this copy or
// further, and reports whether that of the copy is the same.
func (c *Copy) CompareDigest(m ReadMark) bool {
	m.Epoch = cmp.Or(m.Epoch, c.epoch)
	c.readerMark = &m
	c.updateComplete()
	return m.Digest == c.digest
}

// updateComplete notes that the copy is complete if its digest equals that of a reader.
func (c *Copy) updateComplete() {
	m := c.readerMark
	if m == nil || m.Epoch != c.epoch || m.Digest != c.digest {
		return
	}
	c.hasBeenComplete, c.needsListing = true, false
	c.heldOffset = max(c.heldOffset, m.EndOffset)
}

// IsCurrent reports whether the copy holds all records that the last reader had read.
func (c *Copy) IsCurrent() bool {
	return !c.needsListing && c.heldOffset >= c.endOffset
}

// minMarkAdvance is the difference in time from which a mark with an unchanged end
// counts as later. A mark that returns through peers appears slightly later than it
// was, as its age leaves out the time in transit.
const minMarkAdvance = 200 * time.Millisecond

// AdvanceReadMark records that a reader had read all records before the end of a mark
// at time at. It reports whether that advanced the mark of the copy: by a newer epoch,
// a higher end, a time later by minMarkAdvance, or a reader with a lower ID. A mark is
// ignored if its end is before the recorded end or its time is more than minMarkAdvance
// before the recorded time.
func (c *Copy) AdvanceReadMark(m ReadMark, at time.Time) bool {
	if c.IsBefore(m) {
		return false
	}
	c.BeginEpoch(m.Epoch)
	behind := c.readAt.Sub(at)
	if behind > minMarkAdvance {
		return false
	}
	if c.hasMark && m.EndOffset == c.endOffset && behind > -minMarkAdvance && m.Reader >= c.lastReader {
		return false
	}
	c.endOffset, c.lastReader, c.hasMark = m.EndOffset, m.Reader, true
	if at.After(c.readAt) {
		c.readAt = at
	}
	return true
}

// FinishRead records that this node has read and merged all records before the end of a
// mark at time at, and reports like AdvanceReadMark.
func (c *Copy) FinishRead(m ReadMark, at time.Time) bool {
	c.BeginEpoch(m.Epoch)
	if cmp.Or(m.Epoch, c.epoch) == c.epoch {
		c.heldOffset, c.needsListing = max(c.heldOffset, m.EndOffset), false
	}
	return c.AdvanceReadMark(m, at)
}

// IsBefore reports whether the end of a mark is before the end that was already read.
func (c *Copy) IsBefore(m ReadMark) bool {
	epoch := cmp.Or(m.Epoch, c.epoch)
	return epoch < c.epoch || epoch == c.epoch && m.EndOffset < c.endOffset
}

// LastReader returns the reader of the last recorded read.
func (c *Copy) LastReader() ReaderID {
	return c.lastReader
}

// ReadPosition returns the offset before which the copy holds all records, and when the
// store was last read.
func (c *Copy) ReadPosition() (held Offset, at time.Time) {
	return c.heldOffset, c.readAt
}

// MarkedEnd returns how far the last reader had read.
func (c *Copy) MarkedEnd() Offset {
	return c.endOffset
}
