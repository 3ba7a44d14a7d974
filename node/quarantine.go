package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/suspects"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// quarantineNode connects a node's quarantine to its targets and its fleet; it implements
// quarantine.Node.
type quarantineNode struct{ node *Node }

// initQuarantine makes the node hold back requests that end targets.
func (n *Node) initQuarantine() {
	n.quarantine = &quarantine.Guard{Node: quarantineNode{n}}
	n.suspects = &suspects.Exchange{Hub: n.hub, Guard: n.quarantine, Logger: n.logger}
	n.quarantine.Peers = n.suspects
	n.callerHandler.Dispatcher.Quarantine = n.quarantine
}

// Self returns the address of the node, by which the other nodes identify it.
func (q quarantineNode) Self() vm.ID {
	return vm.ID(q.node.members.Self().Address)
}

// NodeIDs returns the addresses of the live members, by which nodes take turns.
func (q quarantineNode) NodeIDs() (ids []vm.ID) {
	for _, e := range q.node.members.Live() {
		ids = append(ids, vm.ID(e.Address))
	}
	return ids
}

// Process returns the process of an attempt, which is identified by its instance.
func (q quarantineNode) Process(r target.Reservation) quarantine.Process {
	return quarantine.Process{Target: r.Ref.ID, Instance: r.Instance()}
}

// HasEnded reports whether the process of an attempt has ended, other than by a planned stop.
func (q quarantineNode) HasEnded(ctx context.Context, r target.Reservation) bool {
	svc, pool := q.node.services.byName()[r.Ref.Service], q.node.services.Pool(r.Ref)
	if svc == nil || pool == nil || svc.Table.IsLeaving(r.Ref.ID) || !pool.HasEnded(ctx, r.Instance()) {
		return false
	}
	event.TargetEnded.Log(q.node.logger, zap.String("service", string(r.Ref.Service)), zap.String("target", string(r.Ref.ID)))
	return true
}

// Quarantine returns the suspected requests, those of the latest ends first.
func (o operatorNode) Quarantine() []operator.SuspectedRequest {
	now := time.Now()
	requests := []operator.SuspectedRequest{}
	for _, c := range o.node.quarantine.Ledger.Cases() {
		request := operator.SuspectedRequest{Request: c.Digest.String(), Verdict: c.Verdict().String(), Trials: c.TrialCount}
		for _, e := range c.Ends {
			request.Ended = append(request.Ended, operator.EndedTarget{VM: string(e.Target), Instance: string(e.Instance), Witness: string(e.Witness), Age: now.Sub(e.At).Round(time.Millisecond).String()})
		}
		requests = append(requests, request)
	}
	return requests
}

// Release makes a suspected request be sent like any other again, at all nodes.
func (o operatorNode) Release(r operator.ReleaseRequest) fault.List {
	digest, err := quarantine.ParseDigest(r.Request)
	if err != nil {
		return fault.List{{Field: "request", Problem: err.Error()}}
	}
	if !o.node.quarantine.Release(digest) {
		return fault.List{{Field: "request", Problem: "is not suspected at this node"}}
	}
	return nil
}
