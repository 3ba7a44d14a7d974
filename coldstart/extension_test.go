package coldstart

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
)

// fleet is nodes that ask each other.
type fleet struct {
	nodes        []*node
	logs         []*standin.Path
	unresponsive []atomic.Bool
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	log := &standin.Log{}
	f := &fleet{unresponsive: make([]atomic.Bool, n)}
	var live []member.Incarnation
	for i := range n {
		live = append(live, member.Incarnation(i+1))
	}
	for _, self := range live {
		l := &standin.Path{Log: log}
		f.logs = append(f.logs, l)
		f.nodes = append(f.nodes, newNode(t, l, self, live...))
	}
	return f
}

// askAll lets every node that has no log ask every other one.
func (f *fleet) requestExtensions() {
	const view member.View = 7
	now := time.Now()
	for i, n := range f.nodes {
		if f.unresponsive[i].Load() || !f.logs[i].Cut() {
			continue
		}
		var others []member.Incarnation
		for j, other := range f.nodes {
			if j != i {
				others = append(others, other.keeper.Holder)
			}
		}
		nonce, ok := n.keeper.RequestExtension(now, others, view)
		if !ok {
			continue
		}
		for j, o := range f.nodes {
			if j == i || f.unresponsive[j].Load() {
				continue
			}
			o.keeper.Grant(now)
			n.keeper.Granted(now, o.keeper.Holder, nonce, view)
		}
	}
}

func (f *fleet) setLogCut(cut bool) {
	for _, l := range f.logs {
		l.SetCut(cut)
	}
}

// run lets time pass while nodes ask, and returns the part of the time that
// targets had a holder; none may have two.
func (f *fleet) run(t *testing.T, length time.Duration) float64 {
	t.Helper()
	heldFraction, rounds := 0.0, 0.0
	for range int(length / (4 * time.Second)) {
		f.requestExtensions()
		heldFraction += watchHolders(t, f.nodes, 4*time.Second)
		rounds++
	}
	return heldFraction / rounds
}

func TestRightsOutlastTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(3 * defaultMinLease)
		f.setLogCut(true)
		if got := f.run(t, 10*time.Minute); got != 1 {
			t.Errorf("time with a holder while the log is away: got %.2f, want all", got)
		}
		f.setLogCut(false)
		if got := f.run(t, 2*time.Minute); got < 0.9 {
			t.Errorf("time with a holder after it is back: got %.2f, want at least 0.9", got)
		}
	})
}

// TestSilentNodeEndsExtensions lets one node stop answering: it might be taking
// rights over.
func TestSilentNodeEndsExtensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(3 * defaultMinLease)
		f.setLogCut(true)
		f.run(t, time.Minute)
		f.unresponsive[2].Store(true)
		f.run(t, defaultHoldDuration+8*time.Second)
		for _, id := range targets() {
			if got := holderCount(f.nodes, id); got != 0 {
				t.Fatalf("holders of %s: got %d, want 0", id, got)
			}
		}
	})
}

// TestHolderCutOffAlone cuts one holder off from the log while the others have
// it. While they promise, it goes on; once it cannot be heard, others take over,
// and at no time are there two.
func TestHolderCutOffAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(3 * defaultMinLease)
		f.logs[0].SetCut(true)
		before := f.nodes[0].keeper.Held(time.Now())
		f.run(t, 2*time.Minute)
		if got := f.nodes[0].keeper.Held(time.Now()); got != before {
			t.Errorf("shards of the one cut off, asking: got %d, want %d", got, before)
		}
		f.unresponsive[0].Store(true)
		for _, n := range f.nodes[1:] {
			n.setLiveMembers(2, 3)
		}
		f.run(t, 4*time.Minute)
		if got := f.nodes[0].keeper.Held(time.Now()); got != 0 {
			t.Errorf("shards of the one cut off, unheard: got %d, want 0", got)
		}
		if got := f.nodes[1].keeper.Held(time.Now()) + f.nodes[2].keeper.Held(time.Now()); got != Shards {
			t.Errorf("shards of the others: got %d, want %d", got, Shards)
		}
	})
}

// TestNewNodeTakesNothingOver starts a node that nobody knows of yet.
func TestNewNodeTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := newNode(t, log, 1, 1)
		time.Sleep(defaultMinLease)
		a.cancel()
		b := newNode(t, log, 2, 2)
		time.Sleep((defaultHoldDuration + maxDiscoveryDelay) - 5*time.Second)
		if got := b.keeper.Held(time.Now()); got != 0 {
			t.Errorf("shards of a new node: got %d, want 0", got)
		}
		time.Sleep(defaultMinLease)
		if got := b.keeper.Held(time.Now()); got != Shards {
			t.Errorf("shards once it has settled: got %d, want %d", got, Shards)
		}
	})
}

// TestAnswersThatDoNotCount gives answers that must not extend a right.
func TestAnswersThatDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		time.Sleep(3 * defaultMinLease)
		f.setLogCut(true)
		k := f.nodes[0].keeper
		expiry := func() time.Time {
			for _, id := range targets() {
				if e, ok := k.Until(id, time.Now()); ok {
					return e
				}
			}
			t.Fatal("no right is held")
			return time.Time{}
		}
		before := expiry()
		nonce, _ := k.RequestExtension(time.Now(), []member.Incarnation{2}, 7)
		k.Granted(time.Now(), 2, nonce-1, 7)
		k.Granted(time.Now(), 2, nonce, 8)
		k.Granted(time.Now(), 3, nonce, 7)
		if got := expiry(); !got.Equal(before) {
			t.Errorf("end of the right: got %s later, want it unchanged", got.Sub(before))
		}
		k.Granted(time.Now(), 2, nonce, 7)
		if got := expiry(); !got.After(before) {
			t.Error("end of the right after the answer: got no later one")
		}
	})
}
