package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/drain"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
)

// leaveTimeout bounds the call to Store.Leave.
const leaveTimeout = 200 * time.Millisecond

// Stop shuts the node down gracefully: it becomes unready at once, accepts calls for
// part of the grace period and then waits for the calls in progress. It cuts them off when ctx
// ends or shortly before the end of the grace period.
func (n *Node) Stop(ctx context.Context) {
	if n.isLeaving.Swap(true) {
		return
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.handler.OpenCallCount()))
	n.logReadinessChange()
	n.handler.SetDraining()
	n.hub.Broadcast(peer.Message{Left: []vm.ID{n.self.ID}}, nil)
	// A later change of the settings must not cut calls that were sent by this grace period.
	times := drain.ForGrace(time.Now(), n.reloadable.Load().GracePeriod)
	n.handler.Dispatcher.BeginStop(times.AttemptEnd)
	n.sender.BeginStop(times.AttemptEnd)
	n.goroutines.Go(n.leave)
	pause.For(ctx, time.Until(times.AcceptEnd))
	ctx, cancel := context.WithDeadline(ctx, times.CutOff)
	defer cancel()
	endWaiting := time.AfterFunc(time.Until(times.WaitEnd), n.handler.Dispatcher.EndWaiting)
	defer endWaiting.Stop()
	err := n.callerServer.Drain(ctx)
	n.waitForRelayed(ctx)
	if err != nil {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	}
	event.NodeStopped.Log(n.logger, zap.Int64("cut", n.handler.OpenCallCount()))
	n.close()
}

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
