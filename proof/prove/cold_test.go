package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// coldStartLeases checks that no two nodes hold the cold-start lease of a target
// at the same time or have calls in flight to it. Nodes have different views of
// the live members, the log is unavailable to all or some nodes, links between
// pairs are cut, responses are late, and nodes are paused and replaced.
var coldStartLeases = scenario{
	name:      "cold-rights",
	run:       runColdStartLeases,
	mutations: []mutation{"right-without-lease", "right-by-own-view", "promise-not-kept", "ask-only-whom-it-sees"},
}

// listLag is the time for which the platform's list still contains a removed node
// and does not yet contain a new one.
const listLag = 30 * time.Second

// leaseNode is a node with a cold-start lease manager.
type leaseNode struct {
	manager   *coldstart.Manager
	follower  *stream.Follower
	log       *standin.LogLink
	cancel    context.CancelFunc
	startedAt time.Time

	mu   sync.Mutex
	live []member.Entry
	// replacedAt is the time at which the node was replaced, zero before that.
	replacedAt time.Time
	// pausedUntil is the end of the latest pause of the process.
	pausedUntil time.Time
}

func (n *leaseNode) view() []member.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live
}

func (n *leaseNode) setView(live []member.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = live
}

func (n *leaseNode) isReplaced() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.replacedAt.IsZero()
}

func (n *leaseNode) markReplaced() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replacedAt = time.Now()
}

func newLeaseNode(log *standin.Log, incarnation member.Incarnation) *leaseNode {
	node := &leaseNode{live: []member.Entry{{Incarnation: incarnation}}, log: &standin.LogLink{Log: log}, startedAt: time.Now()}
	node.manager = &coldstart.Manager{Log: node.log, Holder: incarnation, State: &coldstart.State{}, LiveMembers: node.view}
	node.manager.Start()
	node.follower = &stream.Follower{Log: node.log, Name: coldstart.StreamName, Applier: node.manager.State}
	node.manager.CaughtUp = node.follower.HasCaughtUp
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go node.follower.Run(ctx)
	go node.manager.Run(ctx)
	return node
}

// leaseDeadline returns the deadline of the node's lease on a target, or a wrong
// one that the mutation m computes.
func (n *leaseNode) leaseDeadline(id vm.ID, m mutation) (deadline time.Time, ok bool) {
	switch m {
	case "right-without-lease":
		return time.Now().Add(time.Second), true
	case "right-by-own-view":
		owner := member.Owner(n.view(), uint64(coldstart.ShardOf(id)))
		return time.Now().Add(time.Second), owner == n.manager.Holder
	default:
		return n.manager.LeaseDeadline(id, time.Now())
	}
}

// leaseCluster is the set of nodes of a run.
type leaseCluster struct {
	r               *run
	mutation        mutation
	log             *standin.Log
	nodes           []*leaseNode
	replacedNodes   []*leaseNode
	lastIncarnation member.Incarnation
	cutLinks        map[[2]member.Incarnation]bool
}

func (c *leaseCluster) addNode() *leaseNode {
	c.lastIncarnation++
	return newLeaseNode(c.log, c.lastIncarnation)
}

// listedIncarnations returns the nodes on the platform's list, which is listLag old.
func (c *leaseCluster) listedIncarnations(now time.Time) (listed []member.Incarnation) {
	for _, node := range c.nodes {
		if now.Sub(node.startedAt) >= listLag {
			listed = append(listed, node.manager.Holder)
		}
	}
	for _, node := range c.replacedNodes {
		if now.Sub(node.replacedAt) < listLag {
			listed = append(listed, node.manager.Holder)
		}
	}
	return listed
}

func viewHashOf(live []member.Entry) member.ViewHash {
	v := member.ViewHash(0)
	for _, e := range live {
		v = v*31 + member.ViewHash(e.Incarnation)
	}
	return v
}

func containsIncarnation(live []member.Entry, i member.Incarnation) bool {
	for _, e := range live {
		if e.Incarnation == i {
			return true
		}
	}
	return false
}

// requestExtension makes a node that can't read the log request a hold from all
// other nodes, as the load balancer does: only if its view contains every node on
// the platform's list.
func (c *leaseCluster) requestExtension(node *leaseNode) {
	now := time.Now()
	if node.follower.ReadAge() < 3*time.Second || now.Before(node.pausedUntil) {
		return
	}
	live := node.view()
	if c.mutation != "ask-only-whom-it-sees" {
		for _, i := range c.listedIncarnations(now) {
			if !containsIncarnation(live, i) {
				return
			}
		}
	}
	var others []member.Incarnation
	for _, e := range live {
		if e.Incarnation != node.manager.Holder {
			others = append(others, e.Incarnation)
		}
	}
	nonce, ok := node.manager.RequestExtension(now, others, viewHashOf(live))
	if !ok {
		return
	}
	for _, other := range c.nodes {
		if containsIncarnation(live, other.manager.Holder) && other != node {
			c.sendHoldRequest(node, other, nonce, c.r.durationBetween(0, 6*time.Second), c.r.durationBetween(0, 6*time.Second))
		}
	}
}

// sendHoldRequest delivers a hold request and its response with delays. Nothing is
// delivered if the link is cut, or the receiver is paused or has been replaced.
func (c *leaseCluster) sendHoldRequest(from, to *leaseNode, nonce uint64, requestDelay, responseDelay time.Duration) {
	if c.cutLinks[linkKey(from, to)] || time.Now().Before(to.pausedUntil) {
		return
	}
	time.AfterFunc(requestDelay, func() {
		if to.isReplaced() {
			return
		}
		if c.mutation != "promise-not-kept" {
			to.manager.GrantHold(time.Now())
		}
		view := viewHashOf(to.view())
		if c.mutation == "ask-only-whom-it-sees" {
			view = viewHashOf(from.view())
		}
		time.AfterFunc(responseDelay, func() { from.manager.HandleHold(time.Now(), to.manager.Holder, nonce, view) })
	})
}

func linkKey(a, b *leaseNode) [2]member.Incarnation {
	x, y := a.manager.Holder, b.manager.Holder
	return [2]member.Incarnation{min(x, y), max(x, y)}
}

// injectFault injects at most one random fault.
func (c *leaseCluster) injectFault() {
	r := c.r
	node := c.nodes[r.rng.IntN(len(c.nodes))]
	switch {
	case r.chance(0.06):
		r.countFault("view-changed")
		live := []member.Entry{{Incarnation: node.manager.Holder}}
		for _, other := range c.nodes {
			if other != node && r.chance(0.7) {
				live = append(live, member.Entry{Incarnation: other.manager.Holder})
			}
		}
		node.setView(live)
	case r.chance(0.08):
		// Reset all views to the full membership, the most frequent state.
		var live []member.Entry
		for _, other := range c.nodes {
			live = append(live, member.Entry{Incarnation: other.manager.Holder})
		}
		for _, other := range c.nodes {
			other.setView(live)
		}
	case r.chance(0.02):
		r.countFault("node-replaced")
		node.cancel()
		node.markReplaced()
		c.replacedNodes = append(c.replacedNodes, node)
		for i := range c.nodes {
			if c.nodes[i] == node {
				c.nodes[i] = c.addNode()
			}
		}
	case r.chance(0.05):
		r.countFault("node-cut-off-from-log")
		node.log.SetPartitioned(!node.log.Partitioned())
	case r.chance(0.05):
		r.countFault("link-cut")
		other := c.nodes[r.rng.IntN(len(c.nodes))]
		c.cutLinks[linkKey(node, other)] = !c.cutLinks[linkKey(node, other)]
	case r.chance(0.02):
		r.countFault("node-paused")
		node.pausedUntil = time.Now().Add(r.durationBetween(0, time.Minute))
	}
}

func runColdStartLeases(r *run, m mutation) {
	log := &standin.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	go r.injectLogFaults(ctx, log, 3*time.Minute, 3*time.Minute)
	cluster := &leaseCluster{r: r, mutation: m, log: log, cutLinks: map[[2]member.Incarnation]bool{}}
	for range 2 + r.rng.IntN(4) {
		cluster.nodes = append(cluster.nodes, cluster.addNode())
	}
	// activeCall is the lease holder that last sent a call, and the end of that call.
	type activeCall struct {
		holder *leaseNode
		endsAt time.Time
	}
	activeCalls := map[vm.ID]activeCall{}
	leaseCount := 0
	for range 700 {
		time.Sleep(r.durationBetween(100*time.Millisecond, 2*time.Second))
		cluster.injectFault()
		cluster.requestExtension(cluster.nodes[r.rng.IntN(len(cluster.nodes))])
		cluster.requestExtension(cluster.nodes[r.rng.IntN(len(cluster.nodes))])
		for target := range 8 {
			id := vm.ID(fmt.Sprint("target-", target))
			for _, n := range cluster.nodes {
				deadline, ok := n.leaseDeadline(id, m)
				now := time.Now()
				if !ok || now.Before(n.pausedUntil) {
					continue
				}
				if last, exists := activeCalls[id]; exists && last.holder != n && now.Before(last.endsAt) {
					r.addViolation("two nodes send calls to cold target %s at the same time", id)
				}
				leaseCount++
				// A call may last until the lease expires; some do.
				activeCalls[id] = activeCall{holder: n, endsAt: now.Add(min(deadline.Sub(now), r.durationBetween(0, 50*time.Second)))}
			}
		}
	}
	if leaseCount == 0 {
		r.addViolation("leases held: got 0, want some")
	}
	cancel()
	for _, n := range cluster.nodes {
		n.cancel()
	}
	time.Sleep(10 * time.Minute)
}
