package entry

import (
	"net/http"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
)

// Forwarder sends calls through other nodes.
type Forwarder interface {
	// Forward returns the handler and the route by which a call goes through another node.
	// It may add headers to the request for that node.
	Forward(route Route, r *http.Request) (*Handler, Route)
}

// forward sends a call through another node after it failed here for lack of a path. Its
// deadline and what is left of its allowance stay as they are, and so does it that a copy may
// have run.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, in inboundCall, former *dispatch.CallFailure, arrivedAt time.Time) {
	next, route := h.Forwarder.Forward(in.route, r)
	call := *in.call
	call.Profile = route.Profile
	call.Allowance = former.Allowance
	call.Claim, call.Identity = nil, nil
	in.route, in.call = route, &call
	if former.Outcome == outcome.Unknown {
		w = &unknownWriter{ResponseWriter: w, proofHeader: h.protocol().ProofHeader}
	}
	failure := next.execute(w, r, in, arrivedAt)
	if failure == nil {
		return
	}
	if former.Outcome == outcome.Unknown {
		failure.Outcome, failure.Reason = former.Outcome, former.Reason
	}
	next.fail(w, r, in, failure, arrivedAt)
}

// unknownWriter writes the response to a call of which an earlier copy may have run. The
// refusal of another node states that the call was not run, which holds for the later copy
// only.
type unknownWriter struct {
	http.ResponseWriter
	// proofHeader is present on the responses of targets.
	proofHeader string
}

// WriteHeader writes the status, or 502 in place of a node's refusal.
func (u *unknownWriter) WriteHeader(status int) {
	isRefusal := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if isRefusal && u.Header().Get(u.proofHeader) == "" {
		u.Header().Del("Retry-After")
		status = http.StatusBadGateway
	}
	u.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (u *unknownWriter) Unwrap() http.ResponseWriter {
	return u.ResponseWriter
}

// Flush sends what was written, if the writer below can.
func (u *unknownWriter) Flush() {
	if f, ok := u.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
