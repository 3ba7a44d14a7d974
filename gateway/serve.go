package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/outcome"
)

const (
	// planPatience is how long a call waits for a node that has just started to
	// learn what to serve: its peers or the store tell it within some 0.1 s, and a
	// caller that is sent away comes back later than that.
	planPatience = 400 * time.Millisecond
	// notYet is when a caller may come back to a node that still knows nothing, in
	// seconds.
	notYet = "0.2"
)

// serve serves a caller; without a plan nothing is known not to exist.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	plan := n.awaitPlan(r.Context())
	if plan == nil {
		w.Header().Set("Retry-After", notYet)
		n.refuse(w, r, http.StatusServiceUnavailable, outcome.NoPlan)
		return
	}
	if status, reason := plan.Limits.check(r); reason != "" {
		n.refuse(w, r, status, reason)
		return
	}
	if limit := plan.Limits.MaxBodyBytes; limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	n.handler.ServeHTTP(w, r)
}

// refuse ends a call that goes no further.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, status int, reason outcome.Reason) {
	n.counts.CountNotRun(reason)
	event.CallNotRun.Log(n.logger, zap.String("id", r.Header.Get(n.requestID)), zap.String("reason", string(reason)),
		zap.Int64("version", n.planVersion()), zap.Int("status", status))
	w.WriteHeader(status)
}

// isInformed reports whether the node knows a plan and its targets.
func (n *Node) isInformed() bool {
	select {
	case <-n.informed:
		return true
	default:
		return false
	}
}

// awaitPlan returns the plan in force, once the node knows that and its targets, or
// nil if it has not learnt them within the patience.
func (n *Node) awaitPlan(ctx context.Context) *Plan {
	ctx, cancel := context.WithTimeout(ctx, planPatience)
	defer cancel()
	select {
	case <-n.informed:
		return n.fleet.current.Load().plan
	case <-ctx.Done():
		return nil
	}
}

// check returns why a request is longer than callers may send, and the status that
// says so; the reason is empty if it is not.
func (l Limits) check(r *http.Request) (status int, reason outcome.Reason) {
	if l.MaxBodyBytes > 0 && r.ContentLength > l.MaxBodyBytes {
		return http.StatusRequestEntityTooLarge, outcome.BodyTooLong
	}
	if l.MaxHeaderBytes > 0 && headerBytes(r) > l.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, outcome.HeadersTooLong
	}
	return 0, ""
}

// headerBytes is about how long a request's line and headers are.
func headerBytes(r *http.Request) (n int64) {
	n = int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v))
		}
	}
	return n
}
