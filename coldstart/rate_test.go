package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// When a zone returns, all nodes discover the same idle targets in cold start.
// With every node sending as much as it may, the calls of all nodes to a target
// in any second must stay within 1.5 times its rate plus 5. This must also hold
// if half of the nodes list only three quarters of the fleet.
func TestRateLimiterBoundsSumOverNodes(t *testing.T) {
	const (
		perSecond = 6.2
		bound     = perSecond*1.5 + 5
		step      = 10 * time.Millisecond
	)
	for _, nodes := range []int{1, 13, 17, 133} {
		limiters := newRateLimiters(nodes, perSecond)
		now := time.Now()
		var sent []time.Time
		for range 1000 {
			now = now.Add(step)
			for _, r := range limiters {
				if _, ok := r.LeaseDeadline("cold", now); ok && r.Allow("cold", now) {
					sent = append(sent, now)
				}
			}
		}
		if got, want := float64(len(sent))/10, perSecond/2; got < want {
			t.Errorf("%d nodes: got %.1f calls a second, want %.1f at least", nodes, got, want)
		}
		if got := busiestSecond(sent); float64(got) > bound {
			t.Errorf("%d nodes: got %d calls in one second, want %.1f at most", nodes, got, bound)
		}
	}
}

// newRateLimiters returns one RateLimiter per node of a fleet of n nodes. The
// list of nodes that every other RateLimiter is given lacks a quarter of the
// fleet.
func newRateLimiters(n int, perSecond float64) (limiters []*RateLimiter) {
	var nodes []vm.ID
	for i := range n {
		nodes = append(nodes, vm.ID(fmt.Sprint("node-", i)))
	}
	for i, self := range nodes {
		known := nodes
		if i%2 == 1 {
			known = nodes[n/4:]
		}
		r := &RateLimiter{}
		r.Configure(perSecond, self, known)
		limiters = append(limiters, r)
	}
	return limiters
}

func busiestSecond(sent []time.Time) (most int) {
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestZeroRateLimiterPermitsNoCalls(t *testing.T) {
	var r RateLimiter
	if _, ok := r.LeaseDeadline(vm.ID("a"), time.Now()); ok {
		t.Error("call with a zero RateLimiter: got permitted, want refused")
	}
}

// Targets are added and removed for as long as a node runs, so the memory used
// for removed targets must be bounded.
func TestRateLimiterEvictsRemovedTargets(t *testing.T) {
	r := newRateLimiters(1, 6.2)[0]
	now := time.Now()
	for i := range 10 * maxCachedTargets {
		now = now.Add(10 * time.Millisecond)
		r.LeaseDeadline(vm.ID(fmt.Sprint("cold-", i)), now)
	}
	if got := len(r.senderCache); got > maxCachedTargets {
		t.Errorf("cached targets: got %d, want %d at most", got, maxCachedTargets)
	}
	if got, want := len(r.nextTurnAt), 2*maxCachedTargets; got > want {
		t.Errorf("stored turns: got %d, want %d at most", got, want)
	}
}

// A configuration may set any number of calls a second, so the interval may
// round to zero, for which rand.N panics.
func TestRateLimiterAllowsCallsAtIntervalBelowOneNanosecond(t *testing.T) {
	r := &RateLimiter{}
	r.Configure(1e12, "n-1", []vm.ID{"n-1"})
	now := time.Now()
	r.Allow("t", now)
	if got := r.Allow("t", now.Add(time.Millisecond)); !got {
		t.Errorf("call 1 ms later: got %v, want true", got)
	}
}
