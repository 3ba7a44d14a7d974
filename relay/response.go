package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/outcome"
)

// responseWriter writes a response to another node. Its headers state what a node states of the
// call, whatever a target wrote under their names.
type responseWriter struct {
	http.ResponseWriter
	receiver *Receiver
}

// WriteHeader writes the status of a target's response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.receiver.writeState(w, outcome.Done)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Flush sends what was written, if the writer below can.
func (w *responseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// writeState sets the headers that describe this node and how a call ended, and removes all
// others of the protocol.
func (rc *Receiver) writeState(w http.ResponseWriter, o outcome.Outcome) {
	h := w.Header()
	for _, name := range ownHeaders {
		h.Del(name)
	}
	h.Set(headerInstance, rc.Instance)
	h.Set(headerState, stateLive)
	h.Set(headerInFlight, strconv.FormatInt(rc.openCalls.Load(), 10))
	h.Set(headerOutcome, string(o))
}

// refuse writes the response to a call that this node has not started. The sender may send it
// to another node.
func (rc *Receiver) refuse(w http.ResponseWriter, reason Refusal) {
	rc.writeState(w, outcome.NotRun)
	w.Header().Set(headerRefused, refusedBeforeStart)
	w.Header().Set(headerReason, string(reason))
	if !reason.isOfCall() {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	status := http.StatusServiceUnavailable
	if reason == OtherNode {
		status = http.StatusMisdirectedRequest
	}
	w.WriteHeader(status)
}

// writeFailure writes how a call ended for which this node got no response of a target.
func (rc *Receiver) writeFailure(w http.ResponseWriter, f *dispatch.CallFailure, retryAfter time.Duration) {
	rc.writeState(w, f.Outcome)
	w.Header().Set(headerReason, string(f.Reason))
	w.Header().Set(entry.HeaderExtraAttempts, strconv.Itoa(f.ExtraAttempts))
	if retryAfter > 0 {
		w.Header().Set(headerRetry, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	status := http.StatusServiceUnavailable
	if f.Outcome == outcome.Unknown {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}
