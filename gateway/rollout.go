package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/canary"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/replica"
)

// newRollouts returns the node's part in the roll-outs of the fleet.
func (n *Node) newRollouts(store canary.Store) *canary.Exchange {
	return canary.NewExchange(n.hub, canary.Settings{
		Bounds: n.settings.Rollouts, Node: uint32(n.hub.Self), Store: store, Logger: n.logger, Metrics: metrics.NewRollouts(n.registry.Scope),
		IsReader:    n.isReading[replica.Operator].Load,
		IsLinked:    func() bool { return len(n.hub.Links()) > 0 || len(n.state.FleetNodes(time.Now())) == 1 },
		IsLocalLink: n.isLocalLink, OnChange: n.applyAgain,
	})
}

// applyAgain applies the current state although its revision may be the same.
func (n *Node) applyAgain() {
	n.applyMu.Lock()
	n.appliedRevision = 0
	n.applyMu.Unlock()
	n.applyState()
}
