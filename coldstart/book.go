package coldstart

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/cespare/xxhash/v2"
)

// Stream is the stream that holds leases.
const Stream stream.Name = "cold-rights"

// Shards is the number of shards that targets fall into.
const Shards = 128

// Shard is one share of all targets.
type Shard uint8

// ShardOf returns the shard of a target.
func ShardOf(id vm.ID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % Shards)
}

// Set is a set of shards.
type Set [Shards / 8]byte

// Has reports whether the set holds a shard.
func (s *Set) Has(n Shard) bool {
	return s[n/8]&(1<<(n%8)) != 0
}

// Add puts a shard into the set.
func (s *Set) Add(n Shard) {
	s[n/8] |= 1 << (n % 8)
}

// Empty reports whether the set holds nothing.
func (s *Set) Empty() bool {
	return *s == Set{}
}

// Lease is one record: the shards a node asks for or renews, and those it frees
// before their time because it has nothing open there and never will again.
type Lease struct {
	Holder member.Incarnation `cbor:"1,keyasint"`
	// Number counts the holder's records, so that it finds its own.
	Number uint64 `cbor:"2,keyasint"`
	Shards Set    `cbor:"3,keyasint"`
	// Length is how long the lease lasts, in milliseconds by the log's clock.
	Length uint32 `cbor:"4,keyasint"`
	Freed  Set    `cbor:"5,keyasint"`
}

// holding is who holds a shard, until when by the log's clock.
type holding struct {
	holder member.Incarnation
	until  time.Time
	// freed says that the last holder gave the shard back.
	freed bool
}

// Granted is what a record won.
type Granted struct {
	Lease  Lease
	Shards Set
	// Clean are those of the shards that nobody can be using: nobody ever held
	// them, or the last holder gave them back.
	Clean Set
}

// Book is the fold of the stream. It is a stream.Fold; its zero value is ready.
// Expired records are passed over: the log keeps records for much longer than
// any lease lasts.
type Book struct {
	stream.Cursor
	// Granted, if set, is told what each record won, with the lock held.
	Granted func(g Granted)

	mu     sync.Mutex
	shards [Shards]holding
}

// Apply folds one record; one that cannot be decoded grants nothing.
func (b *Book) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Advance(rec)
	var l Lease
	if err := codec.Decode(rec.Payload, &l); err != nil {
		return nil
	}
	g := b.fold(l, rec.Time)
	if b.Granted != nil {
		b.Granted(g)
	}
	return nil
}

func (b *Book) fold(l Lease, at time.Time) (g Granted) {
	g.Lease = l
	until := at.Add(time.Duration(l.Length) * time.Millisecond)
	for i := range b.shards {
		n := Shard(i)
		h := &b.shards[i]
		mine := h.holder == l.Holder
		if mine && l.Freed.Has(n) {
			*h = holding{freed: true}
		}
		if !l.Shards.Has(n) {
			continue
		}
		if !mine && h.until.After(at) {
			continue
		}
		if b.clean(n) {
			g.Clean.Add(n)
		}
		*h = holding{holder: l.Holder, until: until}
		g.Shards.Add(n)
	}
	return g
}

// clean reports whether nobody can be using a shard. The lock must be held.
func (b *Book) clean(n Shard) bool {
	h := b.shards[n]
	return h.freed || h.holder == 0 && !b.Skipped()
}

// Clean reports whether nobody can be using a shard.
func (b *Book) Clean(n Shard) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clean(n)
}

// Holder returns who held a shard last, and until when by the log's clock.
func (b *Book) Holder(n Shard) (holder member.Incarnation, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shards[n].holder, b.shards[n].until
}
