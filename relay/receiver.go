package relay

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/outcome"
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
	// OnCall, if set, is called with each relayed call that is taken, and OnRefusal with each
	// one that is refused before the start; from is the address of the sender.
	OnCall    func(r *http.Request, from string)
	OnRefusal func(r *http.Request, from string, reason Refusal)

	openCalls atomic.Int64
}

// Refusal is the reason why a node did not take a relayed call.
type Refusal string

// The reasons for refusals, beside the reasons of outcomes for which another node may serve a
// call.
const (
	// UnknownSender: this node does not list the sender as a node of the fleet.
	UnknownSender Refusal = "unknown-sender"
	// OtherNode: the call is meant for another node.
	OtherNode Refusal = "other-node"
	// TooManyCalls: this node serves as many relayed calls as it may.
	TooManyCalls Refusal = "too-many-calls"
	// NotReady: this node has no configuration yet, or leaves.
	NotReady Refusal = "not-ready"
)

// isOfCall reports whether a refusal concerns one call or route, so that the node may take others.
func (r Refusal) isOfCall() bool {
	switch outcome.Reason(r) {
	case outcome.NoService, outcome.BadDeadline, outcome.BodyBroken:
		return true
	default:
		return false
	}
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
			rc.writeState(w, outcome.Done)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// serve serves a relayed call.
func (rc *Receiver) serve(w http.ResponseWriter, r *http.Request, to vm.ID) {
	from := r.RemoteAddr
	reason := rc.refusalOfSender(from, to)
	if reason == "" {
		defer rc.openCalls.Add(-1)
		reason = rc.refusalForLoad(rc.openCalls.Add(1))
	}
	if reason != "" {
		rc.reportRefusal(r, from, reason)
		rc.refuse(w, reason)
		return
	}
	if rc.OnCall != nil {
		rc.OnCall(r, from)
	}
	if caller := r.Header.Get(headerCaller); caller != "" {
		r.RemoteAddr = net.JoinHostPort(caller, "0")
	}
	r.Header.Del(headerTo)
	r.Header.Del(headerCaller)
	if rc.Prepare != nil {
		r = rc.Prepare(r)
	}
	failure := rc.Handler.ServeRelayed(&responseWriter{ResponseWriter: w, receiver: rc}, r)
	switch {
	case failure == nil:
	case failure.IsForAnotherNode():
		rc.reportRefusal(r, from, Refusal(failure.Reason))
		rc.refuse(w, Refusal(failure.Reason))
	default:
		rc.writeFailure(w, failure, entry.RetryDelay(failure))
	}
}

// refusalOfSender returns why this node does not take a call from the given address for the given
// node, or "".
func (rc *Receiver) refusalOfSender(from string, to vm.ID) Refusal {
	ip, _, err := net.SplitHostPort(from)
	switch {
	case err != nil || !rc.IsMember(ip):
		return UnknownSender
	case to != rc.Self:
		return OtherNode
	default:
		return ""
	}
}

// refusalForLoad returns why this node takes no call of other nodes now, or "". openCalls counts
// the relayed calls in progress, this one included.
func (rc *Receiver) refusalForLoad(openCalls int64) Refusal {
	switch {
	case openCalls > maxOpenCalls:
		return TooManyCalls
	case !rc.CanServe():
		return NotReady
	default:
		return ""
	}
}

func (rc *Receiver) reportRefusal(r *http.Request, from string, reason Refusal) {
	if rc.OnRefusal != nil {
		rc.OnRefusal(r, from, reason)
	}
}
