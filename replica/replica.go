package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Topic is a group of records in the store. A node keeps one Copy of each.
type Topic uint8

// Operator and Targets are the topics.
const (
	// Operator has the configuration and the zones that are out of service.
	Operator Topic = iota
	// Targets has the records that targets publish about themselves.
	Targets
	// TopicCount is the number of topics.
	TopicCount
)

// String returns the name of the topic, or "invalid".
func (t Topic) String() string {
	return [...]string{"operator", "targets", "invalid"}[min(t, TopicCount)]
}

// Offset is the position of a record in the store's log, from 0.
type Offset uint64

// Record is a value of a key in the store, or the deletion of the key.
type Record struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
	Offset Offset `cbor:"4,keyasint"`
	// Deleted marks the deletion of the key.
	Deleted bool `cbor:"5,keyasint,omitempty"`
}

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
}

// Digest is a hash of the significant content of a topic's records. Copies with
// equal content have equal digests, independent of the order of arrival.
type Digest uint64

// ReaderID identifies a node that reads the store, by the incarnation of its
// process. If several nodes read at the same time, only the one with the lowest ID
// continues.
type ReaderID uint64

// Content is the part of a value by which copies compare it.
type Content struct {
	// Significant is the part of the value that is compared. Values that differ only
	// outside of it count as equal.
	Significant []byte
	// WriterEpoch orders the processes that write the key, with higher numbers for
	// later processes: a late record of an earlier process is ignored. Zero means that
	// the value has no such order.
	WriterEpoch int64
}

// Rules configures how the values of a topic are compared. The zero value compares
// whole values.
type Rules struct {
	// ParseContent extracts the content of a value.
	ParseContent func(value []byte) Content
}

// storedRecord is a record with data derived from its value.
type storedRecord struct {
	Record
	writerEpoch     int64  // Content.WriterEpoch of the value
	significantHash Digest // recordHash of Content.Significant; 0 if deleted
}

// Copy is a node's copy of one topic. Its zero value is empty. It is not safe for
// concurrent use.
type Copy struct {
	Rules Rules

	records    map[string]storedRecord
	endOffset  Offset    // all records before it have been read
	readAt     time.Time // time of that read
	lastReader ReaderID
	digest     Digest
	// readerDigest is the last digest passed to SetReaderDigest, or nil.
	readerDigest    *Digest
	hasBeenComplete bool // see HasBeenComplete; never reset
}

// Merge merges records and returns those that changed significant content.
func (c *Copy) Merge(records []Record) (changed []Record) {
	for _, r := range records {
		if c.merge(r) {
			changed = append(changed, r)
		}
	}
	c.updateComplete()
	return changed
}

// SetReaderDigest records the digest of a reader that has read as far as this copy or
// further.
func (c *Copy) SetReaderDigest(d Digest) {
	c.readerDigest = &d
	c.updateComplete()
}

// updateComplete sets hasBeenComplete if the digest equals that of a reader.
func (c *Copy) updateComplete() {
	c.hasBeenComplete = c.hasBeenComplete || c.readerDigest != nil && *c.readerDigest == c.digest
}

// HasBeenComplete reports whether the copy was complete at some time: it merged a
// whole listing of the store, or its digest was equal to that of a reader.
func (c *Copy) HasBeenComplete() bool {
	return c.hasBeenComplete
}

// merge applies one record and reports whether it changed significant content.
func (c *Copy) merge(r Record) bool {
	if c.records == nil {
		c.records = map[string]storedRecord{}
	}
	before, exists := c.records[r.Key]
	if exists && r.Offset <= before.Offset {
		return false
	}
	after := before
	after.Record = r
	if r.Deleted {
		// The value and its writerEpoch are kept, so that a late record of an earlier
		// process is recognised.
		after.Value, after.significantHash = before.Value, 0
	} else {
		content := c.parseContent(r.Value)
		if content.WriterEpoch != 0 && content.WriterEpoch < before.writerEpoch {
			return false
		}
		after.writerEpoch, after.significantHash = content.WriterEpoch, recordHash(r.Key, content.Significant)
	}
	c.records[r.Key] = after
	c.digest ^= before.significantHash ^ after.significantHash
	return before.significantHash != after.significantHash
}

// parseContent applies Rules.ParseContent, or treats all of the value as significant.
func (c *Copy) parseContent(value []byte) Content {
	if c.Rules.ParseContent == nil {
		return Content{Significant: value}
	}
	return c.Rules.ParseContent(value)
}

// recordHash returns the contribution of a record to the digest. Deleted records
// contribute nothing.
func recordHash(key string, significant []byte) Digest {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(significant)
	return Digest(d.Sum64())
}

// Digest returns the digest of the copy.
func (c *Copy) Digest() Digest {
	return c.digest
}

// MergeListing merges a whole listing of the store, which has the newest record before
// end of every key, and returns the records that changed significant content.
// Keys of the copy that the listing lacks are deleted as of end-1, except those
// with a record at end-1 or later. Nothing is deleted if end is 0 or before the end
// that was already read.
func (c *Copy) MergeListing(records []Record, end Offset) (changed []Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	changed = c.Merge(records)
	c.hasBeenComplete = true
	if end == 0 || end < c.endOffset {
		return changed
	}
	for key, stored := range c.records {
		if listed[key] || stored.Deleted || stored.Offset >= end-1 {
			continue
		}
		deletion := Record{Topic: stored.Topic, Key: key, Offset: end - 1, Deleted: true}
		if c.merge(deletion) {
			changed = append(changed, deletion)
		}
	}
	return changed
}

// minMarkAdvance is the difference in time from which a mark with an unchanged end
// counts as later. A mark that returns through peers appears slightly later than it
// was, as its age leaves out the time in transit.
const minMarkAdvance = 200 * time.Millisecond

// AdvanceReadMark records that reader by had read all records before end at time at.
// It reports whether that advanced the mark of the copy: by a higher end, a time later
// by minMarkAdvance, or a reader with a lower ID. A mark is ignored if its end is
// before the recorded end or its time is more than minMarkAdvance before the recorded
// time.
func (c *Copy) AdvanceReadMark(end Offset, at time.Time, by ReaderID) bool {
	behind := c.readAt.Sub(at)
	if end < c.endOffset || behind > minMarkAdvance {
		return false
	}
	if end == c.endOffset && behind > -minMarkAdvance && by >= c.lastReader {
		return false
	}
	c.endOffset, c.lastReader = end, by
	if at.After(c.readAt) {
		c.readAt = at
	}
	return true
}

// LastReader returns the reader of the last recorded read.
func (c *Copy) LastReader() ReaderID {
	return c.lastReader
}

// ReadPosition returns the offset before which all records have been read, and the
// time of that read.
func (c *Copy) ReadPosition() (end Offset, at time.Time) {
	return c.endOffset, c.readAt
}

// Each yields the records, including deleted ones, in no particular order.
func (c *Copy) Each(yield func(Record) bool) {
	for _, stored := range c.records {
		if !yield(stored.Record) {
			return
		}
	}
}

// All returns the records, including deleted ones, ordered by key.
func (c *Copy) All() []Record {
	records := make([]Record, 0, len(c.records))
	for r := range c.Each {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}
