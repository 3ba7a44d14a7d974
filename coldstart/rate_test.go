package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// The load: a zone returns and all nodes see the same idle targets in cold start.
// Whatever they would like to send, the sum over all of them in any second stays
// within the bound of one and a half times the rate and five, also while half of
// the nodes know only three quarters of the fleet.
func TestRateSumsOverNodes(t *testing.T) {
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
				if _, ok := r.Until("cold", now); ok && r.Take("cold", now) {
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

// fleetOf returns the rates of a fleet of which every other node lacks a quarter.
func newRates(n int, perSecond float64) (rates []*Rate) {
	var nodes []vm.ID
	for i := range n {
		nodes = append(nodes, vm.ID(fmt.Sprint("node-", i)))
	}
	for i, self := range nodes {
		known := nodes
		if i%2 == 1 {
			known = nodes[n/4:]
		}
		r := &Rate{}
		r.Share(perSecond, self, known)
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

func TestRateGrantsNothingBeforeItIsKnown(t *testing.T) {
	var r Rate
	if _, ok := r.Until(vm.ID("a"), time.Now()); ok {
		t.Error("granted: got true, want false")
	}
}

// Targets come and go for as long as a node runs; it must not remember each of them.
func TestRateForgetsTargets(t *testing.T) {
	r := newRates(1, 6.2)[0]
	now := time.Now()
	for i := range 10 * maxCachedTargets {
		now = now.Add(10 * time.Millisecond)
		r.Until(vm.ID(fmt.Sprint("cold-", i)), now)
	}
	if got := len(r.senderCache); got > maxCachedTargets {
		t.Errorf("targets held: got %d, want %d at most", got, maxCachedTargets)
	}
	if got, want := len(r.nextTurnAt), 2*maxCachedTargets; got > want {
		t.Errorf("turns held: got %d, want %d at most", got, want)
	}
}

// A configuration may state any number of calls.
func TestRateWithoutAPause(t *testing.T) {
	r := &Rate{}
	r.Share(1e12, "n-1", []vm.ID{"n-1"})
	now := time.Now()
	r.Take("t", now)
	if got := r.Take("t", now.Add(time.Millisecond)); !got {
		t.Errorf("a call a millisecond later: got %v, want true", got)
	}
}
