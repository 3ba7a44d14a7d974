package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/grants"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
)

// authenticate returns the request with the tenant of its key, or the status and reason with
// which to refuse it. A key that this node's plan lacks may be new if the operator topic was
// not read for inventory.OutageThreshold; the caller is then to try again elsewhere.
func (n *Node) authenticate(plan *inventory.Plan, r *http.Request) (authenticated *http.Request, status int, reason outcome.Reason) {
	if plan.Tenants == nil {
		return r, 0, ""
	}
	route := plan.FindRoute(entry.HostWithoutPort(r.Host), r.URL.Path)
	if route == nil || route.IsPublic {
		return r.WithContext(tenant.WithContext(r.Context(), tenant.Anonymous)), 0, ""
	}
	keys := r.Header.Values(n.entrySettings.Protocol.KeyHeader)
	t, err := plan.Tenants.FindOne(keys)
	switch {
	case err == nil:
		return r.WithContext(tenant.WithContext(r.Context(), t)), 0, ""
	case len(keys) == 1 && n.state.MarkAge(replica.Operator, time.Now()) > inventory.OutageThreshold:
		return r, http.StatusServiceUnavailable, outcome.KeyUnverified
	default:
		return r, http.StatusUnauthorized, outcome.UnknownKey
	}
}

// newGrants returns the exchange of the tenants' quotas.
func (n *Node) newGrants() *grants.Exchange {
	return grants.NewExchange(grants.Settings{
		Self: n.self.ID, Logger: n.logger,
		Nodes: func() []vm.VM { return n.state.FleetNodes(time.Now()) },
		Limit: func(name tenant.Name) quota.Limit {
			plan := n.upstreams.active.Load().plan
			if plan == nil || plan.Tenants == nil {
				return quota.Limit{}
			}
			return plan.Tenants.Named(name).Quota
		},
	})
}

// acquireQuota takes a call from the quota of its tenant, or refuses the call and reports
// false.
func (n *Node) acquireQuota(w http.ResponseWriter, r *http.Request) bool {
	t := tenant.FromContext(r.Context())
	if t == nil || !t.Quota.IsSet() {
		return true
	}
	ok, isKnown, wait := n.grants.Acquire(r.Context(), t.Name)
	if ok {
		return true
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	if isKnown {
		n.refuse(w, r, http.StatusTooManyRequests, outcome.OverQuota)
	} else {
		n.refuse(w, r, http.StatusServiceUnavailable, outcome.QuotaUnavailable)
	}
	return false
}

// returnQuota gives back the quota of a call that was not run.
func (n *Node) returnQuota(e entry.CallResult) {
	if t := tenant.FromContext(e.Request.Context()); e.Outcome == outcome.NotRun && t != nil && t.Quota.IsSet() {
		n.grants.Return(t.Name)
	}
}

// relayedTenant returns a request of another node with the tenant that this node has named. The
// tenant has no quota here: the other node has taken the call from it.
func (n *Node) relayedTenant(r *http.Request) *http.Request {
	plan := n.upstreams.active.Load().plan
	if plan == nil || plan.Tenants == nil {
		return r
	}
	t := *plan.Tenants.Named(tenant.Name(r.Header.Get(n.entrySettings.Protocol.TenantHeader)))
	t.Quota = quota.Limit{}
	return r.WithContext(tenant.WithContext(r.Context(), &t))
}
