package entry

import (
	"net/http"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
)

// Forwarder sends calls through other nodes.
type Forwarder interface {
	// Forward returns the handler and the route by which a call goes through another node.
	// It may add headers to the request for that node.
	Forward(route Route, r *http.Request) (*Handler, Route)
}

// forward sends a call through another node after it failed here for lack of a path. Its
// deadline and what is left of its allowance stay as they are, and its outcome is unknown if a
// copy may have run here. It returns the failure of a call for which it has not written a response.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, in inboundCall, former *dispatch.CallFailure, arrivedAt time.Time) *dispatch.CallFailure {
	next, route := h.Forwarder.Forward(in.route, r)
	call := *in.call
	call.Profile = route.Profile
	call.Allowance, call.IsCounted = former.Allowance, former.IsCounted
	if !call.Profile.Idempotent {
		// By an older configuration of the other node, the call could be repeated.
		call.Allowance = retry.NewAllowance(0)
	}
	call.RepeatBudget = in.route.Dispatch.ExtraAttemptBudget
	call.Claim, call.Identity = nil, nil
	in.route, in.call = route, &call
	failure := next.execute(w, r, in, arrivedAt)
	if failure == nil {
		return nil
	}
	if former.Outcome == outcome.Unknown {
		failure.Outcome, failure.Reason = former.Outcome, former.Reason
	}
	return next.reportFailure(r, in, failure, arrivedAt)
}
