package relay

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
	"github.com/apricotmount/apricotmount/zone"
)

// fleetProtocol is the protocol between the nodes and targets of a testFleet.
var fleetProtocol = wire.Protocol{
	InstanceHeader: "Target-Instance", StateHeader: "Target-State", InFlightHeader: "Target-In-Flight",
	RefusalHeader: "Target-Refused", DeadlineHeader: "Apricot-Deadline-Ms", LoadPath: "/load", IDHeader: "Call-Id", ProofHeader: "Target-Proof",
}

// switchedPath is a path that a test loses and restores.
type switchedPath struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newSwitchedPath() *switchedPath {
	p := &switchedPath{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *switchedPath) Lost() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx
}

func (p *switchedPath) IsLost() bool    { return p.Lost().Err() != nil }
func (p *switchedPath) IsInDoubt() bool { return p.IsLost() }

func (p *switchedPath) set(isLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if isLost {
		p.cancel()
	}
}

// fleetNode is a node of a testFleet.
type fleetNode struct {
	vm       vm.VM
	handler  *entry.Handler
	receiver *Receiver
	sender   *Sender
	service  *dispatch.Service
	path     *switchedPath
	// isUnlisted makes the node list no other, and lacksRoute makes it lack the route.
	isUnlisted, lacksRoute atomic.Bool
	route                  entry.Route
	checks                 *invariant.Checker

	mu    sync.Mutex
	pools map[vm.ID]*wire.Pool
}

// Route returns the only route.
func (n *fleetNode) Route(string, string) (entry.Route, bool) { return n.route, !n.lacksRoute.Load() }

// Pool returns the connections to a target.
func (n *fleetNode) Pool(ref target.Ref) *wire.Pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pools[ref.ID] == nil {
		n.pools[ref.ID] = wire.NewPool(ref, wire.Settings{Protocol: fleetProtocol}, 20, 0, nil, n)
	}
	return n.pools[ref.ID]
}

func (n *fleetNode) ConnVerified(ref target.Ref, report target.Report) {
	n.service.Table.RecordReport(ref.ID, time.Now(), report)
}

func (n *fleetNode) LastConnLost(target.Ref) {}

// testFleet is some nodes with the same targets. What a target does with a call is up to
// respond, which runs after the call has been counted unless isRefused returns true.
type testFleet struct {
	nodes     []*fleetNode
	targets   []vm.VM
	isRefused func() bool
	respond   http.HandlerFunc

	mu sync.Mutex
	// runs holds the targets that ran a call, by its ID, and arrivals the number of its
	// attempts that reached targets.
	runs     map[string]map[vm.ID]bool
	arrivals map[string]int
	// notRun holds the calls that their node has reported as not run.
	notRun map[string]bool
}

// newTestFleet returns a started fleet whose calls have the given profile.
func newTestFleet(t *testing.T, p profile.Profile, nodeCount, targetCount int) *testFleet {
	t.Helper()
	return newTestFleetWith(t, p, nodeCount, targetCount, func(next http.Handler) http.Handler { return next })
}

// newTestFleetWith returns a started fleet whose ports between nodes are wrapped.
func newTestFleetWith(t *testing.T, p profile.Profile, nodeCount, targetCount int, wrapPeers func(http.Handler) http.Handler) *testFleet {
	t.Helper()
	f := &testFleet{runs: map[string]map[vm.ID]bool{}, arrivals: map[string]int{}, notRun: map[string]bool{}, isRefused: func() bool { return false }, respond: func(http.ResponseWriter, *http.Request) {}}
	for i := range targetCount {
		id := vm.ID(fmt.Sprint("target-", i))
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveTarget(w, r, id) }))
		t.Cleanup(s.Close)
		f.targets = append(f.targets, vm.VM{ID: id, Address: vm.Address(s.Listener.Addr().String()), Service: "a", Slots: 8, Zone: "east"})
	}
	for i := range nodeCount {
		f.startNode(t, vm.ID(fmt.Sprint("node-", i)), p, wrapPeers)
	}
	var nodes []vm.VM
	for _, n := range f.nodes {
		nodes = append(nodes, n.vm)
	}
	for _, n := range f.nodes {
		setNodesOf(n.sender, nodes, n.vm.ID)
	}
	return f
}

// startNode starts one node.
func (f *testFleet) startNode(t *testing.T, id vm.ID, p profile.Profile, wrapPeers func(http.Handler) http.Handler) {
	t.Helper()
	n := &fleetNode{path: newSwitchedPath(), pools: map[vm.ID]*wire.Pool{}, checks: &invariant.Checker{OnViolation: func(name invariant.Name) { t.Errorf("invariant %s: got broken, want kept", name) }}}
	n.service = &dispatch.Service{
		Table: target.NewTable(service.Service{Name: "a", Slots: 8, MaxConnections: 200}, target.Settings{Zone: "east", ListIsAuthoritative: true}),
		Gate:  admission.NewPool(0).AddOpenGate(), ExtraAttemptBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 1, Burst: 1000}},
		Latencies: &retry.LatencyWindow{}, Path: n.path,
	}
	n.service.Table.SetList(time.Now(), f.targets, func(vm.ID, zone.Name) bool { return false })
	n.route = entry.Route{Service: &service.Service{Name: "a"}, Profile: &p, Dispatch: n.service}
	n.handler = &entry.Handler{
		Directory: n, Pools: n, Dispatcher: &dispatch.Dispatcher{Checks: n.checks}, Metrics: metrics.NewCalls(metrics.NewDiscardRegistry().Scope),
		Settings:  entry.Settings{Protocol: fleetProtocol, ResponseBufferBytes: 1 << 16, OmitProductHeaders: true},
		OnCallEnd: f.recordEnd,
	}
	n.sender = NewSender(Settings{Zone: "east", Callers: n.handler, Dispatcher: &dispatch.Dispatcher{Checks: n.checks}, OnCallEnd: f.recordEnd})
	t.Cleanup(n.sender.Close)
	n.handler.Forwarder = n.sender
	n.receiver = &Receiver{Handler: n.handler, Self: id, Instance: string(id), IsMember: func(string) bool { return !n.isUnlisted.Load() }, CanServe: always}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: wrapPeers(n.receiver.Wrap(http.NotFoundHandler())), ErrorLog: log.New(io.Discard, "", 0)}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	n.vm = vm.VM{ID: id, Address: vm.Address(l.Addr().String()), Zone: "east", Role: vm.RoleEntry}
	f.nodes = append(f.nodes, n)
}

// serveTarget serves a probe or a call at a target.
func (f *testFleet) serveTarget(w http.ResponseWriter, r *http.Request, target vm.ID) {
	w.Header().Set("Target-Instance", string(target))
	w.Header().Set("Target-State", "live")
	if r.URL.Path == fleetProtocol.LoadPath {
		return
	}
	id := r.Header.Get("Call-Id")
	w.Header().Set("Call-Id", id)
	isRefused := f.isRefused()
	f.mu.Lock()
	f.arrivals[id]++
	if !isRefused {
		if f.runs[id] == nil {
			f.runs[id] = map[vm.ID]bool{}
		}
		f.runs[id][target] = true
	}
	f.mu.Unlock()
	if isRefused {
		w.Header().Set("Target-Refused", "before-start")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Target-Proof", "yes")
	f.respond(w, r)
}

// runCount returns the number of targets that ran a call.
func (f *testFleet) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs[id])
}

// recordEnd records how a call ended at the node of its caller.
func (f *testFleet) recordEnd(e entry.CallResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Outcome == outcome.NotRun && e.Call != nil && !e.Call.IsRelayed {
		f.notRun[e.Call.ID] = true
	}
}

// isNotRun reports whether a call was reported as not run.
func (f *testFleet) isNotRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notRun[id]
}

// repeatCount returns the number of attempts that reached targets beyond the first of each call.
func (f *testFleet) repeatCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, arrivals := range f.arrivals {
		n += arrivals - 1
	}
	return n
}

// call sends a call to a node and returns the response.
func (f *testFleet) call(node int, id string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://h.example/x", nil)
	r.Header.Set("Call-Id", id)
	f.nodes[node].handler.ServeHTTP(w, r)
	return w
}

// loseResponse closes the connection of a call that has run.
func loseResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
