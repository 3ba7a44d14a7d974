package node

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
)

// quietLog drops what net/http would log of callers' broken connections.
var quietLog = log.New(io.Discard, "", 0)

const (
	// farewell bounds what a node still says after its last call.
	farewell = 2 * time.Second
	// farewellPause is how long its last words have to leave.
	farewellPause = 20 * time.Millisecond
)

// Stop ends the node as planned: readiness falls first, the node takes what
// still comes for the grace, calls in progress end, then the ports close. It
// returns how many calls were cut off, which is zero unless ctx or the limit
// ended the wait.
func (n *Node) Stop(ctx context.Context) (cut int64) {
	if n.leaving.Swap(true) {
		return 0
	}
	event.NodeLeaving.Log(n.logger, zap.Int64("open", n.handler.OpenCallCount()))
	n.ready.Store(false)
	n.handler.SetDraining()
	n.members.Update(func(e *member.Entry) { e.Status = member.Leaving })
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout)
	defer cancel()
	pause.For(ctx, n.settings.StopGrace)
	// The library's graceful stop closes the listener and idle connections, and
	// waits for calls.
	err := n.callers.http.Shutdown(ctx)
	cut = n.handler.OpenCallCount()
	if err != nil || cut > 0 {
		event.NodeForcedStop.Log(n.logger, zap.Int64("cut", cut))
	}
	n.callers.http.Close()
	n.sayFarewell(cut == 0)
	n.end()
	event.NodeStopped.Log(n.logger, zap.Int64("cut", cut))
	return cut
}

// sayFarewell tells peers that the node has left. If every call has ended it
// frees the rights to cold targets; calls that were cut off may still run there.
func (n *Node) sayFarewell(ended bool) {
	ctx, cancel := context.WithTimeout(context.Background(), farewell)
	defer cancel()
	if ended {
		n.rights.ReleaseShards(ctx)
	}
	n.members.Update(func(e *member.Entry) { e.Status = member.Left })
	n.hub.Broadcast(peer.Message{Entries: []member.Entry{n.members.Self()}}, nil)
	pause.For(ctx, farewellPause)
}

// Kill ends the node at once, as a failing VM does.
func (n *Node) Kill() {
	n.leaving.Store(true)
	n.callers.http.Close()
	n.end()
}

func (n *Node) end() {
	n.cancel()
	n.hub.Close()
	n.operators.http.Close()
	n.peers.http.Close()
	n.health.http.Close()
	n.loops.Wait()
	n.fleet.close()
}

// close closes all connections to targets.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Close()
	}
}

// healthHandler serves the platform's balancer and scrapers.
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
