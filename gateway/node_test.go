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
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// testCluster is a store, targets and nodes on loopback addresses.
type testCluster struct {
	t               *testing.T
	store           *platformtest.Store
	storeAddress    string
	nodes           []*gateway.Node
	settings        []gateway.Settings
	targets         map[string]*platformtest.Target
	targetAddresses map[string]string
	// wrapStore, if set, wraps the store of the next nodes.
	wrapStore func(gateway.Store) gateway.Store
	// newDecoder, if set, returns the decoder of the next node.
	newDecoder func() inventory.Decoder
	// peerAddresses are the addresses of the next nodes; empty means free ones.
	peerAddresses []vm.Address
	// advertise, if set, returns the address that the next node advertises for its own.
	advertise  func(vm.Address) vm.Address
	heartbeats int
	callCount  atomic.Int64
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: &platformtest.Store{}, targets: map[string]*platformtest.Target{}, targetAddresses: map[string]string{}}
	c.storeAddress = c.listen(c.store)
	return c
}

func (c *testCluster) listen(h http.Handler) string {
	c.t.Helper()
	address, closeAll, err := platformtest.StartServer(h)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(closeAll)
	return address
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := platformtest.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startNode starts a node that uses the store at the given address.
func (c *testCluster) startNode(z zone.Name, store string) *gateway.Node {
	c.t.Helper()
	return c.start(z, store, false)
}

// startFleetNode starts a node of a fleet that starts for the first time.
func (c *testCluster) startFleetNode(z zone.Name) *gateway.Node {
	c.t.Helper()
	return c.start(z, c.storeAddress, true)
}

func (c *testCluster) start(z zone.Name, store string, isFirstFleetStart bool) *gateway.Node {
	c.t.Helper()
	var peerAddress vm.Address
	if len(c.peerAddresses) > 0 {
		peerAddress, c.peerAddresses = c.peerAddresses[0], c.peerAddresses[1:]
	} else {
		peerAddress = vm.Address(freeAddress(c.t))
	}
	s := gateway.Settings{
		IsFirstFleetStart: isFirstFleetStart,
		Name:              fmt.Sprint("node-", len(c.nodes)), Zone: z, CallerAddress: freeAddress(c.t), ReadinessAddress: freeAddress(c.t), MetricsAddress: freeAddress(c.t),
		PeerAddress: peerAddress, GracePeriod: 2 * time.Second, StoreAddress: store, PartitionsPerTopic: platformtest.PartitionsPerTopic,
		ExtraAttempts: gateway.ExtraAttemptLimit{AttemptsPerCall: 0.2, BaseAttempts: 56, Window: 10 * time.Second},
	}
	if c.advertise != nil {
		s.AdvertisedAddress = c.advertise(peerAddress)
	}
	statuses := platform.NewStore(store, platformtest.PartitionsPerTopic)
	var client gateway.Store = statuses
	if c.wrapStore != nil {
		client = c.wrapStore(client)
	}
	var decoder inventory.Decoder = platform.RecordDecoder{}
	if c.newDecoder != nil {
		decoder = c.newDecoder()
	}
	n := gateway.NewNode(s, gateway.Dependencies{
		Store: client, Statuses: statuses, Backups: statuses, Decoder: decoder, EntrySettings: platform.EntrySettings,
		RequestIDHeader: platform.RequestIDHeader, Logger: zap.NewNop(), Metrics: metrics.NewDiscardRegistry(),
	})
	if err := n.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.Stop(ctx)
	})
	c.nodes = append(c.nodes, n)
	c.settings = append(c.settings, s)
	return n
}

// startTarget starts a target and puts its record into the store.
func (c *testCluster) startTarget(id, service, z string) *platformtest.Target {
	c.t.Helper()
	target := &platformtest.Target{ID: id, Slots: 6, WarmCallDuration: 2 * time.Millisecond}
	c.targets[id] = target
	c.targetAddresses[id] = c.listen(target)
	c.putTarget(id, service, z, "ready")
	return target
}

// putTarget writes a target's record with a new heartbeat number.
func (c *testCluster) putTarget(id, service, z, state string) {
	c.heartbeats++
	c.store.Put(platformtest.TargetsTopic, id, c.targets[id].RecordJSON(service, z, c.targetAddresses[id], state, c.heartbeats))
}

// putPlan writes a plan that routes all calls to one service.
func (c *testCluster) putPlan(version int, service string) {
	c.store.Put(platformtest.OperatorTopic, "config", fmt.Sprintf(`{"version":%d,"services":[
{"name":"a","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6},{"name":"b","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6}],
"limits":{"idleTimeoutMs":15000},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":%q,"maxAttempts":2}]}]}`, version, service))
}

// call sends one call to a node and returns its status and body.
func (c *testCluster) call(i int) (status int, body string) {
	c.t.Helper()
	resp := c.send(i)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// send sends one call to a node and returns its response.
func (c *testCluster) send(i int) *http.Response {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+c.settings[i].CallerAddress+"/x/1", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set(platform.RequestIDHeader, fmt.Sprint("id-", c.callCount.Add(1)))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func (c *testCluster) isReady(i int) bool {
	resp, err := http.Get("http://" + c.settings[i].ReadinessAddress + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor fails the test unless the condition becomes true within d.
func (c *testCluster) waitFor(d time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(d); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: condition not met within %s", what, d)
		}
	}
}

// newStartedCluster returns a cluster with a plan, two targets in two zones and ready
// nodes.
func newStartedCluster(t *testing.T, nodeCount int) *testCluster {
	c := newTestCluster(t)
	c.putPlan(1, "a")
	c.startTarget("i-1", "a", "east")
	c.startTarget("i-2", "a", "west")
	for range nodeCount {
		c.startNode("east", c.storeAddress)
	}
	for i := range nodeCount {
		c.waitFor(10*time.Second, "a ready node", func() bool { return c.isReady(i) })
	}
	return c
}

// waitTimeout allows for slow test machines; no guarantee depends on it.
const waitTimeout = 15 * time.Second

func TestNodeWithoutPlanIsUnavailable(t *testing.T) {
	c := newTestCluster(t)
	c.startNode("east", c.storeAddress)
	if status, _ := c.call(0); status != http.StatusServiceUnavailable {
		t.Errorf("status: got %d, want 503, since the routes are unknown without a plan", status)
	}
	if c.isReady(0) {
		t.Error("ready: got true, want false without a plan")
	}
}

func TestChangesReachEveryNode(t *testing.T) {
	c := newStartedCluster(t, 3)
	for i := range c.nodes {
		if status, body := c.call(i); status != http.StatusOK || !strings.Contains(body, "by i-") {
			t.Fatalf("node %d: got %d %q, want 200 with the response of a target", i, status, body)
		}
	}
	c.putTarget("i-1", "a", "east", "draining")
	for i := range c.nodes {
		c.waitFor(waitTimeout, "the other target", func() bool { _, body := c.call(i); return strings.HasSuffix(body, "by i-2") })
	}
	before := c.targets["i-1"].ArrivalCount()
	for i := range c.nodes {
		for range 10 {
			c.call(i)
		}
	}
	if got := c.targets["i-1"].ArrivalCount() - before; got != 0 {
		t.Errorf("calls to the leaving target: got %d, want none", got)
	}
	c.store.Put(platformtest.OperatorTopic, "evacuate/west", "{}")
	for i := range c.nodes {
		c.waitFor(waitTimeout, "no target left", func() bool { status, _ := c.call(i); return status == http.StatusServiceUnavailable })
	}
	c.store.Put(platformtest.OperatorTopic, "evacuate/west", "")
	c.startTarget("i-3", "b", "west")
	c.putPlan(2, "b")
	for i := range c.nodes {
		c.waitFor(waitTimeout, "the new plan", func() bool { _, body := c.call(i); return strings.HasSuffix(body, "by i-3") })
	}
}

// Only one node reads the store for all: three nodes must cause hardly more reads than
// one.
func TestOneNodeReadsStore(t *testing.T) {
	c := newStartedCluster(t, 3)
	time.Sleep(2 * time.Second)
	before := c.store.RequestCount("log-read")
	const spanSeconds = 4
	time.Sleep(spanSeconds * time.Second)
	if got := c.store.RequestCount("log-read") - before; got > 2*spanSeconds+spanSeconds/2 {
		t.Errorf("reads in %d s: got %d, want at most %d", spanSeconds, got, 2*spanSeconds+spanSeconds/2)
	}
}

// After an outage all nodes read at once, and soon only one must continue. The others
// must stop even while its read of the operator topic waits for a record.
func TestOneReaderSoonAfterOutage(t *testing.T) {
	c := newStartedCluster(t, 4)
	c.store.SetFault(platformtest.Unavailable)
	time.Sleep(2500 * time.Millisecond)
	c.store.SetFault(platformtest.NoFault)
	time.Sleep(1500 * time.Millisecond)
	before := c.store.RequestCount("log-read") + c.store.RequestCount("log-newest")
	const spanSeconds = 2
	time.Sleep(spanSeconds * time.Second)
	if got := c.store.RequestCount("log-read") + c.store.RequestCount("log-newest") - before; got > 3*spanSeconds {
		t.Errorf("reads in %d s: got %d, want at most %d", spanSeconds, got, 3*spanSeconds)
	}
}

// When the node that reads the store stops, another one must take over.
func TestAnotherNodeReadsAfterReaderStops(t *testing.T) {
	c := newStartedCluster(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.nodes[0].Stop(ctx)
	c.nodes[1].Stop(ctx)
	c.putTarget("i-1", "a", "east", "draining")
	c.waitFor(waitTimeout, "the other target", func() bool { _, body := c.call(2); return strings.HasSuffix(body, "by i-2") })
}

// A node whose calls the store refuses must serve from the records of its peers.
func TestNodeRefusedByStoreUsesPeers(t *testing.T) {
	c := newStartedCluster(t, 2)
	refusing := &platformtest.Store{}
	refusing.SetFault(platformtest.Unavailable)
	i := len(c.nodes)
	c.startNode("east", c.listen(refusing))
	// The peers dial only members, and this node cannot join, so it dials them.
	c.nodes[i].AddNodes([]vm.VM{{ID: vm.ID(c.settings[0].PeerAddress), Address: c.settings[0].PeerAddress, Zone: "east", Role: vm.RoleEntry}})
	c.waitFor(waitTimeout, "readiness", func() bool { return c.isReady(i) })
	c.putPlan(5, "b")
	c.startTarget("i-9", "b", "east")
	c.waitFor(waitTimeout, "the new plan", func() bool { _, body := c.call(i); return strings.HasSuffix(body, "by i-9") })
}

// Nodes must keep serving from their copies while the store is unreachable, and get later
// changes even though the records before them have expired.
func TestNodesServeDuringStoreOutage(t *testing.T) {
	c := newStartedCluster(t, 2)
	for _, f := range []platformtest.Fault{platformtest.Unresponsive, platformtest.ConnectionReset, platformtest.Unavailable} {
		c.store.SetFault(f)
		for range 20 {
			for i := range c.nodes {
				if status, _ := c.call(i); status != http.StatusOK || !c.isReady(i) {
					t.Fatalf("fault %d: got %d, ready %v, want 200 and ready", f, status, c.isReady(i))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.store.SetFault(platformtest.NoFault)
	}
	c.store.ExpireRecords(platformtest.TargetsTopic)
	c.store.ExpireRecords(platformtest.OperatorTopic)
	c.putTarget("i-1", "a", "east", "draining")
	for i := range c.nodes {
		c.waitFor(waitTimeout, "the other target", func() bool { _, body := c.call(i); return strings.HasSuffix(body, "by i-2") })
	}
}

// A stopping node must be unready at once and stay so, and calls in progress must get
// their complete responses.
func TestGracefulStopCompletesCalls(t *testing.T) {
	c := newStartedCluster(t, 1)
	for _, target := range c.targets {
		target.WarmCallDuration = 700 * time.Millisecond
	}
	slow := make(chan string, 1)
	go func() {
		_, body := c.call(0)
		slow <- body
	}()
	c.waitFor(waitTimeout, "a running call", func() bool { return c.targets["i-1"].ArrivalCount()+c.targets["i-2"].ArrivalCount() > 0 })
	stopped := make(chan struct{})
	go func() {
		c.nodes[0].Stop(t.Context())
		close(stopped)
	}()
	c.waitFor(waitTimeout, "unreadiness", func() bool { return !c.isReady(0) })
	for range 20 {
		if c.isReady(0) {
			t.Fatal("ready again while stopping")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if body := <-slow; !strings.Contains(body, "answer to") {
		t.Errorf("call in progress: got %q, want its complete response", body)
	}
	<-stopped
}

// Two nodes that each read the store, since neither knew the other, must become one reader of
// each topic soon after they are linked, also while their reads wait for a record.
func TestReadersThatMeetBecomeOne(t *testing.T) {
	for range 3 {
		c := newTestCluster(t)
		c.store.SoleMembers = true
		c.putPlan(1, "a")
		c.startTarget("i-1", "a", "east")
		for i := range 3 {
			c.startNode("east", c.storeAddress)
			c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
		}
		for i := range c.nodes {
			for j := range c.nodes {
				a := c.settings[j].PeerAddress
				c.nodes[i].AddNodes([]vm.VM{{ID: vm.ID(a), Address: a, Zone: "east", Role: vm.RoleEntry}})
			}
		}
		time.Sleep(3 * time.Second)
		before := c.store.RequestCount("log-read")
		const spanSeconds = 4
		time.Sleep(spanSeconds * time.Second)
		if got, want := c.store.RequestCount("log-read")-before, 2*spanSeconds+spanSeconds/2; got > want {
			t.Errorf("reads in %d s: got %d, want at most %d", spanSeconds, got, want)
		}
	}
}
