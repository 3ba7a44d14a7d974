package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

func nodeIDs(n int) []vm.ID {
	nodes := make([]vm.ID, n)
	for i := range nodes {
		nodes[i] = vm.ID(fmt.Sprint("node-", i))
	}
	return nodes
}

// view is what one node knows of the fleet.
type view struct {
	nodes []vm.ID
	size  int
}

// newFleet returns one Limiter for each node of a fleet, as the gateway uses them for
// targets that name a limit.
func newFleet(n int, viewOf func(i int, all []vm.ID) view) (fleet []*Limiter) {
	all := nodeIDs(n)
	for i, self := range all {
		l := &Limiter{SpareSenders: 2, MaxLateness: 100 * time.Millisecond}
		v := viewOf(i, all)
		l.SetFleet(self, v.nodes, v.size)
		fleet = append(fleet, l)
	}
	return fleet
}

func fullView(_ int, all []vm.ID) view { return view{all, len(all)} }

// fleetStep is the time between two rounds in which each node sends as much as it may.
const fleetStep = 20 * time.Millisecond

// sendAll lets every node send to a target as much as it may for a duration.
func sendAll(fleet []*Limiter, id vm.ID, rate Rate, now time.Time, d time.Duration) (sent []time.Time) {
	for end := now.Add(d); now.Before(end); now = now.Add(fleetStep) {
		for _, l := range fleet {
			for l.Take(id, rate, now) {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

func busiest(sent []time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

const limitWindow = 4 * time.Second

// allowed is how many calls may reach a target with a limit within limitWindow.
func allowed(rate Rate) float64 { return 1.5*float64(rate)*limitWindow.Seconds() + 5 }

// With callers enough at every node, a target must get no more than its limit allows in
// any window, and at least 0.8 of what it named, whatever the sizes of fleet and limit.
func TestSumOverFleetKeepsLimitAndUsesIt(t *testing.T) {
	for _, n := range []int{1, 2, 13, 17, 103, 472} {
		for _, rate := range []Rate{0.05, 0.3, 1, 2.5, 7.9, 40, 300} {
			d := max(60*time.Second, time.Duration(40/float64(rate)*float64(time.Second)))
			fleet := newFleet(n, fullView)
			sent := sendAll(fleet, "t", rate, time.Now(), d)
			if got, want := busiest(sent, limitWindow), allowed(rate); float64(got) > want {
				t.Errorf("%d nodes, limit %v: got %d calls in %s, want at most %.1f", n, rate, got, limitWindow, want)
			}
			if got, want := float64(len(sent))/d.Seconds(), 0.8*float64(rate); got < want {
				t.Errorf("%d nodes, limit %v: got %.2f calls a second, want at least %.2f", n, rate, got, want)
			}
		}
	}
}

// Nodes that know only a part of the fleet must not add up to more than the limit. A node
// that has just started knows itself and how many there are; others lack the nodes that
// were added, or still list ones that are gone.
func TestSumOverFleetWithDifferentViews(t *testing.T) {
	views := []struct {
		name   string
		viewOf func(i int, all []vm.ID) view
	}{
		{"half lack a tenth", func(i int, all []vm.ID) view {
			if i%2 == 1 {
				return view{all[len(all)/10:], 0}
			}
			return fullView(i, all)
		}},
		{"a sixth was just added", func(i int, all []vm.ID) view {
			if old := len(all) - len(all)/6; i < old {
				return view{all[:old], 0}
			}
			return fullView(i, all)
		}},
		{"some are gone", func(i int, all []vm.ID) view {
			gone := nodeIDs(len(all) + len(all)/5)
			return view{gone, len(gone)}
		}},
		{"one restarted alone", func(i int, all []vm.ID) view {
			if i == 0 {
				return view{all[:1], len(all)}
			}
			return fullView(i, all)
		}},
	}
	for _, v := range views {
		for _, n := range []int{13, 17, 103, 472} {
			for _, rate := range []Rate{0.3, 2.5, 7.9, 40} {
				for target := range 10 {
					fleet := newFleet(n, v.viewOf)
					sent := sendAll(fleet, vm.ID(fmt.Sprint("t-", target)), rate, time.Now(), 3*limitWindow)
					if got, want := busiest(sent, limitWindow), allowed(rate); float64(got) > want {
						t.Errorf("%s, %d nodes, limit %v, target %d: got %d calls in %s, want at most %.1f", v.name, n, rate, target, got, limitWindow, want)
					}
				}
			}
		}
	}
}

// After all nodes have started together each knows only itself and the number of all. On
// average they must add up to no more than the limit: without that number each of them
// would send as much as the whole fleet may.
func TestFleetThatKnowsOnlyItsSizeSharesLimit(t *testing.T) {
	const rate = 2.5
	for _, n := range []int{13, 17, 103, 472} {
		total := 0
		const targets = 100
		for target := range targets {
			fleet := newFleet(n, func(i int, all []vm.ID) view { return view{all[i : i+1], len(all)} })
			total += len(sendAll(fleet, vm.ID(fmt.Sprint("t-", target)), rate, time.Now(), limitWindow))
		}
		if got, want := float64(total)/targets, allowed(rate); got > want {
			t.Errorf("%d nodes: got %.1f calls in %s on average, want at most %.1f", n, got, limitWindow, want)
		}
	}
}

// A limit may rise, fall and become zero at any moment.
func TestChangedRateTakesEffectAtOnce(t *testing.T) {
	fleet := newFleet(17, fullView)
	now := time.Now()
	var sent []time.Time
	for _, rate := range []Rate{20, 0.5, 20, 0, 3} {
		phase := sendAll(fleet, "t", rate, now, 20*time.Second)
		now = now.Add(20 * time.Second)
		if got, want := float64(len(phase)), 0.8*20*float64(rate); got < want {
			t.Errorf("limit %v: got %v calls in 20 s, want at least %v", rate, got, want)
		}
		// The first seconds of a phase share a window with the one before.
		if got, want := busiest(phase, limitWindow), allowed(rate); float64(got) > want {
			t.Errorf("limit %v: got %d calls in %s, want at most %.1f", rate, got, limitWindow, want)
		}
		sent = append(sent, phase...)
	}
	if !slices.IsSortedFunc(sent, time.Time.Compare) {
		t.Fatal("calls: got them out of order")
	}
}

// The calls to many targets must be spread over the nodes: none may send more than a few
// times its share.
func TestNodesShareManyTargetsFairly(t *testing.T) {
	const nodes, targets, rate = 17, 100, 2.5
	fleet := newFleet(nodes, fullView)
	senders := 0
	for i, l := range fleet {
		own := 0
		for target := range targets {
			if _, ok := l.Wait(vm.ID(fmt.Sprint("t-", target)), rate, time.Now()); ok {
				own++
			}
		}
		senders += own
		if mean := targets * 4 / nodes; own < mean/3 || own > 3*mean {
			t.Errorf("node %d: got %d targets to send to, want about %d", i, own, mean)
		}
	}
	if want := targets * 4; senders != want {
		t.Errorf("senders of all targets: got %d, want %d", senders, want)
	}
}

// A node that was frozen finds many turns due; it must not make up for them.
func TestTurnsMissedInFreezeAreLost(t *testing.T) {
	l := &Limiter{MaxLateness: 100 * time.Millisecond}
	now := time.Now()
	l.Take("t", 10, now.Add(time.Second))
	if got := len(sendAll([]*Limiter{l}, "t", 10, now.Add(10*time.Second), fleetStep)); got > 2 {
		t.Errorf("calls at once after 9 s: got %d, want at most 2", got)
	}
}

// Targets are added and removed for as long as a node runs, so the memory used for removed
// targets must be bounded.
func TestLimiterEvictsRemovedTargets(t *testing.T) {
	l := &Limiter{}
	now := time.Now()
	for i := range 10 * maxCachedTargets {
		now = now.Add(10 * time.Millisecond)
		l.Wait(vm.ID(fmt.Sprint("cold-", i)), 6.2, now)
	}
	if got := len(l.ranks); got > maxCachedTargets {
		t.Errorf("cached targets: got %d, want %d at most", got, maxCachedTargets)
	}
	if got, want := len(l.turns), 2*maxCachedTargets; got > want {
		t.Errorf("stored turns: got %d, want %d at most", got, want)
	}
}

// Any rate may be set: intervals that round to zero, that exceed a duration, and rates
// that are no numbers.
func TestLimiterBearsExtremeRates(t *testing.T) {
	l := &Limiter{}
	now := time.Now()
	l.Take("t", 1e12, now)
	if got := l.Take("t", 1e12, now.Add(time.Millisecond)); !got {
		t.Errorf("call 1 ms later: got %v, want true", got)
	}
	for _, rate := range []Rate{0, -1, Rate(nan())} {
		if _, ok := l.Wait("t", rate, now); ok {
			t.Errorf("rate %v: got a turn, want none", rate)
		}
	}
	for _, rate := range []Rate{1e-300, 1e300} {
		if _, ok := l.Wait("u", rate, now); !ok {
			t.Errorf("rate %v: got no turn, want one", rate)
		}
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}
