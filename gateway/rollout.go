package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/canary"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
)

// newRollouts returns the node's part in the roll-outs of the fleet.
func (n *Node) newRollouts(store canary.Store) *canary.Exchange {
	return canary.NewExchange(n.hub, canary.Settings{
		Bounds: n.settings.Rollouts, Node: uint32(n.hub.Self), Store: store, Logger: n.logger, Metrics: metrics.NewRollouts(n.registry.Scope),
		IsReader:    n.isReading[replica.Operator].Load,
		IsLinked:    func() bool { return len(n.hub.Links()) > 0 || len(n.state.fleetNodes(time.Now())) == 1 },
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

// addOrder adds the order in a record of the operator to a snapshot. s.mu must be held.
func (s *nodeState) addOrder(r replica.Record, snap *snapshot) {
	if !s.decoder.IsRolloutKey(r.Key) || r.Deleted {
		return
	}
	o, err := s.decoder.DecodeRollout(r.Key, r.Value)
	if err != nil {
		event.RolloutInvalid.Log(s.logger, zap.String("key", r.Key), zap.Error(err))
		return
	}
	o.ID = rollout.OrderID{Offset: uint64(r.Offset), ValueHash: xxhash.Sum64(r.Value)}
	if snap.orders == nil {
		snap.orders = map[service.Name]*rollout.Order{}
	}
	snap.orders[o.Service] = &o
}

// longestTimeout returns the longest timeout of the calls to a service.
func (p *Plan) longestTimeout(name service.Name) (longest time.Duration) {
	for _, routes := range p.RoutesByHost {
		for i := range routes {
			for _, s := range routes[i].Services {
				if s.Service == name {
					longest = max(longest, routes[i].Profile.CallTimeout)
				}
			}
		}
	}
	return longest
}
