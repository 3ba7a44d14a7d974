package gateway

import (
	"net/http"
	"time"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/tenant"
)

// authenticate returns the request with the tenant of its key, or the status and reason with
// which to refuse it. A key that this node's plan lacks may be new if the operator topic was
// not read for outageThreshold; the caller is then to try again elsewhere.
func (n *Node) authenticate(plan *Plan, r *http.Request) (authenticated *http.Request, status int, reason outcome.Reason) {
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
	case len(keys) == 1 && n.state.markAge(replica.Operator, time.Now()) > outageThreshold:
		return r, http.StatusServiceUnavailable, outcome.KeyUnverified
	default:
		return r, http.StatusUnauthorized, outcome.UnknownKey
	}
}

// relayedTenant returns a request of another node with the tenant that this node has named.
func (n *Node) relayedTenant(r *http.Request) *http.Request {
	plan := n.upstreams.active.Load().plan
	if plan == nil || plan.Tenants == nil {
		return r
	}
	t := plan.Tenants.Named(tenant.Name(r.Header.Get(n.entrySettings.Protocol.TenantHeader)))
	return r.WithContext(tenant.WithContext(r.Context(), t))
}
