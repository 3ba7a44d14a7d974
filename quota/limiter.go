package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/vm"
)

// Rate is a number of calls a second.
type Rate float64

// IsValid reports whether the rate is a finite number and not negative.
func (r Rate) IsValid() bool { return r >= 0 && !math.IsInf(float64(r), 0) }

// maxDuration is the longest time that Duration returns.
const maxDuration = 24 * time.Hour

// Duration returns the time in which n calls may be sent at the rate, at most 24 h.
func (r Rate) Duration(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return time.Duration(min(float64(n)/float64(r), maxDuration.Seconds()) * float64(time.Second))
}

// Limiter decides when this node may send to targets that take a limited rate of calls
// from the whole fleet. Within any time d, the senders of one target send at most
// rate × (d + MaxLateness) calls, and one more each. The zero value is that of a fleet of
// one node. Its methods are safe for concurrent use.
type Limiter struct {
	// SpareSenders is the number of senders of a target beyond one for each whole call a
	// second. More senders make each of them slower, so that one sender too many or too
	// few matters less.
	SpareSenders int
	// MaxLateness is how long a turn may wait for a call without delaying the next one.
	MaxLateness time.Duration

	mu        sync.Mutex
	self      vm.ID
	nodes     []vm.ID
	fleetSize int
	// turns stores, by target, the time of this node's last turn, taken or not, and ranks
	// the number of nodes that come before it as senders in the current fleet.
	turns map[vm.ID]time.Time
	ranks map[vm.ID]float64
}

// SetFleet sets the ID of this node, the known nodes of the fleet and the number of all
// its nodes, which may be larger. The slice nodes must not be modified afterwards. The
// order of nodes does not affect the selection, but a changed order discards the cache.
func (l *Limiter) SetFleet(self vm.ID, nodes []vm.ID, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size = max(size, len(nodes))
	if l.self == self && l.fleetSize == size && slices.Equal(l.nodes, nodes) {
		return
	}
	l.self, l.nodes, l.fleetSize, l.ranks = self, nodes, size, nil
}

// maxTurnAge is how long a turn that no call takes stays valid.
const maxTurnAge = 30 * time.Second

// Wait returns the time until this node may send a call to a target; ok is false if it is
// none of the target's senders.
func (l *Limiter) Wait(id vm.ID, rate Rate, now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(id, rate, now)
}

// Take counts one call to a target; it returns false if this node may not send to it, or
// not yet.
func (l *Limiter) Take(id vm.ID, rate Rate, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.wait(id, rate, now)
	if !ok || wait > 0 {
		return false
	}
	dueAt := l.turns[id].Add(l.interval(rate))
	if earliest := now.Add(-l.MaxLateness); dueAt.Before(earliest) {
		dueAt = earliest
	}
	l.turns[id] = dueAt
	return true
}

// Interval returns the time between two calls of this node to a target of which it is a
// sender.
func (l *Limiter) Interval(rate Rate) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interval(rate)
}

// FleetSize returns the number of nodes of the fleet, at least 1.
func (l *Limiter) FleetSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, l.fleetSize)
}

// wait implements Wait. The turn of a target without one begins at a random time, so that
// nodes that discover a target together do not send to it together. l.mu must be held.
func (l *Limiter) wait(id vm.ID, rate Rate, now time.Time) (wait time.Duration, ok bool) {
	if !(rate > 0) || l.rank(id, now) >= l.senderCount(rate) {
		return 0, false
	}
	interval := l.interval(rate)
	last, known := l.turns[id]
	if !known || now.Sub(last.Add(interval)) > maxTurnAge {
		last = now.Add(-time.Duration(rand.Float64() * float64(interval)))
		l.turns[id] = last
	}
	return max(0, last.Add(interval).Sub(now)), true
}

// senderCount returns the number of nodes that send to a target with a rate. l.mu must be
// held.
func (l *Limiter) senderCount(rate Rate) float64 {
	return max(1, min(math.Floor(float64(rate))+float64(l.SpareSenders), float64(l.fleetSize)))
}

// interval returns the shortest time between two calls of one sender. l.mu must be held.
func (l *Limiter) interval(rate Rate) time.Duration {
	seconds := l.senderCount(rate) / float64(rate)
	return max(time.Duration(min(seconds, maxDuration.Seconds())*float64(time.Second)), 1)
}

// rank returns the number of nodes before this one in the order in which nodes become
// senders of a target. Of the nodes that are not known, as many come before it as its
// hash lets expect. l.mu must be held.
func (l *Limiter) rank(id vm.ID, now time.Time) float64 {
	rank, known := l.ranks[id]
	if known {
		return rank
	}
	ownHash, knownCount := rendezvousHash(l.self, id), 0
	for _, n := range l.nodes {
		if n == l.self {
			continue
		}
		knownCount++
		if rendezvousHash(n, id) < ownHash {
			rank++
		}
	}
	unknownCount := max(0, l.fleetSize-1-knownCount)
	rank += float64(unknownCount) * float64(ownHash) / math.MaxUint64
	l.evictStale(now)
	l.ranks[id] = rank
	return rank
}

// maxCachedTargets is the largest number of targets in ranks; see evictStale.
const maxCachedTargets = 4096

// evictStale makes room in ranks once it contains maxCachedTargets, and then also removes
// the turns that are older than maxTurnAge. l.mu must be held.
func (l *Limiter) evictStale(now time.Time) {
	if l.ranks == nil {
		l.ranks = map[vm.ID]float64{}
	}
	if l.turns == nil {
		l.turns = map[vm.ID]time.Time{}
	}
	if len(l.ranks) < maxCachedTargets {
		return
	}
	clear(l.ranks)
	maps.DeleteFunc(l.turns, func(_ vm.ID, last time.Time) bool { return now.Sub(last) > maxTurnAge })
}

// rendezvousHash returns the hash by which nodes are ranked for a target. The nodes with
// the lowest hashes are its senders.
func rendezvousHash(node, target vm.ID) uint64 {
	return xxhash.Sum64String(string(node) + " " + string(target))
}
