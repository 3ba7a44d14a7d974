package coldstart

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
)

// fleet is a set of nodes that request extensions from each other.
type fleet struct {
	nodes        []*node
	logs         []*standin.LogLink
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
		l := &standin.LogLink{Log: log}
		f.logs = append(f.logs, l)
		f.nodes = append(f.nodes, newNode(t, l, self, live...))
	}
	return f
}

// requestExtensions makes every node that is cut off from the log request an
// extension from every other node.
func (f *fleet) requestExtensions() {
	const view member.ViewHash = 7
	now := time.Now()
	for i, n := range f.nodes {
		if f.unresponsive[i].Load() || !f.logs[i].Partitioned() {
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
			o.keeper.GrantHold(now)
			n.keeper.HandleHold(now, o.keeper.Holder, nonce, view)
		}
	}
}

func (f *fleet) setLogCut(cut bool) {
	for _, l := range f.logs {
		l.SetPartitioned(cut)
	}
}

// run lets time pass while nodes request extensions every 4 s. It returns the
// fraction of the time that targets had a holder, and fails the test if a
// target has two.
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

func TestExtensionsKeepLeasesWhileLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(3 * defaultMinLease)
		f.setLogCut(true)
		if got := f.run(t, 10*time.Minute); got != 1 {
			t.Errorf("fraction of time with a holder while the log is unavailable: got %.2f, want 1", got)
		}
		f.setLogCut(false)
		if got := f.run(t, 2*time.Minute); got < 0.9 {
			t.Errorf("fraction of time with a holder after the log is available again: got %.2f, want at least 0.9", got)
		}
	})
}

// A node that does not respond may be taking shards over, so the leases of all
// holders must expire.
func TestUnresponsiveNodeEndsExtensions(t *testing.T) {
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

// One holder is cut off from the log while the other nodes are not. It must
// keep its shards while the others grant holds. Once it no longer responds to
// them either, they must take its shards over, and no target may ever have two
// holders.
func TestHolderCutOffFromLogIsReplacedOnlyWhenUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(3 * defaultMinLease)
		f.logs[0].SetPartitioned(true)
		before := f.nodes[0].keeper.HeldShardCount(time.Now())
		f.run(t, 2*time.Minute)
		if got := f.nodes[0].keeper.HeldShardCount(time.Now()); got != before {
			t.Errorf("shards of the node cut off while it requests extensions: got %d, want %d", got, before)
		}
		f.unresponsive[0].Store(true)
		for _, n := range f.nodes[1:] {
			n.setLiveMembers(2, 3)
		}
		f.run(t, 4*time.Minute)
		if got := f.nodes[0].keeper.HeldShardCount(time.Now()); got != 0 {
			t.Errorf("shards of the node cut off and unresponsive: got %d, want 0", got)
		}
		if got := f.nodes[1].keeper.HeldShardCount(time.Now()) + f.nodes[2].keeper.HeldShardCount(time.Now()); got != ShardCount {
			t.Errorf("shards of the other nodes: got %d, want %d", got, ShardCount)
		}
	})
}

// A new node may be missing in the view of a holder that requests an extension.
// It must take over no shard until Settle has passed.
func TestNewNodeTakesOverNothingBeforeSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := newNode(t, log, 1, 1)
		time.Sleep(defaultMinLease)
		a.cancel()
		b := newNode(t, log, 2, 2)
		time.Sleep((defaultHoldDuration + maxDiscoveryDelay) - 5*time.Second)
		if got := b.keeper.HeldShardCount(time.Now()); got != 0 {
			t.Errorf("shards of a new node: got %d, want 0", got)
		}
		time.Sleep(defaultMinLease)
		if got := b.keeper.HeldShardCount(time.Now()); got != ShardCount {
			t.Errorf("shards of the node after Settle: got %d, want %d", got, ShardCount)
		}
	})
}

// Responses with an old nonce, a different view or from a node that was not
// asked must not extend a lease.
func TestInvalidHoldsDoNotExtendLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		time.Sleep(3 * defaultMinLease)
		f.setLogCut(true)
		k := f.nodes[0].keeper
		expiry := func() time.Time {
			for _, id := range targets() {
				if e, ok := k.LeaseDeadline(id, time.Now()); ok {
					return e
				}
			}
			t.Fatal("no lease is held")
			return time.Time{}
		}
		before := expiry()
		nonce, _ := k.RequestExtension(time.Now(), []member.Incarnation{2}, 7)
		k.HandleHold(time.Now(), 2, nonce-1, 7)
		k.HandleHold(time.Now(), 2, nonce, 8)
		k.HandleHold(time.Now(), 3, nonce, 7)
		if got := expiry(); !got.Equal(before) {
			t.Errorf("expiry after invalid holds: got %s later, want it unchanged", got.Sub(before))
		}
		k.HandleHold(time.Now(), 2, nonce, 7)
		if got := expiry(); !got.After(before) {
			t.Error("expiry after the valid hold: got no later time, want a later one")
		}
	})
}
