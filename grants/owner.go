package grants

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// deputyShare is the part of a quota that each deputy grants while a node before it may
	// be alive. Both together stay within the overage of a quota.
	deputyShare = 0.04
	// takeoverDelay is the time of an owner's silence after which a deputy grants the whole
	// quota.
	takeoverDelay = 1500 * time.Millisecond
	// silenceRetention is the time without a ping after which a silence is forgotten.
	silenceRetention = 3 * time.Second
)

// buckets holds the buckets of the tenants that this node owns. Its zero value is empty.
type buckets struct {
	mu       sync.Mutex
	byTenant map[tenant.Name]*quota.Bucket
}

// take takes up to n calls of a tenant, or returns after which time to ask again. The unused
// calls of earlier grants are available again.
func (b *buckets) take(name tenant.Name, n, unused int, l quota.Limit, now time.Time) (taken int, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byTenant == nil {
		b.byTenant = map[tenant.Name]*quota.Bucket{}
	}
	bucket := b.byTenant[name]
	if bucket == nil {
		bucket = &quota.Bucket{}
		b.byTenant[name] = bucket
	}
	bucket.Return(unused, l)
	return bucket.Take(n, l, now)
}

// silence is the silence of a node towards this one.
type silence struct {
	since, checkedAt time.Time
	// unanswered is the number of pings in a row without a response.
	unanswered int
}

// silences tracks which nodes do not respond. Its zero value is empty.
type silences struct {
	mu     sync.Mutex
	byNode map[vm.ID]*silence
}

// record records whether a node responded, and reports whether it has just become silent.
func (s *silences) record(id vm.ID, responded bool, now time.Time) (isNewlySilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byNode == nil {
		s.byNode = map[vm.ID]*silence{}
	}
	if responded {
		delete(s.byNode, id)
		return false
	}
	n := s.byNode[id]
	if n == nil || now.Sub(n.checkedAt) > silenceRetention {
		n = &silence{since: now}
		s.byNode[id] = n
	}
	n.checkedAt = now
	n.unanswered++
	return n.unanswered == minUnanswered
}

// minUnanswered is the number of unanswered datagrams in a row from which a node is silent:
// single ones are lost.
const minUnanswered = 3

// duration returns for how long a node has been silent; zero if it is not known to be.
func (s *silences) duration(id vm.ID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byNode[id]
	if n == nil || n.unanswered < minUnanswered || now.Sub(n.checkedAt) > silenceRetention {
		return 0
	}
	return now.Sub(n.since)
}

// deputyLimit returns what a deputy may grant of a limit if all nodes before it have been
// silent for a time.
func deputyLimit(l quota.Limit, silentFor time.Duration) quota.Limit {
	if silentFor >= takeoverDelay {
		return l
	}
	return quota.Limit{PerSecond: deputyShare * l.PerSecond, Burst: deputyShare * l.Burst}
}
