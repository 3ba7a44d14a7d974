package coldstart

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// node is a Manager with a settable list of live members.
type node struct {
	manager *Manager
	cancel  context.CancelFunc

	mu   sync.Mutex
	live []member.Entry
}

func (n *node) liveMembers() []member.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

func (n *node) setLiveMembers(live ...member.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = nil
	for _, i := range live {
		n.live = append(n.live, member.Entry{Incarnation: i})
	}
}

func newNode(t *testing.T, log stream.Log, self member.Incarnation, live ...member.Incarnation) *node {
	t.Helper()
	n := &node{}
	n.setLiveMembers(live...)
	n.manager = &Manager{Log: log, Holder: self, State: &State{}, LiveMembers: n.liveMembers}
	n.manager.Start()
	f := &stream.Follower{Log: log, Name: StreamName, Applier: n.manager.State}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	n.cancel = cancel
	go f.Run(ctx)
	go n.manager.Run(ctx)
	return n
}

// holderCount returns the number of nodes that may send to a target now.
func holderCount(nodes []*node, id vm.ID) (n int) {
	for _, nd := range nodes {
		if _, ok := nd.manager.LeaseDeadline(id, time.Now()); ok {
			n++
		}
	}
	return n
}

func targets() (ids []vm.ID) {
	for i := range 40 {
		ids = append(ids, vm.ID(fmt.Sprint("target-", i)))
	}
	return ids
}

// watchHolders fails the test if a target has two holders at any time during
// length. It returns the fraction of the time that targets had a holder.
func watchHolders(t *testing.T, nodes []*node, length time.Duration) float64 {
	t.Helper()
	heldCount, sampleCount := 0, 0
	for range int(length / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, id := range targets() {
			n := holderCount(nodes, id)
			if n > 1 {
				t.Fatalf("holders of %s: got %d, want at most 1", id, n)
			}
			heldCount += n
			sampleCount++
		}
	}
	return float64(heldCount) / float64(sampleCount)
}

func TestShardHasAtMostOneHolder(t *testing.T) {
	tests := []struct {
		name  string
		views [][]member.Incarnation
		// held is the smallest fraction of the time that targets must have a
		// holder.
		held float64
	}{
		{"every node lists all others", [][]member.Incarnation{{1, 2, 3}, {1, 2, 3}, {1, 2, 3}}, 0.9},
		{"every node lists only itself", [][]member.Incarnation{{1}, {2}, {3}}, 0.9},
		{"first node not listed by the others", [][]member.Incarnation{{1, 2, 3}, {2, 3}, {2, 3}}, 0.5},
		{"failed node still listed", [][]member.Incarnation{{1, 2, 9}, {1, 2, 9}}, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &standin.Log{}
				log.SetLatency(2 * time.Millisecond)
				var nodes []*node
				for i, view := range tt.views {
					nodes = append(nodes, newNode(t, log, member.Incarnation(i+1), view...))
				}
				time.Sleep(2 * defaultMinLeaseDuration)
				if got := watchHolders(t, nodes, 2*defaultMinLeaseDuration); got < tt.held {
					t.Errorf("fraction of time with a holder: got %.2f, want at least %.2f", got, tt.held)
				}
			})
		})
	}
}

// Leases must expire while the log is unavailable, and be granted again
// afterwards.
func TestLeasesExpireWhileLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		nodes := []*node{newNode(t, log, 1, 1, 2), newNode(t, log, 2, 1, 2)}
		time.Sleep(2 * defaultMinLeaseDuration)
		log.SetDown(true)
		time.Sleep(2 * defaultMinLeaseDuration)
		for _, id := range targets() {
			if got := holderCount(nodes, id); got != 0 {
				t.Fatalf("holders of %s while the log is unavailable: got %d, want 0", id, got)
			}
		}
		log.SetDown(false)
		time.Sleep(2 * defaultMinLeaseDuration)
		if got := watchHolders(t, nodes, defaultMinLeaseDuration); got < 0.9 {
			t.Errorf("fraction of time with a holder: got %.2f, want at least 0.9", got)
		}
	})
}

// When a holder fails without releasing its shards, another node must take them
// over after the leases expire, and not before.
func TestFailedHolderIsReplacedAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := newNode(t, log, 1, 1)
		time.Sleep(defaultMinLeaseDuration)
		a.cancel()
		b := newNode(t, log, 2, 2)
		nodes := []*node{a, b}
		watchHolders(t, nodes, (defaultHoldDuration+maxDiscoveryDelay)+2*defaultMinLeaseDuration)
		if got := b.manager.HeldShardCount(time.Now()); got != ShardCount {
			t.Errorf("shards of the other node after lease expiry: got %d, want %d", got, ShardCount)
		}
	})
}

// The shards of a node that stops as planned must be available at once.
func TestReleaseShardsFreesThemAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := newNode(t, log, 1, 1)
		time.Sleep(defaultMinLeaseDuration)
		a.manager.ReleaseShards(t.Context())
		a.cancel()
		b := newNode(t, log, 2, 2)
		watchHolders(t, []*node{a, b}, 4*time.Second)
		if got := b.manager.HeldShardCount(time.Now()); got != ShardCount {
			t.Errorf("shards of the other node after ReleaseShards: got %d, want %d", got, ShardCount)
		}
	})
}

// A node that released its shards while it is stopping must not request them
// again, although it is still running.
func TestStoppingNodeDoesNotRequestReleasedShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newNode(t, &standin.Log{}, 1, 1)
		time.Sleep(defaultMinLeaseDuration)
		a.manager.ReleaseShards(t.Context())
		time.Sleep(2 * defaultMinLeaseDuration)
		for i := range ShardCount {
			if !a.manager.State.IsUnused(Shard(i)) {
				t.Fatalf("shard %d after ReleaseShards: got requested again by the stopping node, want released", i)
			}
		}
	})
}

// A node that was paused for longer than a lease, without renewals, must not
// use the lease afterwards.
func TestLeaseExpiresDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Manager{Log: &standin.Log{}, Holder: 1, State: &State{}, LiveMembers: func() []member.Entry { return []member.Entry{{Incarnation: 1}} }}
		m.Start()
		f := &stream.Follower{Log: m.Log, Name: StreamName, Applier: m.State}
		go f.Run(t.Context())
		var all ShardSet
		for i := range ShardCount {
			all.Add(Shard(i))
		}
		m.appendRecord(t.Context(), LeaseRecord{Shards: all})
		time.Sleep(time.Second)
		if _, ok := m.LeaseDeadline("t", time.Now()); !ok {
			t.Fatal("lease right after the append: got none, want one")
		}
		time.Sleep(defaultMinLeaseDuration)
		if _, ok := m.LeaseDeadline("t", time.Now()); ok {
			t.Error("lease right after a pause of its duration: got one, want none")
		}
	})
}
