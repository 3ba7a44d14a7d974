package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

// oneRoute routes all calls alike.
type oneRoute struct{ route entry.Route }

func (d oneRoute) Route(string, string) (entry.Route, bool) { return d.route, true }

// newSendingHandler returns the handler of a node whose path is lost, and its Sender.
func newSendingHandler(t *testing.T, idempotent bool) (*entry.Handler, *Sender) {
	t.Helper()
	p := &profile.Profile{Idempotent: idempotent, CallTimeout: 5 * time.Second, MaxRetries: 1}
	protocol := wire.DefaultProtocol
	protocol.KeyHeader, protocol.TenantHeader = "Api-Key", "Tenant"
	h := &entry.Handler{Metrics: metrics.NewCalls(metrics.NewDiscardRegistry().Scope), Dispatcher: &dispatch.Dispatcher{}, Settings: entry.Settings{Protocol: protocol}}
	sender := NewSender(Settings{Zone: "east", Callers: h, Dispatcher: &dispatch.Dispatcher{}})
	h.Forwarder = sender
	h.Directory = oneRoute{entry.Route{Service: &service.Service{Name: "a"}, Profile: p, Dispatch: newLostService()}}
	t.Cleanup(sender.Close)
	return h, sender
}

// startReceiver starts a node that runs serve for each relayed call that it takes.
func startReceiver(t *testing.T, id vm.ID, canServe func() bool, serve http.HandlerFunc) vm.VM {
	t.Helper()
	rc := &Receiver{Self: id, Instance: "1", IsMember: func(ip string) bool { return ip == "127.0.0.1" }, CanServe: canServe}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The handler of the node's callers is replaced by serve.
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTo) != "" && canServe() {
			rc.writeState(w, outcome.Done)
			serve(w, r)
			return
		}
		rc.Wrap(http.NotFoundHandler()).ServeHTTP(w, r)
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return vm.VM{ID: id, Address: vm.Address(l.Addr().String()), Zone: "east", Role: vm.RoleEntry}
}

func always() bool { return true }

// setNodes sets the nodes of a fleet for the node "self".
func setNodes(s *Sender, nodes []vm.VM) { setNodesOf(s, nodes, "self") }

// setNodesOf sets the nodes of a fleet for one of them.
func setNodesOf(s *Sender, nodes []vm.VM, self vm.ID) {
	var ids []vm.ID
	for _, n := range nodes {
		ids = append(ids, n.ID)
	}
	slices.Sort(ids)
	s.SetNodes(nodes, ids, self, time.Now())
}

func post(h http.Handler, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h.example/x?y=1", strings.NewReader(body))
	h.ServeHTTP(w, r)
	return w
}

func TestCallGoesThroughNodeThatTakesIt(t *testing.T) {
	h, sender := newSendingHandler(t, false)
	var got atomic.Pointer[http.Request]
	refuses := startReceiver(t, "node-1", func() bool { return false }, nil)
	earlierBuild := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Its responses state no outcome.
		w.Header().Set("Apricot-Relay-Instance", "1")
		if r.Header.Get(headerTo) != "" {
			t.Error("relayed call at a node of an earlier build: got one, want none")
		}
	}))
	t.Cleanup(earlierBuild.Close)
	unaware := vm.VM{ID: "node-0", Address: vm.Address(earlierBuild.Listener.Addr().String()), Zone: "east", Role: vm.RoleEntry}
	takes := startReceiver(t, "node-2", always, func(w http.ResponseWriter, r *http.Request) {
		got.Store(r)
		w.WriteHeader(http.StatusCreated)
	})
	setNodes(sender, []vm.VM{{ID: "self"}, unaware, refuses, takes})
	for range 4 {
		if w := post(h, "body"); w.Code != http.StatusCreated {
			t.Fatalf("status: got %d, want that of the node that takes the call", w.Code)
		}
	}
	r := got.Load()
	if r.Host != "h.example" || r.URL.RequestURI() != "/x?y=1" || r.Method != http.MethodPost {
		t.Errorf("relayed request: got %s %s at %s, want it unchanged", r.Method, r.URL.RequestURI(), r.Host)
	}
	if got := r.Header.Get(headerCaller); got != "192.0.2.1" {
		t.Errorf("address of the caller: got %q, want 192.0.2.1", got)
	}
}

// Guards against a key that reaches another node with a relayed call, and against a tenant
// that the caller names.
func TestRelayedCallNamesTenantAndHasNoKey(t *testing.T) {
	h, sender := newSendingHandler(t, true)
	var got atomic.Pointer[http.Request]
	takes := startReceiver(t, "node-2", always, func(w http.ResponseWriter, r *http.Request) {
		got.Store(r)
		w.WriteHeader(http.StatusCreated)
	})
	setNodes(sender, []vm.VM{{ID: "self"}, takes})
	r := httptest.NewRequest(http.MethodGet, "http://h.example/x", nil)
	r.Header.Set("Api-Key", "secret")
	r.Header.Set("Connection", "Tenant")
	r.Header["Tenant"] = []string{"other", "another"}
	r = r.WithContext(tenant.WithContext(r.Context(), &tenant.Tenant{Name: "one"}))
	h.ServeHTTP(httptest.NewRecorder(), r)
	relayed := got.Load()
	if relayed == nil {
		t.Fatal("relayed call: got none, want one")
	}
	if got := relayed.Header.Values("Tenant"); len(got) != 1 || got[0] != "one" {
		t.Errorf("tenant: got %v, want one", got)
	}
	if got := relayed.Header.Get("Api-Key"); got != "" {
		t.Errorf("key at the other node: got %q, want none", got)
	}
}

// A node that breaks off has perhaps run the call. One that is not idempotent is not sent
// again, and its caller does not get a response that it was not run.
func TestCallWhoseNodeBreaksOffIsUnknown(t *testing.T) {
	h, sender := newSendingHandler(t, false)
	var runs atomic.Int64
	serve := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	setNodes(sender, []vm.VM{startReceiver(t, "node-1", always, serve), startReceiver(t, "node-2", always, serve)})
	if w := post(h, "body"); w.Code != http.StatusBadGateway {
		t.Errorf("status: got %d, want 502", w.Code)
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// When no node has a path, the call is refused at once, with a time.
func TestCallIsRefusedAtOnceWhenNoNodeTakesIt(t *testing.T) {
	for _, nodeCount := range []int{0, 3} {
		h, sender := newSendingHandler(t, true)
		var nodes []vm.VM
		for i := range nodeCount {
			nodes = append(nodes, startReceiver(t, vm.ID(rune('a'+i)), func() bool { return false }, nil))
		}
		setNodes(sender, nodes)
		for range 3 {
			start := time.Now()
			w := post(h, "")
			if elapsed := time.Since(start); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || elapsed > time.Second {
				t.Errorf("%d nodes: got %d with Retry-After %q after %s, want 503 with a time at once", nodeCount, w.Code, w.Header().Get("Retry-After"), elapsed)
			}
		}
	}
}

func TestReceiverTakesCallsOfMembersOnly(t *testing.T) {
	foreign := 0
	rc := &Receiver{Self: "self", Instance: "1", IsMember: func(ip string) bool { return ip == "10.0.0.1" }, CanServe: always, OnRefusal: func(_ *http.Request, _ string, reason Refusal) {
		if reason == UnknownSender {
			foreign++
		}
	}}
	for _, tt := range []struct {
		remote, to string
		want       int
		wantReason Refusal
	}{
		{"192.0.2.7:1", "self", http.StatusServiceUnavailable, UnknownSender},
		{"10.0.0.1:1", "other", http.StatusMisdirectedRequest, OtherNode},
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://h.example/x", nil)
		r.RemoteAddr = tt.remote
		r.Header.Set(headerTo, tt.to)
		rc.Wrap(http.NotFoundHandler()).ServeHTTP(w, r)
		if w.Code != tt.want {
			t.Errorf("call from %s to %s: got %d, want %d", tt.remote, tt.to, w.Code, tt.want)
		}
		h := w.Header()
		if h.Get(headerRefused) != refusedBeforeStart || h.Get(headerOutcome) != string(outcome.NotRun) || h.Get(headerReason) != string(tt.wantReason) {
			t.Errorf("call from %s to %s: got headers %v, want a refusal before the start for %s", tt.remote, tt.to, h, tt.wantReason)
		}
	}
	if foreign != 1 {
		t.Errorf("reported senders that are no nodes: got %d, want 1", foreign)
	}
}
