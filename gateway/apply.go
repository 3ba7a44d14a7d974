package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
)

// logReadinessChange logs the node's readiness if it differs from what was logged last.
func (n *Node) logReadinessChange() {
	ready := n.isReady()
	if n.loggedReady.Swap(ready) == ready {
		return
	}
	if ready {
		event.NodeReady.Log(n.logger)
		return
	}
	event.NodeUnready.Log(n.logger, zap.Bool("leaving", n.isLeaving.Load()))
}

// incompleteLogInterval is the time between two log lines that state why the node cannot
// serve.
const incompleteLogInterval = time.Second

// logIncomplete logs which parts of the state a node lacks that has not been able to serve
// for incompleteLogInterval, and returns when it may log again.
func (n *Node) logIncomplete(now, due time.Time) (nextDue time.Time) {
	if n.isInitialized() || now.Before(due) {
		return due
	}
	linkCount, nodeCount := n.linkAndNodeCount()
	event.NodeIncomplete.Log(n.logger, append(n.state.Completeness().LogFields(), zap.Int("links", linkCount), zap.Int("nodes", nodeCount))...)
	return now.Add(incompleteLogInterval)
}

// applyIfChanged makes the current state active in the upstreams, unless that is done.
// Sorting and comparing all targets is most of the work of an idle node.
func (n *Node) applyIfChanged(now time.Time) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	nodes := n.state.FleetNodes(now)
	revision := n.state.Revision()
	isDue := !n.nextChangeAt.IsZero() && !now.Before(n.nextChangeAt)
	fleetSize := n.fleetSize(nodes, now)
	if revision == n.appliedRevision && fleetSize == n.appliedFleetSize && !isDue {
		return
	}
	snap := n.state.Snapshot(now)
	if n.upstreams.apply(snap, nodes, fleetSize, now) {
		snap.NextChangeAt = now.Add(laneRecheckInterval)
	}
	n.applyPendingLimits(now)
	n.appliedRevision, n.appliedFleetSize, n.nextChangeAt = revision, fleetSize, snap.NextChangeAt
}

// laneRecheckInterval is the time after which lanes that may change by time alone are
// applied again.
const laneRecheckInterval = 200 * time.Millisecond

// applyState makes the current state active: plan, targets, zones out of service and
// readiness.
func (n *Node) applyState() {
	n.applyIfChanged(time.Now())
	if n.state.CanServe() {
		n.initializedOnce.Do(func() { close(n.initialized) })
	}
	n.logReadinessChange()
}

// isReady reports whether the readiness check succeeds: the node can serve and is not
// leaving.
func (n *Node) isReady() bool {
	return !n.isLeaving.Load() && n.state.CanServe()
}

// planVersion returns the version of the active plan, or 0 without one.
func (n *Node) planVersion() int64 {
	if plan := n.upstreams.active.Load().plan; plan != nil {
		return int64(plan.Version)
	}
	return 0
}
