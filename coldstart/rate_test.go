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
func TestRateBoundsSumOverNodes(t *testing.T) {
	const (
		perSecond = 6.2
		bound     = perSecond*1.5 + 5
		step      = 10 * time.Millisecond
	)
	for _, nodes := range []int{1, 13, 17, 133} {
		rates := newRates(nodes, perSecond)
		now := time.Now()
		var sent []time.Time
		for range 1000 {
			now = now.Add(step)
			for _, r := range rates {
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

// newRates returns one Rate per node of a fleet of n nodes. The list of nodes
// that every other Rate is given lacks a quarter of the fleet.
func newRates(n int, perSecond float64) (rates []*RateLimiter) {
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
		rates = append(rates, r)
	}
	return rates
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

func TestZeroRatePermitsNoCalls(t *testing.T) {
	var r RateLimiter
	if _, ok := r.LeaseDeadline(vm.ID("a"), time.Now()); ok {
		t.Error("call with a zero Rate: got permitted, want refused")
	}
}

// Targets are added and removed for as long as a node runs, so the memory used
// for removed targets must be bounded.
func TestRateEvictsRemovedTargets(t *testing.T) {
	r := newRates(1, 6.2)[0]
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
// round to zero.
func TestRatePermitsIntervalsBelowResolution(t *testing.T) {
	r := &RateLimiter{}
	r.Configure(1e12, "n-1", []vm.ID{"n-1"})
	now := time.Now()
	r.Allow("t", now)
	if got := r.Allow("t", now.Add(time.Millisecond)); !got {
		t.Errorf("call 1 ms later: got %v, want true", got)
	}
}
