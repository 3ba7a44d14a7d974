package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/quota"
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
		r.Configure(quota.Rate(perSecond), self, known, len(known))
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

// After many nodes were killed at once, each knows only itself and how many there are.
// Together they must keep to the rate on average, not each of them alone.
func TestNodesThatKnowOnlyThemselvesShareRate(t *testing.T) {
	const (
		perSecond = 6.2
		bound     = perSecond*1.5 + 5
		targets   = 50
	)
	for _, nodes := range []int{13, 133} {
		total := 0
		for target := range targets {
			id, now := vm.ID(fmt.Sprint("cold-", target)), time.Now()
			for i := range nodes {
				self := vm.ID(fmt.Sprint("node-", i))
				r := &RateLimiter{}
				r.Configure(perSecond, self, []vm.ID{self}, nodes)
				for step := range 100 {
					if r.Allow(id, now.Add(time.Duration(step)*10*time.Millisecond)) {
						total++
					}
				}
			}
		}
		if got := float64(total) / targets; got > bound {
			t.Errorf("%d nodes: got %.1f calls in one second on average, want %.1f at most", nodes, got, bound)
		}
	}
}
