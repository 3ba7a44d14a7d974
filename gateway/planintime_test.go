package gateway_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/gateway"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// applyBound is the time from the store's acknowledgement of a change until every
	// node must act on it.
	applyBound = 2 * time.Second
	// contactBound is the time without disruption after which a node must have caught up.
	contactBound = 3 * time.Second
)

// serves reports whether a node sends a call to a target.
func (c *testCluster) serves(i int, target string) bool {
	_, body := c.call(i)
	return strings.HasSuffix(body, "by "+target)
}

// loneStore hides the members of the fleet for a while, so that a node reads the store
// before it has any link.
type loneStore struct {
	gateway.Store
	visibleAt time.Time
}

func (s loneStore) ListMembers(ctx context.Context) ([]vm.VM, error) {
	if time.Now().Before(s.visibleAt) {
		return nil, context.DeadlineExceeded
	}
	return s.Store.ListMembers(ctx)
}

// A node that starts after the store was restored reads an old plan there. It must take the
// newer one, which its peers carried over, once it is linked to them.
func TestNodeStartedAfterRestoreTakesNewerPlan(t *testing.T) {
	c := newStartedCluster(t, 2)
	c.startTarget("i-b", "b", "east")
	c.putPlan(7, "b")
	for i := range c.nodes {
		c.waitFor(waitTimeout, "plan 7", func() bool { return c.serves(i, "i-b") })
	}
	c.store.Restore(1)
	c.putTarget("i-b", "b", "east", "ready")
	time.Sleep(applyBound)
	c.wrapStore = func(s gateway.Store) gateway.Store {
		return loneStore{Store: s, visibleAt: time.Now().Add(1500 * time.Millisecond)}
	}
	c.startNode("east", c.storeAddress)
	last := len(c.nodes) - 1
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(last) })
	time.Sleep(1500 * time.Millisecond)
	c.waitFor(contactBound, "plan 7 at the node that started after the restore", func() bool { return c.serves(last, "i-b") })
}

// While the part of the store with the targets is away, a plan must be in force in time all
// the same, and a target that leaves while the operator's part is away.
func TestEachTopicIsReadWhileOtherIsAway(t *testing.T) {
	for _, f := range []platformtest.Fault{platformtest.Unavailable, platformtest.Unresponsive, platformtest.ConnectionReset} {
		c := newStartedCluster(t, 3)
		c.startTarget("i-b", "b", "east")
		time.Sleep(applyBound)
		c.store.SetTopicFault(platformtest.TargetsTopic, f)
		time.Sleep(contactBound)
		c.putPlan(2, "b")
		ackedAt := time.Now()
		for i := range c.nodes {
			c.waitFor(time.Until(ackedAt.Add(applyBound)), "the new plan without the targets' topic", func() bool { return c.serves(i, "i-b") })
		}
		c.store.SetTopicFault(platformtest.TargetsTopic, platformtest.NoFault)
		c.putPlan(3, "a")
		for i := range c.nodes {
			c.waitFor(waitTimeout, "the first service", func() bool { return !c.serves(i, "i-b") })
		}
		c.store.SetTopicFault(platformtest.OperatorTopic, f)
		time.Sleep(contactBound)
		c.putTarget("i-1", "a", "east", "draining")
		ackedAt = time.Now()
		for i := range c.nodes {
			c.waitFor(time.Until(ackedAt.Add(applyBound)), "the other target without the operator's topic", func() bool { return c.serves(i, "i-2") })
		}
	}
}

// hangingStore stops responding to reads of the operator's topic.
type hangingStore struct {
	gateway.Store
	hangs *atomic.Bool
}

func (s hangingStore) Read(ctx context.Context, topic replica.Topic, from replica.Offset, wait time.Duration) (gateway.Batch, error) {
	if topic == replica.Operator && s.hangs.Load() {
		<-ctx.Done()
		return gateway.Batch{}, ctx.Err()
	}
	b, err := s.Store.Read(ctx, topic, from, wait)
	if topic == replica.Operator && s.hangs.Load() {
		<-ctx.Done()
		return gateway.Batch{}, ctx.Err()
	}
	return b, err
}

// A read that waits for a record proves nothing until it returns. If the reader's read hangs,
// the other nodes must read in time themselves.
func TestPlanIsInTimeThoughReadOfReaderHangs(t *testing.T) {
	c := newTestCluster(t)
	c.putPlan(1, "a")
	c.startTarget("i-1", "a", "east")
	c.startTarget("i-b", "b", "east")
	var hangs atomic.Bool
	c.wrapStore = func(s gateway.Store) gateway.Store { return hangingStore{Store: s, hangs: &hangs} }
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready reader", func() bool { return c.isReady(0) })
	c.wrapStore = nil
	for range 2 {
		c.startNode("east", c.storeAddress)
	}
	for i := range c.nodes {
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
	}
	time.Sleep(contactBound)
	hangs.Store(true)
	c.putPlan(2, "b")
	ackedAt := time.Now()
	for i := range c.nodes {
		c.waitFor(time.Until(ackedAt.Add(applyBound)), "the new plan", func() bool { return c.serves(i, "i-b") })
	}
}

// A node that was cut off from the store and from all nodes must catch up soon after it is
// back, however large its fleet: no other node can help it.
func TestNodeCutOffCatchesUpSoonInLargeFleet(t *testing.T) {
	const loneNodes = 6
	c := newTestCluster(t)
	c.store.SoleMembers = true
	c.putPlan(1, "a")
	c.startTarget("i-1", "a", "east")
	c.startTarget("i-b", "b", "east")
	var fleet []vm.VM
	for range 133 {
		a := vm.Address(freeAddress(t))
		fleet = append(fleet, vm.VM{ID: vm.ID(a), Role: vm.RoleEntry, Address: a, Zone: "east"})
	}
	for i := range loneNodes {
		c.startNode("east", c.storeAddress).AddNodes(fleet)
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
	}
	c.store.SetFault(platformtest.Unresponsive)
	time.Sleep(2 * contactBound)
	c.store.SetFault(platformtest.NoFault)
	c.putPlan(2, "b")
	backAt := time.Now()
	for i := range c.nodes {
		c.waitFor(time.Until(backAt.Add(contactBound)), "the new plan", func() bool { return c.serves(i, "i-b") })
	}
}

// A plan that cannot be read must not take the place of the one in force: a node that starts
// later gets that one from its peers.
func TestUnreadablePlanDoesNotReplaceOne(t *testing.T) {
	c := newStartedCluster(t, 2)
	c.store.Put(platformtest.OperatorTopic, "config", `{"version":3,"hosts":[{"host":"h.example","paths":[{"name":"r","pathPrefix":"x"}]}]}`)
	time.Sleep(applyBound)
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "readiness of a node that started later", func() bool { return c.isReady(2) })
	if !c.serves(2, "i-1") && !c.serves(2, "i-2") {
		t.Error("node that started later: got a call by no target, want the plan before")
	}
}
