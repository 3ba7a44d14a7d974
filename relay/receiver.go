package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/vm"
)

// maxOpenCalls bounds the relayed calls that a node serves at a time, so that calls of its
// own callers keep most of the capacity.
const maxOpenCalls = 256

// retryAfterSeconds is the time for which a node that refuses a call is not asked again by
// the one that sent it, in seconds.
const retryAfterSeconds = "1"

// Receiver serves the calls that other nodes send to this one.
type Receiver struct {
	Handler *entry.Handler
	// Self is the ID of the node, and Instance identifies its process.
	Self     vm.ID
	Instance string
	// IsMember reports whether an IP address is that of a node of the fleet.
	IsMember func(ip string) bool
	// CanServe reports whether the node takes calls: it has its configuration and does not
	// leave.
	CanServe func() bool
	// Prepare, if set, returns a relayed call with what the sender has stated about its
	// caller.
	Prepare func(r *http.Request) *http.Request
	// OnForeign, if set, is called with the address of a sender that is no node.
	OnForeign func(remote string)

	openCalls atomic.Int64
}

// OpenCallCount returns the number of relayed calls in progress.
func (rc *Receiver) OpenCallCount() int64 {
	return rc.openCalls.Load()
}

// Wrap returns a handler that serves relayed calls and probes itself, and passes any other
// request on.
func (rc *Receiver) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		to := r.Header.Get(headerTo)
		switch {
		case to != "":
			rc.serve(w, r, vm.ID(to))
		case r.URL.Path == probePath:
			rc.writeState(w)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// writeState sets the headers that describe this node.
func (rc *Receiver) writeState(w http.ResponseWriter) {
	w.Header().Set(headerInstance, rc.Instance)
	w.Header().Set(headerState, stateLive)
	w.Header().Set(headerInFlight, strconv.FormatInt(rc.openCalls.Load(), 10))
}

// serve serves a relayed call.
func (rc *Receiver) serve(w http.ResponseWriter, r *http.Request, to vm.ID) {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !rc.IsMember(ip) {
		if rc.OnForeign != nil {
			rc.OnForeign(r.RemoteAddr)
		}
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if to != rc.Self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer rc.openCalls.Add(-1)
	if rc.openCalls.Add(1) > maxOpenCalls || !rc.CanServe() {
		refuse(w)
		return
	}
	rc.writeState(w)
	if caller := r.Header.Get(headerCaller); caller != "" {
		r.RemoteAddr = net.JoinHostPort(caller, "0")
	}
	r.Header.Del(headerTo)
	r.Header.Del(headerCaller)
	if rc.Prepare != nil {
		r = rc.Prepare(r)
	}
	if !rc.Handler.ServeRelayed(w, r) {
		refuse(w)
	}
}

// refuse writes the response to a call that this node has not started.
func refuse(w http.ResponseWriter) {
	w.Header().Set(headerRefused, refusedBeforeStart)
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.WriteHeader(http.StatusServiceUnavailable)
}
