package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/tenant"
)

const (
	// planWaitTimeout is how long a call waits in a node that has just started until
	// the node has its plan and targets. They arrive from peers or the store within
	// about 0.1 s, sooner than a refused caller would retry.
	planWaitTimeout = 400 * time.Millisecond
	// retryAfterSeconds is the Retry-After header of responses without a plan, in seconds.
	retryAfterSeconds = "0.2"
)

// serveCaller handles a request of a caller. Without a plan or the list of targets it
// responds with status 503 and not 404, since the existing routes are unknown.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	plan := n.waitForPlan(r.Context())
	if plan == nil {
		w.Header().Set("Retry-After", retryAfterSeconds)
		n.refuse(w, r, http.StatusServiceUnavailable, inventory.MissingReason(n.upstreams.active.Load().plan))
		return
	}
	if status, reason := plan.Limits.Check(r); reason != "" {
		n.refuse(w, r, status, reason)
		return
	}
	r, status, reason := n.authenticate(plan, r)
	if reason != "" {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfterSeconds)
		}
		n.refuse(w, r, status, reason)
		return
	}
	if !n.acquireQuota(w, r) {
		return
	}
	if limit := plan.Limits.MaxBodyBytes; limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	n.handler.ServeHTTP(w, r)
}

// refuse ends a call with a status before it is routed; it logs and counts the reason.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, status int, reason outcome.Reason) {
	n.callMetrics.CountNotRun(reason)
	event.CallNotRun.Log(n.logger, event.RequestID(r.Header.Get(n.requestIDHeader)), zap.String("reason", string(reason)),
		zap.Int64("version", n.planVersion()), zap.Int("status", status), tenant.LogField(r.Context()))
	w.WriteHeader(status)
}

// isInitialized reports whether the node has been able to serve at least once.
func (n *Node) isInitialized() bool {
	select {
	case <-n.initialized:
		return true
	default:
		return false
	}
}

// waitForPlan returns the active plan once the node is initialized, or nil if that takes
// longer than planWaitTimeout.
func (n *Node) waitForPlan(ctx context.Context) *inventory.Plan {
	ctx, cancel := context.WithTimeout(ctx, planWaitTimeout)
	defer cancel()
	select {
	case <-n.initialized:
		return n.upstreams.active.Load().plan
	case <-ctx.Done():
		return nil
	}
}
