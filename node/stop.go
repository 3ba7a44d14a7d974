package node

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/drain"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
)

// discardLog discards the error messages of the HTTP servers, such as those about
// connections that callers broke.
var discardLog = log.New(io.Discard, "", 0)

const (
	// leaveTimeout bounds announceLeave.
	leaveTimeout = 2 * time.Second
	// leaveSendDelay is the time given to the links to send the last message.
	leaveSendDelay = 20 * time.Millisecond
)

// Stop ends the node in a planned way: it becomes unready, accepts calls for the
// grace period, waits for the calls in progress and then closes its ports. It
// returns how many calls were cut off; that is zero unless ctx or the stop limit
// ended the wait. A later call returns zero at once.
func (n *Node) Stop(ctx context.Context) (cutCalls int64) {
	if n.isLeaving.Swap(true) {
		return 0
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.callerHandler.OpenCallCount()))
	n.isReady.Store(false)
	n.callerHandler.SetDraining()
	n.members.Update(func(e *member.Entry) { e.Status = member.Leaving })
	times := drain.Within(time.Now(), n.settings.StopGrace, n.settings.StopTimeout)
	n.callerHandler.Dispatcher.BeginStop(times.AttemptEnd)
	ctx, cancel := context.WithDeadline(ctx, times.CutOff)
	defer cancel()
	pause.For(ctx, time.Until(times.AcceptEnd))
	err := n.callerServer.Drain(ctx)
	cutCalls = n.callerHandler.OpenCallCount()
	if err != nil || cutCalls > 0 {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", cutCalls))
	}
	n.callerServer.Close()
	n.announceLeave(cutCalls == 0)
	n.shutdown()
	event.NodeStopped.Log(n.logger, zap.Int64("cut", cutCalls))
	return cutCalls
}

// announceLeave notifies peers that the node has left. If all calls have ended, it
// releases the cold-start leases; calls that were cut off may still run at their
// targets.
func (n *Node) announceLeave(allCallsEnded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if allCallsEnded {
		n.leaseManager.ReleaseShards(ctx)
	}
	n.members.Update(func(e *member.Entry) { e.Status = member.Left })
	n.hub.Broadcast(peer.Message{Entries: []member.Entry{n.members.Self()}}, nil)
	pause.For(ctx, leaveSendDelay)
}

// Kill ends the node at once, without waiting for calls or notifying peers, like a
// failing VM.
func (n *Node) Kill() {
	n.isLeaving.Store(true)
	n.callerServer.Close()
	n.shutdown()
}

func (n *Node) shutdown() {
	n.cancel()
	n.hub.Close()
	n.operatorServer.Close()
	n.peerServer.Close()
	n.healthServer.Close()
	n.loops.Wait()
	n.services.close()
}

// close closes the connection pools of all targets. Connections in use are closed
// when their calls end.
func (r *serviceRegistry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.connPools {
		p.Close()
	}
}

// healthHandler serves liveness, readiness and metrics to the platform's balancer
// and to scrapers.
func (n *Node) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "live\n") })
	mux.HandleFunc("GET /ready", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.Handler())
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
