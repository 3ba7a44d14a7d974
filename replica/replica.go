package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Topic tells the copies apart.
type Topic uint8

// The topics.
const (
	// Operator holds the configuration and the zones out of service.
	Operator Topic = iota
	// Targets holds what targets say of themselves.
	Targets
	// Topics is the number of topics.
	Topics
)

// String returns the topic's name in kebab case.
func (t Topic) String() string {
	return [...]string{"operator", "targets", "invalid"}[min(t, Topics)]
}

// Offset is the position of a record in the store's log, from 0.
type Offset uint64

// Record is the newest word under a key.
type Record struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
	Offset Offset `cbor:"4,keyasint"`
	// Gone says that the key was deleted.
	Gone bool `cbor:"5,keyasint,omitempty"`
}

// Mark says that all records before End had been read, and how long ago.
type Mark struct {
	Topic Topic  `cbor:"1,keyasint"`
	End   Offset `cbor:"2,keyasint"`
	// Age is in milliseconds.
	Age uint32 `cbor:"3,keyasint"`
	// Reader is the node that read.
	Reader Reader `cbor:"4,keyasint"`
	// Digest is the hash of all that the reader held then.
	Digest Digest `cbor:"5,keyasint"`
}

// Digest is a hash of what matters in the records of a topic: copies that hold
// the same have the same digest, however they came by it.
type Digest uint64

// Reader is a node that reads the store, by the number of its process; the
// lowest of those that read at once goes on.
type Reader uint64

// Content is what a value says, so far as copies compare it.
type Content struct {
	// Material is what matters of the value; values that differ in nothing else are
	// the same.
	Material []byte
	// Born orders the processes that write under a key: what an earlier one wrote
	// late does not count. Zero means that the value does not say.
	Born int64
}

// Rules say how the values of a topic compare. Zero values compare all of a value.
type Rules struct {
	// Content reads a value.
	Content func(value []byte) Content
}

// storedRecord is a record with what was worked out of it once.
type storedRecord struct {
	Record
	writerEpoch int64
	significantHash Digest
}

// Copy is a node's copy of one topic. Its zero value is empty.
type Copy struct {
	Rules Rules

	records map[string]storedRecord
	endOffset     Offset
	readAt time.Time
	lastReader  Reader
	digest  Digest
	// readerDigest is the digest of what a reader held, if one was heard of.
	readerDigest  *Digest
	complete bool
}

// Take merges records and returns those that changed something that matters.
func (c *Copy) Take(records []Record) (news []Record) {
	for _, r := range records {
		if c.merge(r) {
			news = append(news, r)
		}
	}
	c.updateComplete()
	return news
}

// Hear notes what a reader held that was as far as this copy or further.
func (c *Copy) Hear(d Digest) {
	c.readerDigest = &d
	c.updateComplete()
}

// updateComplete notes that the copy holds what a reader held.
func (c *Copy) updateComplete() {
	c.complete = c.complete || c.readerDigest != nil && *c.readerDigest == c.digest
}

// Whole reports whether the copy has once held all that the store did: it was listed,
// or it held the same as a reader.
func (c *Copy) Whole() bool {
	return c.complete
}

func (c *Copy) merge(r Record) bool {
	if c.records == nil {
		c.records = map[string]storedRecord{}
	}
	before, known := c.records[r.Key]
	if known && r.Offset <= before.Offset {
		return false
	}
	after := before
	after.Record = r
	if r.Gone {
		// The value stays, so that a late word of the same process is known.
		after.Value, after.significantHash = before.Value, 0
	} else {
		content := c.parseContent(r.Value)
		if content.Born != 0 && content.Born < before.writerEpoch {
			return false
		}
		after.writerEpoch, after.significantHash = content.Born, recordHash(r.Key, content.Material)
	}
	c.records[r.Key] = after
	c.digest ^= before.significantHash ^ after.significantHash
	return before.significantHash != after.significantHash
}

func (c *Copy) parseContent(value []byte) Content {
	if c.Rules.Content == nil {
		return Content{Material: value}
	}
	return c.Rules.Content(value)
}

// recordHash is a record's part of the digest; one that is gone has none.
func recordHash(key string, material []byte) Digest {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash cannot fail.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(material)
	return Digest(d.Sum64())
}

// Digest is the hash of what the copy holds.
func (c *Copy) Digest() Digest {
	return c.digest
}

// TakeListing merges a whole listing that held every key with its newest record
// before end, and returns what changed; held keys that it lacks are gone.
func (c *Copy) TakeListing(records []Record, end Offset) (news []Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	news = c.Take(records)
	c.complete = true
	if end == 0 || end < c.endOffset {
		return news
	}
	for key, h := range c.records {
		if listed[key] || h.Gone || h.Offset >= end-1 {
			continue
		}
		gone := Record{Topic: h.Topic, Key: key, Offset: end - 1, Gone: true}
		if c.merge(gone) {
			news = append(news, gone)
		}
	}
	return news
}

// minMarkAdvance is how much later a mark must be to be news where nothing was added:
// a mark that returns over peers seems a little later than it was.
const minMarkAdvance = 200 * time.Millisecond

// Read notes that a reader had read all records before end at an instant, and
// reports whether that is news. An older end than the one held says nothing.
func (c *Copy) Read(end Offset, at time.Time, by Reader) bool {
	ahead := c.readAt.Sub(at)
	if end < c.endOffset || ahead > minMarkAdvance {
		return false
	}
	if end == c.endOffset && ahead > -minMarkAdvance && by >= c.lastReader {
		return false
	}
	c.endOffset, c.lastReader = end, by
	if at.After(c.readAt) {
		c.readAt = at
	}
	return true
}

// Reader is who read last.
func (c *Copy) Reader() Reader {
	return c.lastReader
}

// End is the offset up to which the topic has been read, and when.
func (c *Copy) End() (end Offset, at time.Time) {
	return c.endOffset, c.readAt
}

// Each yields the records, deleted ones included, in no order.
func (c *Copy) Each(yield func(Record) bool) {
	for _, h := range c.records {
		if !yield(h.Record) {
			return
		}
	}
}

// All returns the records, deleted ones included, ordered by key.
func (c *Copy) All() []Record {
	out := make([]Record, 0, len(c.records))
	for r := range c.Each {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}
