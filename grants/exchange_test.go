package grants

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
)

// testFleet is a fleet of exchanges on loopback addresses.
type testFleet struct {
	nodes     []vm.VM
	exchanges []*Exchange
	cancels   []context.CancelFunc
	mu        sync.Mutex
	limit     quota.Limit
}

func newTestFleet(t *testing.T, size int, l quota.Limit) *testFleet {
	t.Helper()
	f := &testFleet{limit: l}
	for range size {
		x := NewExchange(Settings{Nodes: func() []vm.VM { return f.nodes }, Limit: func(tenant.Name) quota.Limit {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.limit
		}})
		if err := x.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		x.settings.Self = vm.ID(x.conn.LocalAddr().String())
		f.nodes = append(f.nodes, vm.VM{ID: x.settings.Self, Address: vm.Address(x.settings.Self)})
		f.exchanges = append(f.exchanges, x)
	}
	for _, x := range f.exchanges {
		ctx, cancel := context.WithCancel(t.Context())
		f.cancels = append(f.cancels, cancel)
		go x.Run(ctx)
	}
	return f
}

// stopOwner ends the exchange that owns a tenant and returns its index.
func (f *testFleet) stopOwner(name tenant.Name) int {
	owner := f.exchanges[0].owners(name)[0]
	for i, n := range f.nodes {
		if n.ID == owner {
			f.cancels[i]()
			return i
		}
	}
	return -1
}

// demand sends calls of a tenant to nodes for a time and returns when each was admitted,
// since the start.
func (f *testFleet) demand(name tenant.Name, perSecond float64, d time.Duration, pick func() int) (admitted []time.Duration) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for next := time.Duration(0); next < d; next += time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(next)))
		x := f.exchanges[pick()]
		calls.Go(func() {
			ok, _, _ := x.Acquire(context.Background(), name)
			at := time.Since(start)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			admitted = append(admitted, at)
		})
	}
	calls.Wait()
	return admitted
}

// window is the window of quotas.
const window = 5 * time.Second

func countWithin(admitted []time.Duration, from, to time.Duration) (n int) {
	for _, at := range admitted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against a quota that each node keeps by itself: over all nodes the sum must stay
// within the bound, and a tenant that asks for more must get most of its limit, however its
// callers are spread.
func TestQuotaOfFleetIsKeptAndUsed(t *testing.T) {
	for _, test := range []struct {
		name      tenant.Name
		size      int
		limit     quota.Limit
		perSecond float64
		nodes     int
	}{
		{"large, all of 13 nodes", 13, quota.Limit{PerSecond: 100, Burst: 100}, 500, 13},
		{"large, 3 of 97 nodes", 97, quota.Limit{PerSecond: 100, Burst: 100}, 500, 3},
		{"large, all of 97 nodes", 97, quota.Limit{PerSecond: 100, Burst: 100}, 120, 97},
		{"small, all of 97 nodes", 97, quota.Limit{PerSecond: 3, Burst: 3}, 20, 97},
		{"small, all of 472 nodes", 472, quota.Limit{PerSecond: 3, Burst: 3}, 20, 472},
	} {
		t.Run(string(test.name), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, test.size, test.limit)
			admitted := f.demand(test.name, test.perSecond, window+time.Second, func() int { return rand.N(test.nodes) })
			rate := float64(test.limit.PerSecond)
			bound := (rate*window.Seconds()+test.limit.Burst)*1.1 + 20
			if got := float64(countWithin(admitted, 0, window)); got > bound {
				t.Errorf("calls within %s: got %v, want at most %v", window, got, bound)
			}
			useful := 0.95 * (rate*window.Seconds() - 1)
			if got := float64(countWithin(admitted, time.Second, window+time.Second)); got < useful {
				t.Errorf("calls within %s: got %v, want at least %v", window, got, useful)
			}
		})
	}
}

// Guards against a tenant that is refused while the node that owns its quota is dead, and
// against a deputy that grants as much while the owner may be alive.
func TestDeputyTakesOverAfterDeathOfOwner(t *testing.T) {
	limit := quota.Limit{PerSecond: 100, Burst: 100}
	f := newTestFleet(t, 13, limit)
	stopped := f.stopOwner("a")
	admitted := f.demand("a", 300, 3*time.Second+2*time.Second, func() int {
		for {
			if i := rand.N(len(f.nodes)); i != stopped {
				return i
			}
		}
	})
	if got, want := countWithin(admitted, 0, time.Second), int(2*deputyShare*float64(limit.PerSecond))+10; got > want {
		t.Errorf("calls in the first second: got %d, want at most %d", got, want)
	}
	if got, want := countWithin(admitted, 3*time.Second, 5*time.Second), int(0.8*2*float64(limit.PerSecond)); got < want {
		t.Errorf("calls from 3 to 5 s after the death: got %d, want at least %d", got, want)
	}
}

// A limit that is lowered far below the demand must bind at once.
func TestLoweredLimitBinds(t *testing.T) {
	f := newTestFleet(t, 13, quota.Limit{PerSecond: 100, Burst: 100})
	f.demand("a", 100, time.Second, func() int { return rand.N(13) })
	f.mu.Lock()
	f.limit = quota.Limit{PerSecond: 10, Burst: 10}
	f.mu.Unlock()
	admitted := f.demand("a", 200, 2*time.Second, func() int { return rand.N(13) })
	if got, want := len(admitted), 2*10+10+20; got > want {
		t.Errorf("calls within 2 s of the lower limit: got %d, want at most %d", got, want)
	}
}

// A node that reaches no other admits nothing of a quota that it does not own.
func TestIsolatedNodeAdmitsNothing(t *testing.T) {
	f := newTestFleet(t, 5, quota.Limit{PerSecond: 100, Burst: 100})
	owners := f.exchanges[0].owners("a")
	for i, n := range f.nodes {
		if slices.Contains(owners, n.ID) {
			f.cancels[i]()
		}
	}
	for i, n := range f.nodes {
		if slices.Contains(owners, n.ID) {
			continue
		}
		if ok, isKnown, wait := f.exchanges[i].Acquire(t.Context(), "a"); ok || isKnown || wait <= 0 {
			t.Errorf("call at a node without owners: got %v, %v, %s, want a refusal with a time", ok, isKnown, wait)
		}
	}
}

func BenchmarkAcquireGranted(b *testing.B) {
	x := NewExchange(Settings{Self: "127.0.0.1:1", Limit: func(tenant.Name) quota.Limit { return quota.Limit{PerSecond: 1e12, Burst: 1e12} }, Nodes: func() []vm.VM { return []vm.VM{{ID: "127.0.0.1:1"}} }})
	b.ReportAllocs()
	for b.Loop() {
		x.Acquire(context.Background(), "a")
	}
}
