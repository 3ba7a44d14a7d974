package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// quarantineNode connects a node's quarantine to its targets and its fleet; it implements
// quarantine.Node.
type quarantineNode struct{ node *Node }

// Self returns the node's ID.
func (q quarantineNode) Self() vm.ID { return q.node.self.ID }

// NodeIDs returns the IDs of the known nodes of the fleet.
func (q quarantineNode) NodeIDs() (ids []vm.ID) {
	for _, n := range q.node.state.FleetNodes(time.Now()) {
		ids = append(ids, n.ID)
	}
	return ids
}

// Process returns the process of an attempt. A VM may start again under its ID, with another
// incarnation.
func (q quarantineNode) Process(r target.Reservation) quarantine.Process {
	return processOf(r.Ref.ID, r.Incarnation())
}

func processOf(id vm.ID, incarnation int64) quarantine.Process {
	return quarantine.Process{Target: id, Instance: target.Instance(strconv.FormatInt(incarnation, 10))}
}

// HasEnded reports whether the process of an attempt has ended.
func (q quarantineNode) HasEnded(ctx context.Context, r target.Reservation) bool {
	return q.node.upstreams.hasEnded(ctx, r.Ref)
}
