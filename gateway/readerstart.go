package gateway

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/pause"
)

// conditionCheckInterval is the time between two checks of a condition.
const conditionCheckInterval = 3 * time.Millisecond

// waitForPeers gives peers time to send their records to a node that has just started.
// If the whole fleet starts, few nodes begin to read early, whatever its size. If a node
// restarts, all others may have been killed with it: all list the members at once, so
// that they are linked soon, but the first few to read send the records to the others.
func (n *Node) waitForPeers(ctx context.Context) {
	if n.settings.IsFirstFleetStart {
		pause.For(ctx, pacing.FleetStartWait())
		return
	}
	n.listNodes(ctx)
	n.waitUntil(ctx, pacing.RejoinWait, n.state.CanServe)
	n.waitUntil(ctx, pacing.RestartWait(int(n.estimatedNodeCount.Load())), n.state.CanServe)
}

// estimateFleet records the number of members that a join has told; zero means unknown.
func (n *Node) estimateFleet(nodeCount int) {
	if nodeCount > 0 {
		n.estimatedNodeCount.Store(int64(nodeCount))
	}
}

// waitUntil waits until a condition holds, at most for the given time.
func (n *Node) waitUntil(ctx context.Context, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && !condition() && ctx.Err() == nil; {
		pause.For(ctx, conditionCheckInterval)
	}
}

// linkAndNodeCount returns the number of open links and of nodes of the fleet.
func (n *Node) linkAndNodeCount() (linkCount, nodeCount int) {
	return len(n.hub.Links()), len(n.state.FleetNodes(time.Now()))
}
