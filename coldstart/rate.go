package coldstart

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/vm"
)

// Rate is the right to send to targets in cold start where these state how many
// calls a second they bear from the whole fleet. For each target a few nodes, the
// first by a hash of both, may send, one call at a time at even distances. It
// needs no agreement: as many nodes are chosen as the calls that a target bears in
// a second, so nodes that see different fleets add few, and no second holds much
// more than one call of each. It is a target.Rights and a target.Taker; its zero
// value grants nothing.
type Rate struct {
	mu        sync.Mutex
	perSecond float64
	self      vm.ID
	nodes     []vm.ID
	next      map[vm.ID]time.Time
	// picked holds for each target asked about whether this node is among its
	// senders, of the nodes held now.
	picked map[vm.ID]bool
}

// Share states the calls a second that one target bears, this node, and the nodes
// of the fleet, which are not changed afterwards. The order of the nodes does not
// matter, but a change of it costs time.
func (r *Rate) Share(perSecond float64, self vm.ID, nodes []vm.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond == perSecond && r.self == self && slices.Equal(r.nodes, nodes) {
		return
	}
	r.perSecond, r.self, r.nodes, r.picked = perSecond, self, nodes, map[vm.ID]bool{}
}

// Until reports whether a call may be sent to a target now; the right has no end
// of its own.
func (r *Rate) Until(id vm.ID, now time.Time) (end time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Add(endless), r.may(id, now)
}

// endless stands for the end of a right that has none.
const endless = time.Hour

// forgetAfter is how long a target's turn is remembered after it came.
const forgetAfter = 30 * time.Second

// Take books one call; it reports false if its turn has not come.
func (r *Rate) Take(id vm.ID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.may(id, now) {
		return false
	}
	r.next[id] = now.Add(r.between())
	return true
}

// senders is how many nodes send to one target. The lock must be held.
func (r *Rate) senders() int {
	return max(1, min(int(r.perSecond), len(r.nodes)))
}

// between is the least time between two calls of this node to one target, at least
// a nanosecond. The lock must be held.
func (r *Rate) between() time.Duration {
	return max(time.Duration(float64(r.senders())/r.perSecond*float64(time.Second)), 1)
}

// may reports whether this node's turn at a target has come. The lock must be
// held.
func (r *Rate) may(id vm.ID, now time.Time) bool {
	if r.perSecond <= 0 || !r.chosen(id, now) {
		return false
	}
	if r.next == nil {
		r.next = map[vm.ID]time.Time{}
	}
	at, known := r.next[id]
	if !known || now.Sub(at) > forgetAfter {
		// A node's first turn comes at a random instant, so that nodes that notice
		// a cold target together do not send to it together.
		at = now.Add(rand.N(r.between()))
		r.next[id] = at
	}
	return !now.Before(at)
}

// chosen reports whether this node is among a target's senders. The lock must be
// held.
func (r *Rate) chosen(id vm.ID, now time.Time) bool {
	picked, known := r.picked[id]
	if !known {
		picked = r.isSender(id)
		r.forget(now)
		r.picked[id] = picked
	}
	return picked
}

// mostPicked is from how many targets on those long gone are forgotten.
const mostPicked = 4096

// forget drops what is held of targets that are long gone, where there are many. The
// lock must be held.
func (r *Rate) forget(now time.Time) {
	if len(r.picked) < mostPicked {
		return
	}
	clear(r.picked)
	maps.DeleteFunc(r.next, func(_ vm.ID, at time.Time) bool { return now.Sub(at) > forgetAfter })
}

// isSender finds out whether this node is among a target's senders. The lock must
// be held.
func (r *Rate) isSender(id vm.ID) bool {
	own, before := order(r.self, id), 0
	for _, n := range r.nodes {
		if n != r.self && order(n, id) < own {
			before++
		}
	}
	return before < r.senders()
}

// order is a node's place among a target's senders; the lowest come first.
func order(node, target vm.ID) uint64 {
	return xxhash.Sum64String(string(node) + " " + string(target))
}
