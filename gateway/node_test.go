package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/gateway"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// world is a store, targets and nodes on loopback.
type world struct {
	t       *testing.T
	store   *platformtest.Store
	address string
	nodes   []*gateway.Node
	entries []gateway.Settings
	targets map[string]*platformtest.Target
	at      map[string]string
	beat    int
	calls   atomic.Int64
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: &platformtest.Store{}, targets: map[string]*platformtest.Target{}, at: map[string]string{}}
	w.address = w.listen(w.store)
	return w
}

func (w *world) listen(h http.Handler) string {
	w.t.Helper()
	address, closeAll, err := platformtest.StartServer(h)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(closeAll)
	return address
}

func free(t *testing.T) string {
	t.Helper()
	address, err := platformtest.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// node starts a node that reaches the store by the given address.
func (w *world) node(z zone.Name, store string) *gateway.Node {
	w.t.Helper()
	s := gateway.Settings{
		Name: fmt.Sprint("node-", len(w.nodes)), Zone: z, CallerAddress: free(w.t), ReadinessAddress: free(w.t), MetricsAddress: free(w.t),
		PeerAddress: vm.Address(free(w.t)), GracePeriod: 2 * time.Second, StoreAddress: store,
		ExtraAttempts: gateway.ExtraAttemptLimit{AttemptsPerCall: 0.2, BaseAttempts: 56, Window: 10 * time.Second},
	}
	n := gateway.NewNode(s, gateway.Dependencies{
		Store: platform.NewStore(store), Decoder: platform.RecordDecoder{}, EntrySettings: platform.EntrySettings,
		RequestIDHeader: platform.RequestIDHeader, Logger: zap.NewNop(), Metrics: metrics.NewDiscardRegistry(),
	})
	if err := n.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.Stop(ctx)
	})
	w.nodes = append(w.nodes, n)
	w.entries = append(w.entries, s)
	return n
}

func (w *world) target(id, service, z string) *platformtest.Target {
	w.t.Helper()
	target := &platformtest.Target{ID: id, Slots: 6, WarmCallDuration: 2 * time.Millisecond}
	w.targets[id] = target
	w.at[id] = w.listen(target)
	w.say(id, service, z, "ready")
	return target
}

func (w *world) say(id, service, z, state string) {
	w.beat++
	w.store.Put(platformtest.TargetsTopic, id, w.targets[id].RecordJSON(service, z, w.at[id], state, w.beat))
}

func (w *world) plan(version int, service string) {
	w.store.Put(platformtest.OperatorTopic, "config", fmt.Sprintf(`{"version":%d,"services":[
{"name":"a","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6},{"name":"b","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6}],
"limits":{"idleTimeoutMs":15000},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":%q,"maxAttempts":2}]}]}`, version, service))
}

// call sends one call to a node and returns its status and body.
func (w *world) call(i int) (status int, body string) {
	w.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+w.entries[i].CallerAddress+"/x/1", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set(platform.RequestIDHeader, fmt.Sprint("id-", w.calls.Add(1)))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

func (w *world) ready(i int) bool {
	resp, err := http.Get("http://" + w.entries[i].ReadinessAddress + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// within fails the test unless the condition holds within a time.
func (w *world) within(d time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(d); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("%s: got nothing within %s", what, d)
		}
	}
}

// started is a world with a plan, two targets in two zones, and ready nodes.
func started(t *testing.T, nodes int) *world {
	w := newWorld(t)
	w.plan(1, "a")
	w.target("i-1", "a", "east")
	w.target("i-2", "a", "west")
	for range nodes {
		w.node("east", w.address)
	}
	for i := range nodes {
		w.within(10*time.Second, "a ready node", func() bool { return w.ready(i) })
	}
	return w
}

// patience is how long slow test machines may take; no promise is bound by it.
const patience = 15 * time.Second

func TestNodeWithoutAPlanPromisesNothingFalse(t *testing.T) {
	w := newWorld(t)
	w.node("east", w.address)
	if status, _ := w.call(0); status != http.StatusServiceUnavailable {
		t.Errorf("status: got %d, want 503, for nothing is known not to exist", status)
	}
	if w.ready(0) {
		t.Error("ready: got true, want false without a plan")
	}
}

func TestChangesReachEveryNode(t *testing.T) {
	w := started(t, 3)
	for i := range w.nodes {
		if status, body := w.call(i); status != http.StatusOK || !strings.Contains(body, "by i-") {
			t.Fatalf("node %d: got %d %q, want an answer", i, status, body)
		}
	}
	w.say("i-1", "a", "east", "draining")
	for i := range w.nodes {
		w.within(patience, "the other target", func() bool { _, body := w.call(i); return strings.HasSuffix(body, "by i-2") })
	}
	before := w.targets["i-1"].ArrivalCount()
	for i := range w.nodes {
		for range 10 {
			w.call(i)
		}
	}
	if got := w.targets["i-1"].ArrivalCount() - before; got != 0 {
		t.Errorf("calls at the leaving target: got %d, want none", got)
	}
	w.store.Put(platformtest.OperatorTopic, "evacuate/west", "{}")
	for i := range w.nodes {
		w.within(patience, "no target left", func() bool { status, _ := w.call(i); return status == http.StatusServiceUnavailable })
	}
	w.store.Put(platformtest.OperatorTopic, "evacuate/west", "")
	w.target("i-3", "b", "west")
	w.plan(2, "b")
	for i := range w.nodes {
		w.within(patience, "the new plan", func() bool { _, body := w.call(i); return strings.HasSuffix(body, "by i-3") })
	}
}

// One node reads for all: the store hears little more from three than from one.
func TestFewReadersOfTheStore(t *testing.T) {
	w := started(t, 3)
	time.Sleep(2 * time.Second)
	before := w.store.RequestCount("log-read")
	const span = 4
	time.Sleep(span * time.Second)
	if got := w.store.RequestCount("log-read") - before; got > 2*span+span/2 {
		t.Errorf("reads in %d s: got %d, want %d at most", span, got, 2*span+span/2)
	}
}

// After an outage all nodes step in at once, and soon one of them reads alone: the
// others do not go on because it waits for the operator's next record.
func TestOneReaderSoonAfterAnOutage(t *testing.T) {
	w := started(t, 4)
	w.store.SetFault(platformtest.Unavailable)
	time.Sleep(2500 * time.Millisecond)
	w.store.SetFault(platformtest.NoFault)
	time.Sleep(1500 * time.Millisecond)
	before := w.store.RequestCount("log-read") + w.store.RequestCount("log-newest")
	const span = 2
	time.Sleep(span * time.Second)
	if got := w.store.RequestCount("log-read") + w.store.RequestCount("log-newest") - before; got > 3*span {
		t.Errorf("reads in %d s: got %d, want %d at most", span, got, 3*span)
	}
}

// When the node that reads stops, another one steps in.
func TestReaderStops(t *testing.T) {
	w := started(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.nodes[0].Stop(ctx)
	w.nodes[1].Stop(ctx)
	w.say("i-1", "a", "east", "draining")
	w.within(patience, "the other target", func() bool { _, body := w.call(2); return strings.HasSuffix(body, "by i-2") })
}

// A node that the store turns away serves by what its peers tell it.
func TestNodeTurnedAwayByTheStore(t *testing.T) {
	w := started(t, 2)
	refused := &platformtest.Store{}
	refused.SetFault(platformtest.Unavailable)
	i := len(w.nodes)
	w.node("east", w.listen(refused))
	// Its peers find it when it was a member; it was none, so it dials them.
	w.nodes[i].AddNodes([]vm.VM{{ID: vm.ID(w.entries[0].PeerAddress), Address: w.entries[0].PeerAddress, Zone: "east", Role: vm.RoleEntry}})
	w.within(patience, "readiness", func() bool { return w.ready(i) })
	w.plan(5, "b")
	w.target("i-9", "b", "east")
	w.within(patience, "the new plan", func() bool { _, body := w.call(i); return strings.HasSuffix(body, "by i-9") })
}

func TestStoreAwayAndBack(t *testing.T) {
	w := started(t, 2)
	for _, f := range []platformtest.Fault{platformtest.Unresponsive, platformtest.ConnectionReset, platformtest.Unavailable} {
		w.store.SetFault(f)
		for range 20 {
			for i := range w.nodes {
				if status, _ := w.call(i); status != http.StatusOK || !w.ready(i) {
					t.Fatalf("fault %d: got %d, ready %v, want answers by what is known", f, status, w.ready(i))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.store.SetFault(platformtest.NoFault)
	}
	w.store.ExpireRecords(platformtest.TargetsTopic)
	w.store.ExpireRecords(platformtest.OperatorTopic)
	w.say("i-1", "a", "east", "draining")
	for i := range w.nodes {
		w.within(patience, "the other target", func() bool { _, body := w.call(i); return strings.HasSuffix(body, "by i-2") })
	}
}

// A planned stop: unready at once and for good, calls in progress end whole, and
// answers tell callers to close.
func TestPlannedStop(t *testing.T) {
	w := started(t, 1)
	for _, target := range w.targets {
		target.WarmCallDuration = 700 * time.Millisecond
	}
	slow := make(chan string, 1)
	go func() {
		_, body := w.call(0)
		slow <- body
	}()
	w.within(patience, "a running call", func() bool { return w.targets["i-1"].ArrivalCount()+w.targets["i-2"].ArrivalCount() > 0 })
	stopped := make(chan struct{})
	go func() {
		w.nodes[0].Stop(t.Context())
		close(stopped)
	}()
	w.within(patience, "unreadiness", func() bool { return !w.ready(0) })
	for range 20 {
		if w.ready(0) {
			t.Fatal("ready again while stopping")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if body := <-slow; !strings.Contains(body, "answer to") {
		t.Errorf("call in progress: got %q, want its answer", body)
	}
	<-stopped
}
