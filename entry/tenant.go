package entry

import (
	"net/http"

	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/wire"
)

// setTenant sets the tenant's name in the headers of a request to a target, whatever the
// caller sent under this name, and removes the key. It must run after the hop-by-hop headers
// were removed, since a caller may list the name among these.
func setTenant(h http.Header, p wire.Protocol, t *tenant.Tenant) {
	if t == nil || p.TenantHeader == "" {
		return
	}
	h.Del(p.KeyHeader)
	h.Del(p.TenantHeader)
	if t.Name != "" {
		h.Set(p.TenantHeader, string(t.Name))
	}
}

// withTenantUrgency returns the route with the urgency of the call's tenant, which goes
// before that of the route.
func (r Route) withTenantUrgency(t *tenant.Tenant) Route {
	if t == nil || !t.HasUrgency || t.Urgency == r.Profile.Urgency {
		return r
	}
	p := *r.Profile
	p.Urgency = t.Urgency
	r.Profile = &p
	return r
}
