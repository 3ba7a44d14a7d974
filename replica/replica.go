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
	TopicCount
)

// String returns the topic's name in kebab case.
func (t Topic) String() string {
	return [...]string{"operator", "targets", "invalid"}[min(t, TopicCount)]
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
	Deleted bool `cbor:"5,keyasint,omitempty"`
}

// Mark says that all records before End had been read, and how long ago.
type ReadMark struct {
	Topic     Topic  `cbor:"1,keyasint"`
	EndOffset Offset `cbor:"2,keyasint"`
	// Age is in milliseconds.
	AgeMillis uint32 `cbor:"3,keyasint"`
	// Reader is the node that read.
	Reader ReaderID `cbor:"4,keyasint"`
	// Digest is the hash of all that the reader held then.
	Digest Digest `cbor:"5,keyasint"`
}

// Digest is a hash of what matters in the records of a topic: copies that hold
// the same have the same digest, however they came by it.
type Digest uint64

// Reader is a node that reads the store, by the number of its process; the
// lowest of those that read at once goes on.
type ReaderID uint64

// Content is what a value says, so far as copies compare it.
type Content struct {
	// Material is what matters of the value; values that differ in nothing else are
	// the same.
	Significant []byte
	// Born orders the processes that write under a key: what an earlier one wrote
	// late does not count. Zero means that the value does not say.
	WriterEpoch int64
}

// Rules say how the values of a topic compare. Zero values compare all of a value.
type Rules struct {
	// Content reads a value.
	ParseContent func(value []byte) Content
}

// held is a record with what was worked out of it once.
type held struct {
	Record
	born int64
	hash Digest
}

// Copy is a node's copy of one topic. Its zero value is empty.
type Copy struct {
	Rules Rules

	records map[string]held
	end     Offset
	freshAt time.Time
	reader  ReaderID
	digest  Digest
	// told is the digest of what a reader held, if one was heard of.
	told  *Digest
	whole bool
}

// Take merges records and returns those that changed something that matters.
func (c *Copy) Merge(records []Record) (news []Record) {
	for _, r := range records {
		if c.take(r) {
			news = append(news, r)
		}
	}
	c.compare()
	return news
}

// Hear notes what a reader held that was as far as this copy or further.
func (c *Copy) SetReaderDigest(d Digest) {
	c.told = &d
	c.compare()
}

// compare notes that the copy holds what a reader held.
func (c *Copy) compare() {
	c.whole = c.whole || c.told != nil && *c.told == c.digest
}

// Whole reports whether the copy has once held all that the store did: it was listed,
// or it held the same as a reader.
func (c *Copy) HasBeenComplete() bool {
	return c.whole
}

func (c *Copy) take(r Record) bool {
	if c.records == nil {
		c.records = map[string]held{}
	}
	before, known := c.records[r.Key]
	if known && r.Offset <= before.Offset {
		return false
	}
	after := before
	after.Record = r
	if r.Deleted {
		// The value stays, so that a late word of the same process is known.
		after.Value, after.hash = before.Value, 0
	} else {
		content := c.content(r.Value)
		if content.WriterEpoch != 0 && content.WriterEpoch < before.born {
			return false
		}
		after.born, after.hash = content.WriterEpoch, hash(r.Key, content.Significant)
	}
	c.records[r.Key] = after
	c.digest ^= before.hash ^ after.hash
	return before.hash != after.hash
}

func (c *Copy) content(value []byte) Content {
	if c.Rules.ParseContent == nil {
		return Content{Significant: value}
	}
	return c.Rules.ParseContent(value)
}

// hash is a record's part of the digest; one that is gone has none.
func hash(key string, material []byte) Digest {
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
func (c *Copy) MergeListing(records []Record, end Offset) (news []Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	news = c.Merge(records)
	c.whole = true
	if end == 0 || end < c.end {
		return news
	}
	for key, h := range c.records {
		if listed[key] || h.Deleted || h.Offset >= end-1 {
			continue
		}
		gone := Record{Topic: h.Topic, Key: key, Offset: end - 1, Deleted: true}
		if c.take(gone) {
			news = append(news, gone)
		}
	}
	return news
}

// fresher is how much later a mark must be to be news where nothing was added:
// a mark that returns over peers seems a little later than it was.
const fresher = 200 * time.Millisecond

// Read notes that a reader had read all records before end at an instant, and
// reports whether that is news. An older end than the one held says nothing.
func (c *Copy) AdvanceReadMark(end Offset, at time.Time, by ReaderID) bool {
	ahead := c.freshAt.Sub(at)
	if end < c.end || ahead > fresher {
		return false
	}
	if end == c.end && ahead > -fresher && by >= c.reader {
		return false
	}
	c.end, c.reader = end, by
	if at.After(c.freshAt) {
		c.freshAt = at
	}
	return true
}

// Reader is who read last.
func (c *Copy) LastReader() ReaderID {
	return c.reader
}

// End is the offset up to which the topic has been read, and when.
func (c *Copy) ReadPosition() (end Offset, at time.Time) {
	return c.end, c.freshAt
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
