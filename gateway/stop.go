package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
)

const (
	// balancerNotice is how long the balancer may go on sending after readiness
	// fell: it asks once a second and takes a node out at the second miss.
	balancerNotice = 2700 * time.Millisecond
	// takeShare is the longest part of the grace in which a leaving node takes what
	// still comes; the rest is for the calls it has taken.
	takeShare = 0.5
	// farewell bounds the call by which a node leaves the membership.
	farewell = 200 * time.Millisecond
)

// Stop ends the node as planned: it is unready at once, takes what still comes,
// and ends once calls have; ctx ends the wait.
func (n *Node) Stop(ctx context.Context) {
	if n.leaving.Swap(true) {
		return
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.handler.OpenCallCount()))
	n.tellReadiness()
	n.handler.SetDraining()
	began := time.Now()
	n.loops.Go(func() {
		call, cancel := context.WithTimeout(context.Background(), farewell)
		defer cancel()
		if err := n.store.Leave(call, n.self); err != nil {
			event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		}
	})
	pause.For(ctx, takesFor(n.bounds.Load().GracePeriod))
	ctx, cancel := context.WithDeadline(ctx, began.Add(n.bounds.Load().GracePeriod-stopMargin))
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	}
	event.NodeStopped.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	n.end()
}

// takesFor is how long a leaving node takes what still comes. Then it closes its
// port and unused connections: what it takes later might not end within the grace.
func takesFor(grace time.Duration) time.Duration {
	return min(balancerNotice, time.Duration(takeShare*float64(grace)))
}

// stopMargin is what is left of the grace for the last steps.
const stopMargin = 300 * time.Millisecond

func (n *Node) end() {
	n.cancel()
	n.hub.Close()
	for _, s := range n.servers {
		s.Close()
	}
	n.loops.Wait()
	n.fleet.close()
}
