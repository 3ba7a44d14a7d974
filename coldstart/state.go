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

// StreamName is the name of the stream that holds lease records.
const StreamName stream.Name = "cold-rights"

// ShardCount is the number of shards that targets are divided into.
const ShardCount = 128

// Shard is the number of one shard, 0 to ShardCount-1.
type Shard uint8

// ShardOf returns the shard of a target.
func ShardOf(id vm.ID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % ShardCount)
}

// ShardSet is a set of shards, as a bitmap.
type ShardSet [ShardCount / 8]byte

// Has reports whether the set contains a shard.
func (s *ShardSet) Has(n Shard) bool {
	return s[n/8]&(1<<(n%8)) != 0
}

// Add adds a shard to the set.
func (s *ShardSet) Add(n Shard) {
	s[n/8] |= 1 << (n % 8)
}

// Empty reports whether the set contains no shard.
func (s *ShardSet) Empty() bool {
	return *s == ShardSet{}
}

// LeaseRecord is one record of the stream: the shards that a node requests or
// renews, and the shards that it releases before their leases expire. A node
// releases a shard only if it has no open call to the shard's targets and will
// start none.
type LeaseRecord struct {
	Holder member.Incarnation `cbor:"1,keyasint"`
	// Sequence is the sequence number of the record among its holder's records;
	// the holder recognises its own records by it.
	Sequence uint64   `cbor:"2,keyasint"`
	Shards   ShardSet `cbor:"3,keyasint"`
	// DurationMillis is the duration of the lease in milliseconds, from the
	// record's timestamp, which the log sets.
	DurationMillis uint32   `cbor:"4,keyasint"`
	Released       ShardSet `cbor:"5,keyasint"`
}

// shardState is the last holder of a shard and the expiry of its lease, by the
// clock of the log.
type shardState struct {
	holder    member.Incarnation
	expiresAt time.Time
	// released is true if the last holder released the shard.
	released bool
}

// GrantResult is the result of one record.
type GrantResult struct {
	Record LeaseRecord
	// Granted contains the shards that were granted.
	Granted ShardSet
	// Unused contains those of the granted shards that no node can be using: no
	// node ever held them, or the last holder released them.
	Unused ShardSet
}

// State is the state of all shards, built by replaying the stream. It
// implements stream.Applier, and its zero value is ready to use. Records that the
// log no longer keeps are skipped without loss of a lease, since the log keeps
// records for much longer than any lease lasts.
type State struct {
	stream.Cursor
	// OnResult, if set, is called with the result of each record, while mu is
	// held.
	OnResult func(g GrantResult)

	mu     sync.Mutex
	shards [ShardCount]shardState
}

// Apply applies one record. A record that cannot be decoded grants nothing.
func (s *State) Apply(rec stream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Advance(rec)
	var r LeaseRecord
	if err := codec.Decode(rec.Payload, &r); err != nil {
		return nil
	}
	g := s.applyRecord(r, rec.AppendedAt)
	if s.OnResult != nil {
		s.OnResult(g)
	}
	return nil
}

func (s *State) applyRecord(r LeaseRecord, recordedAt time.Time) (g GrantResult) {
	g.Record = r
	expiresAt := recordedAt.Add(time.Duration(r.DurationMillis) * time.Millisecond)
	for i := range s.shards {
		n := Shard(i)
		state := &s.shards[i]
		isHolder := state.holder == r.Holder
		if isHolder && r.Released.Has(n) {
			*state = shardState{released: true}
		}
		if !r.Shards.Has(n) {
			continue
		}
		if !isHolder && state.expiresAt.After(recordedAt) {
			continue
		}
		if s.isUnused(n) {
			g.Unused.Add(n)
		}
		*state = shardState{holder: r.Holder, expiresAt: expiresAt}
		g.Granted.Add(n)
	}
	return g
}

// isUnused reports whether it is certain that no node uses a shard. s.mu must
// be held.
func (s *State) isUnused(n Shard) bool {
	state := s.shards[n]
	return state.released || state.holder == 0 && !s.HasSkipped()
}

// IsUnused reports whether it is certain that no node uses a shard.
func (s *State) IsUnused(n Shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnused(n)
}

// LastHolder returns the last holder of a shard and the expiry of its lease, by
// the clock of the log. holder is 0 if the shard was never held or was released.
func (s *State) LastHolder(n Shard) (holder member.Incarnation, expiresAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[n].holder, s.shards[n].expiresAt
}
