package relay

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/vm"
)

// Guards against a target's own status 421 as a refusal by the node that has forwarded it, where
// targets are not named in requests: a call that ran is then sent again.
func TestMisdirectedStatusOfTargetIsReadAsRefusalByNode(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 4, 4)
	f.nodes[0].path.set(true)
	f.respond = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	w := f.call(0, "call")
	if got := f.runCount("call"); got != 1 || w.Code != http.StatusMisdirectedRequest {
		t.Errorf("call: got %d targets that ran it and status %d, want 1 and 421", got, w.Code)
	}
}

// directoryWithout is a directory that lacks the route of a path.
type directoryWithout struct {
	entry.Directory
	path string
}

func (d *directoryWithout) Route(host, path string) (entry.Route, bool) {
	route, ok := d.Directory.Route(host, path)
	return route, ok && path != d.path
}

// Guards against the refusal of one call for its route that keeps the node from calls on others.
func TestRefusalOfRouteKeepsNodeFromOtherRoutes(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 3, 4)
	f.nodes[0].path.set(true)
	for _, n := range f.nodes[1:] {
		n.handler.Directory = &directoryWithout{n, "/new"}
	}
	f.nodes[0].handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h.example/new", nil))
	if w := f.call(0, "call"); w.Code != http.StatusOK {
		t.Errorf("status on a route that all nodes have: got %d, want 200", w.Code)
	}
}

// Guards against lost responses of targets that are charged to a call with attempts which were not
// granted to these targets.
func TestLostResponseIsChargedMoreThanItsAttempt(t *testing.T) {
	const maxRetries = 2
	f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: maxRetries}, 1, 12)
	f.respond = loseResponse
	for range 3 {
		f.nodes[0].service.ExtraAttemptBudget.Earn()
	}
	f.call(0, "call")
	if got := f.arrivals["call"]; got != maxRetries+1 {
		t.Errorf("attempts of a call on a path that is not lost: got %d, want %d", got, maxRetries+1)
	}
}

// countingCanary sends each first attempt to a target of a new version, and counts them.
type countingCanary struct {
	target vm.ID
	n      *atomic.Int64
}

func (c countingCanary) Targets(profile.Name) []vm.ID {
	c.n.Add(1)
	return []vm.ID{c.target}
}

func (c countingCanary) Return(profile.Name) { c.n.Add(-1) }

// Guards against a copy through another node that goes to a new version, as only the first
// attempt of a call may.
func TestCopyThroughOtherNodeGoesToNewVersion(t *testing.T) {
	f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: 3}, 3, 4)
	var n atomic.Int64
	for _, node := range f.nodes {
		node.service.Canary = countingCanary{f.targets[0].ID, &n}
		node.service.ExtraAttemptBudget.Earn()
	}
	f.respond = func(w http.ResponseWriter, r *http.Request) {
		if f.nodes[0].path.IsLost() {
			return
		}
		f.nodes[0].path.set(true)
		loseResponse(w, r)
	}
	w := f.call(0, "call")
	if got := n.Load(); w.Code != http.StatusOK || got != 1 {
		t.Errorf("call: got status %d and %d attempts at the new version, want 200 and 1", w.Code, got)
	}
}

// Guards against a call that is offered to the same nodes again and again although they lack its
// route.
func TestCallWithoutRouteIsOfferedOnceToEachNode(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 4, 4)
	f.nodes[0].path.set(true)
	var offers atomic.Int64
	for _, n := range f.nodes[1:] {
		n.lacksRoute.Store(true)
		n.receiver.OnRefusal = func(*http.Request, string, Refusal) { offers.Add(1) }
	}
	if w := f.call(0, "call"); w.Code != http.StatusServiceUnavailable || offers.Load() > 3 {
		t.Errorf("call: got status %d after %d offers, want 503 after 3 at most", w.Code, offers.Load())
	}
}

// Guards against a node whose configuration calls a route idempotent that is not so any more: it
// would repeat a call of a node that has the newer one.
func TestCallIsRepeatedByOlderConfiguration(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: 3}, 2, 4)
	f.nodes[0].path.set(true)
	older := *f.nodes[1].route.Profile
	older.Idempotent = true
	f.nodes[1].route.Profile = &older
	f.nodes[1].service.ExtraAttemptBudget.Earn()
	f.respond = loseResponse
	if w := f.call(0, "call"); w.Code != http.StatusBadGateway || f.runCount("call") != 1 {
		t.Errorf("call: got status %d and %d targets that ran it, want 502 and 1", w.Code, f.runCount("call"))
	}
}
