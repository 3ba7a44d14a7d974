package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

const quotaTenant tenant.Name = "one"

// newSpentNode returns a node at which the quota of a tenant is used up.
func newSpentNode(t *testing.T) *Node {
	t.Helper()
	self := vm.VM{ID: "self", Zone: "z"}
	n := &Node{
		self: self, upstreams: &upstreams{}, logger: zap.NewNop(), state: inventory.NewState(rulesDecoder{}, self, nil),
		entrySettings: entry.Settings{Protocol: wire.Protocol{TenantHeader: "Tenant"}},
	}
	config := tenant.Config{Tenant: tenant.Tenant{Name: quotaTenant, Quota: quota.Limit{PerSecond: 0.001, Burst: 2}}}
	n.upstreams.active.Store(&activeConfig{plan: &inventory.Plan{Tenants: tenant.NewDirectory([]tenant.Config{config}, &fault.List{})}})
	n.grants = n.newGrants()
	taken := 0
	for hasQuota(t, n) {
		taken++
	}
	if taken == 0 {
		t.Fatal("calls of the tenant: got none, want those of its burst")
	}
	return n
}

// hasQuota takes a call from the quota of the tenant, and reports whether there was one.
func hasQuota(t *testing.T, n *Node) bool {
	ok, _, _ := n.grants.Acquire(t.Context(), quotaTenant)
	return ok
}

// newTenantRequest returns a request of another node, which names the tenant.
func newTenantRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set("Tenant", string(quotaTenant))
	return r
}

// Guards against quota that is given back where it was not taken: the node that the caller is
// connected to has taken it.
func TestRelayedCallReturnsNoQuota(t *testing.T) {
	n := newSpentNode(t)
	n.recordCallEnd(entry.CallResult{Request: n.relayedTenant(newTenantRequest()), Outcome: outcome.NotRun})
	if hasQuota(t, n) {
		t.Error("quota after a relayed call that was not run: got one call, want none")
	}
}

// Guards against quota that is lost with a call that no other node has run.
func TestForwardedCallReturnsQuota(t *testing.T) {
	n := newSpentNode(t)
	r := newTenantRequest()
	r = r.WithContext(tenant.WithContext(r.Context(), n.upstreams.active.Load().plan.Tenants.Named(quotaTenant)))
	n.recordForwardEnd(entry.CallResult{Request: r, Outcome: outcome.NotRun})
	if !hasQuota(t, n) {
		t.Error("quota after a call that was not run: got none, want one call")
	}
}
