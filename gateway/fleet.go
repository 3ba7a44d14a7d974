package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// assumedNodeCount is the assumed size of the fleet before other nodes are known. It keeps a
// node from using more than its share of the fleet's limits.
const assumedNodeCount = 12

// settleTime is how long after its start a node that knows no other assumes that there
// are some: nodes that start together take as long to find each other.
const settleTime = 10 * time.Second

// fleetSize returns the number of nodes of the fleet, of which this node may not know all
// yet.
func (n *Node) fleetSize(known []vm.VM, now time.Time) int {
	estimated := int(n.estimatedNodeCount.Load())
	isAlone := len(known) == 1 && estimated == 1 && now.Sub(n.startedAt) > settleTime
	if len(known) == 1 && !isAlone {
		return max(assumedNodeCount, estimated)
	}
	return max(len(known), estimated)
}
