package replica

import (
	"cmp"
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

// Epoch numbers the histories of the store's log. A store that was restored from an
// older copy begins a new epoch, in which offsets are assigned again. Zero means
// unknown, as in messages of nodes of an earlier version, and counts as the epoch of
// the Copy that receives it.
type Epoch uint64

// Record is a value of a key in the store, or the deletion of the key.
type Record struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
	Offset Offset `cbor:"4,keyasint"`
	// Deleted marks the deletion of the key.
	Deleted bool `cbor:"5,keyasint,omitempty"`
	// Epoch is the epoch of Offset.
	Epoch Epoch `cbor:"6,keyasint,omitempty"`
}

// comparePosition compares the positions of two records in the store's log.
func comparePosition(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Offset, b.Offset))
}

// Digest is a hash of the significant content of a topic's records. Copies with
// equal content have equal digests, independent of the order of arrival.
type Digest uint64

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
	// ParseSequence extracts the sequence number of a key's value, which its writer
	// increases. It tells an old record of a restored store from one that was written
	// again. Zero means that the value has none.
	ParseSequence func(key string, value []byte) int64
	// IsVersioned is set if the sequence numbers are versions that also order the records
	// of one epoch: a lower one never replaces a higher one.
	IsVersioned bool
	// Validate returns an error for a value that must not replace the one before it; nil
	// accepts every value. The record is then passed to OnInvalid, if that is set.
	Validate  func(r Record) error
	OnInvalid func(r Record, err error)
}

// invalidRecord is a record without its value, and why the value is invalid.
type invalidRecord struct {
	Record
	err error
}

// Copy is a node's copy of one topic. Its zero value is empty. It is not safe for
// concurrent use.
type Copy struct {
	Rules Rules

	records map[string]keyState
	// invalid holds the last invalid record of each key.
	invalid map[string]invalidRecord
	epoch   Epoch // the newest epoch of any record, listing or mark
	// endOffset is how far the last reader had read at readAt, and heldOffset how far the
	// records are in this copy, both in the newest epoch.
	endOffset, heldOffset Offset
	readAt                time.Time
	lastReader            ReaderID
	digest                Digest
	// readerMark is the last mark passed to CompareDigest, or nil.
	readerMark      *ReadMark
	hasBeenComplete bool // see HasBeenComplete; never reset
	// hasMark reports whether the epoch has a mark, and needsListing is set from the begin
	// of an epoch until the copy is known to be complete in it.
	hasMark, needsListing bool
}

// Epoch returns the newest epoch that the copy has seen; zero if none.
func (c *Copy) Epoch() Epoch {
	return c.epoch
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

// HasBeenComplete reports whether the copy was complete at some time: it merged a
// whole listing of the store, or its digest was equal to that of a reader.
func (c *Copy) HasBeenComplete() bool {
	return c.hasBeenComplete
}

// merge applies one record and reports whether it changed significant content.
func (c *Copy) merge(r Record) bool {
	if c.records == nil {
		c.records = map[string]keyState{}
	}
	if r.Epoch == 0 {
		r.Epoch = c.epoch
	}
	c.BeginEpoch(r.Epoch)
	before := c.records[r.Key]
	if before.contains(r) || !c.accepts(r) {
		return false
	}
	after := c.withRecord(before, r)
	c.records[r.Key] = after
	wasHash, isHash := before.effective().significantHash, after.effective().significantHash
	c.digest ^= wasHash ^ isHash
	return wasHash != isHash
}

// accepts reports whether the value of a record is valid. One that is merged again is not
// validated again.
func (c *Copy) accepts(r Record) bool {
	if c.Rules.Validate == nil || r.Deleted {
		return true
	}
	known, ok := c.invalid[r.Key]
	if !ok || comparePosition(known.Record, r) != 0 {
		known.err = c.Rules.Validate(r)
	}
	if known.err == nil {
		return true
	}
	if c.invalid == nil {
		c.invalid = map[string]invalidRecord{}
	}
	c.invalid[r.Key] = invalidRecord{Record: Record{Topic: r.Topic, Key: r.Key, Offset: r.Offset, Epoch: r.Epoch}, err: known.err}
	if c.Rules.OnInvalid != nil {
		c.Rules.OnInvalid(r, known.err)
	}
	return false
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

// Each yields the record that counts of each key, including deleted ones, in no
// particular order.
func (c *Copy) Each(yield func(Record) bool) {
	for _, state := range c.records {
		if !yield(state.effective().Record) {
			return
		}
	}
}

// Newest returns the record that counts of each key, including deleted ones, ordered by
// key.
func (c *Copy) Newest() []Record {
	records := make([]Record, 0, len(c.records))
	for r := range c.Each {
		records = append(records, r)
	}
	slices.SortFunc(records, compareKey)
	return records
}

// All returns the records that another copy needs to become equal to this one, ordered by
// key and position.
func (c *Copy) All() []Record {
	return c.recordsWhere(func(keyState) bool { return true })
}

// Live returns the records of All but those of deleted keys, as a listing of the store.
func (c *Copy) Live() []Record {
	return c.recordsWhere(func(k keyState) bool { return !k.effective().Deleted })
}

// recordsWhere returns the records of the keys for which matches returns true, ordered by key and
// position.
func (c *Copy) recordsWhere(matches func(keyState) bool) []Record {
	records := make([]Record, 0, len(c.records))
	for _, state := range c.records {
		if !matches(state) {
			continue
		}
		if state.kept != nil {
			records = append(records, state.kept.Record)
		}
		records = append(records, state.latest.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Or(compareKey(a, b), comparePosition(a, b)) })
	return records
}

// compareKey compares the keys of two records.
func compareKey(a, b Record) int { return strings.Compare(a.Key, b.Key) }
