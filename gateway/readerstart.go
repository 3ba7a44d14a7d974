package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

const (
	// minStoreRetryDelay and maxStoreRetryDelay bound the mean delay after a failed
	// call. Between them the delay grows with the number of nodes, so that the fleet
	// retries storeRetriesPerSecond times per second: the first node that reaches the
	// store forwards the records to the others.
	minStoreRetryDelay    = 700 * time.Millisecond
	maxStoreRetryDelay    = 5 * time.Second
	storeRetriesPerSecond = 5
	// reachablePerLink is how many nodes each link of a node is assumed to lead to.
	reachablePerLink = 3
	// fleetStartWait is the maximum wait for records of peers before a node reads the
	// store itself, if the whole fleet starts.
	fleetStartWait = 6 * time.Second
	// rejoinWait is the same for a node that starts while others run: they send it all
	// records sooner than the store does, unless they have just started too.
	rejoinWait = 60 * time.Millisecond
	// restartSpreadPerNode, for each node of the fleet and up to maxRestartSpread, is the
	// time over which the nodes of a fleet that was killed begin to read after that: long
	// enough that the first to do so can send the records to most of the others.
	restartSpreadPerNode = 500 * time.Microsecond
	maxRestartSpread     = 200 * time.Millisecond
	// conditionCheckInterval is the time between two checks of a condition.
	conditionCheckInterval = 3 * time.Millisecond
)

// waitForPeers gives peers time to send their records to a node that has just started.
// If the whole fleet starts, few nodes begin to read early, whatever its size. If a node
// restarts, all others may have been killed with it: all list the members at once, so
// that they are linked soon, but the first few to read send the records to the others.
func (n *Node) waitForPeers(ctx context.Context) {
	if n.settings.IsFirstFleetStart {
		pause.For(ctx, lateBiasedDelay(fleetStartWait))
		return
	}
	n.listNodes(ctx)
	n.waitUntil(ctx, rejoinWait, n.state.CanServe)
	n.waitUntil(ctx, lateBiasedDelay(restartSpread(int(n.estimatedNodeCount.Load()))), n.state.CanServe)
}

// restartSpread returns the time over which nodeCount nodes that restart together begin
// to read.
func restartSpread(nodeCount int) time.Duration {
	return min(time.Duration(nodeCount)*restartSpreadPerNode, maxRestartSpread)
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

// storeRetryDelay returns a random delay before this node retries a failed call. A node with
// few links may be parted from most of the fleet, so that no retry of those helps it.
func (n *Node) storeRetryDelay() time.Duration {
	reachable := 1 + reachablePerLink*len(n.hub.Links())
	return storeRetryDelay(min(reachable, len(n.state.FleetNodes(time.Now()))))
}

// withoutCopyRetryDelay returns the delay before a node that has no copy of the topic retries:
// it cannot serve until then.
func withoutCopyRetryDelay(d time.Duration) time.Duration { return min(d, maxStoreRetryDelay) }

// storeRetryDelay returns a random delay before one of nodeCount nodes retries a failed
// call.
func storeRetryDelay(nodeCount int) time.Duration {
	mean := min(max(time.Duration(nodeCount)*time.Second/storeRetriesPerSecond, minStoreRetryDelay), maxStoreRetryDelay)
	return mean/2 + rand.N(mean)
}
