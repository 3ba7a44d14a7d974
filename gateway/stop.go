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
	// balancerDetectionTime is how long the balancer may go on sending after readiness
	// fell: it asks once a second and takes a node out at the second miss.
	balancerDetectionTime = 2700 * time.Millisecond
	// acceptShare is the longest part of the grace in which a leaving node takes what
	// still comes; the rest is for the calls it has taken.
	acceptShare = 0.5
	// leaveTimeout bounds the call by which a node leaves the membership.
	leaveTimeout = 200 * time.Millisecond
)

// Stop ends the node as planned: it is unready at once, takes what still comes,
// and ends once calls have; ctx ends the wait.
func (n *Node) Stop(ctx context.Context) {
	if n.isLeaving.Swap(true) {
		return
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.handler.Open()))
	n.logReadinessChange()
	n.handler.SetLeaving()
	began := time.Now()
	n.goroutines.Go(func() {
		call, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		if err := n.store.Leave(call, n.self); err != nil {
			event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		}
	})
	pause.For(ctx, acceptDuration(n.reloadable.Load().Grace))
	ctx, cancel := context.WithDeadline(ctx, began.Add(n.reloadable.Load().Grace-stopMargin))
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", n.handler.Open()))
	}
	event.NodeStopped.Log(n.logger, zap.Int64("cut", n.handler.Open()))
	n.close()
}

// acceptDuration is how long a leaving node takes what still comes. Then it closes its
// port and unused connections: what it takes later might not end within the grace.
func acceptDuration(grace time.Duration) time.Duration {
	return min(balancerDetectionTime, time.Duration(acceptShare*float64(grace)))
}

// stopMargin is what is left of the grace for the last steps.
const stopMargin = 300 * time.Millisecond

func (n *Node) close() {
	n.cancel()
	n.hub.Close()
	for _, s := range n.servers {
		s.Close()
	}
	n.goroutines.Wait()
	n.upstreams.close()
}
