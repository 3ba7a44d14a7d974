package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// balancerDetectionTime is how long the external load balancer may keep sending
	// calls after the node became unready: it checks readiness once a second and removes
	// a node after the second failed check.
	balancerDetectionTime = 2700 * time.Millisecond
	// acceptShare is the maximum part of the grace period during which a leaving node
	// accepts calls; the rest is for the calls in progress.
	acceptShare = 0.5
	// leaveTimeout bounds the call to Store.Leave.
	leaveTimeout = 200 * time.Millisecond
)

// Stop shuts the node down gracefully: it becomes unready at once, accepts calls for
// acceptDuration and then waits for the calls in progress. It cuts them off when ctx ends
// or stopMargin before the end of the grace period.
func (n *Node) Stop(ctx context.Context) {
	if n.isLeaving.Swap(true) {
		return
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.handler.OpenCallCount()))
	n.logReadinessChange()
	n.handler.SetDraining()
	n.hub.Broadcast(peer.Message{Left: []vm.ID{n.self.ID}}, nil)
	// A later change of the settings must not cut calls that were sent by this grace period.
	grace := n.reloadable.Load().GracePeriod
	end := time.Now().Add(grace - stopMargin)
	n.handler.Dispatcher.BeginStop(end.Add(-responseMargin))
	n.sender.BeginStop(end.Add(-responseMargin))
	n.goroutines.Go(n.leave)
	pause.For(ctx, acceptDuration(grace))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	endWaiting := time.AfterFunc(time.Until(end.Add(-waitEndMargin)), n.handler.Dispatcher.EndWaiting)
	defer endWaiting.Stop()
	err := n.callerServer.Drain(ctx)
	n.waitForRelayed(ctx)
	if err != nil {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	}
	event.NodeStopped.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	n.close()
}

// acceptDuration returns how long a leaving node accepts calls. Then it closes its
// listener and idle connections: a later call might not end within the grace period.
func acceptDuration(grace time.Duration) time.Duration {
	return min(balancerDetectionTime, time.Duration(acceptShare*float64(grace)))
}

// stopMargin is the part of the grace period that is reserved for the last steps of
// Stop.
const stopMargin = 300 * time.Millisecond

// responseMargin is the time before the end of the calls in progress at which an attempt that
// is still open is given up, so that its caller gets a response.
const responseMargin = 100 * time.Millisecond

// waitEndMargin is the time before the end of the calls in progress at which those that still
// wait for capacity are refused: each checks ten times a second whether it may be sent.
const waitEndMargin = 300 * time.Millisecond

// close closes all servers, links and connections, and waits for the background loops.
func (n *Node) close() {
	n.cancel()
	n.hub.Close()
	for _, s := range n.servers {
		s.Close()
	}
	n.goroutines.Wait()
	n.upstreams.close()
	n.sender.Close()
}
