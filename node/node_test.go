package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// waitTimeout bounds the wait for an expected state. It is generous: tests check
// only that the state is reached, not how fast.
const waitTimeout = 30 * time.Second

// cluster is a set of nodes and targets over loopback with a simulated platform.
type cluster struct {
	t         *testing.T
	sharedLog *standin.Log
	vmList    *standin.List
	targets   []*standin.Target
	nodes     []*Node
	logPaths  []*standin.LogLink
}

var zones = []zone.Name{"howrah", "salkia", "behala"}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{t: t, sharedLog: &standin.Log{}, vmList: &standin.List{}}
	for i := range 6 {
		tgt := standin.NewTarget(standin.TargetSettings{
			VM:          vm.VM{ID: vm.ID(fmt.Sprint("khata-", i+1)), Role: vm.RoleTarget, Service: "khata", Zone: zones[i%3], State: vm.StateLive},
			ServiceTime: 2 * time.Millisecond, Seed: uint64(i + 1),
		})
		if err := tgt.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tgt.Close)
		c.targets = append(c.targets, tgt)
		c.vmList.Put(tgt.VM())
	}
	for range nodes {
		c.addNode()
	}
	return c
}

// addNode starts one more node. At the end of the test it checks that the node has
// counted no invariant violation.
func (c *cluster) addNode() *Node {
	c.t.Helper()
	name := fmt.Sprint("entry-", len(c.nodes)+1)
	doc := settings.Defaults()
	doc.Node = settings.NodeDocument{VM: name, Zone: string(zones[len(c.nodes)%3])}
	doc.Listen = settings.ListenDocument{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	doc.Platform.ListEvery = "200ms"
	doc.Stop.Grace = "300ms"
	doc.Tokens = settings.TokensDocument{Operators: "op", Peers: "peer"}
	cfg, err := settings.Check(doc)
	if err != nil {
		c.t.Fatal(err)
	}
	log := &standin.LogLink{Log: c.sharedLog}
	n := New(cfg, Platform{Log: log, VMLister: c.vmList}, zap.NewNop(), metrics.NewDiscardRegistry())
	if err := n.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		if !n.isLeaving.Load() {
			n.Kill()
		}
		if got := n.InvariantChecks().TotalViolations(); got != 0 {
			c.t.Errorf("invariant violations at %s: got %d, want 0", name, got)
		}
	})
	c.nodes, c.logPaths = append(c.nodes, n), append(c.logPaths, log)
	c.vmList.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: cfg.Zone, State: vm.StateLive})
	return n
}

func (c *cluster) operatorClient(i int) *operator.Client {
	return &operator.Client{URL: "http://" + c.nodes[i].Addresses().Operators, Token: "op"}
}

// waitUntil polls f until it returns true, and fails the test after waitTimeout.
func (c *cluster) waitUntil(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not reached within %s", what, waitTimeout)
		}
	}
}

func (c *cluster) isReady(i int) bool {
	resp, err := http.Get("http://" + c.nodes[i].Addresses().Health + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publishAccepted publishes a document at node i and fails the test unless it is
// accepted.
func (c *cluster) publishAccepted(i int, doc config.Document) {
	c.t.Helper()
	a, err := c.operatorClient(i).PublishDocument(c.t.Context(), doc)
	if err != nil || a.Result != operator.Accepted {
		c.t.Fatalf("publication: got %+v %v, want it accepted", a, err)
	}
}

// publishBaseConfig publishes a profile and a service and waits until every node
// has the configuration, all targets and all nodes as live members.
func (c *cluster) publishBaseConfig() {
	c.t.Helper()
	for i := range c.nodes {
		c.waitUntil("readiness", func() bool { return c.isReady(i) })
	}
	c.publishAccepted(0, config.Document{
		Profiles: []profile.Document{{Name: "payment", Deadline: "5s", KeyWindow: "1h"}},
		Services: []service.Document{{Name: "khata", Profile: "payment", PathPrefix: "/khata"}},
	})
	c.waitUntilAll("the configuration", func(n *Node) bool { return n.configState.Current().Revision == 1 })
	c.waitUntilAll("the targets", func(n *Node) bool {
		svc := n.services.byName()["khata"]
		return svc != nil && svc.Table.Counts(time.Now()).Available == len(c.targets)
	})
	c.waitUntilAll("the live members", func(n *Node) bool { return len(n.members.Live()) == len(c.nodes) })
}

// waitUntilAll waits until f returns true for every node that is not leaving.
func (c *cluster) waitUntilAll(what string, f func(n *Node) bool) {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.isLeaving.Load() {
			continue
		}
		c.waitUntil(what, func() bool { return f(n) })
	}
}

// sendKeyedCall sends a call with an idempotency key through node i and returns its
// outcome and reason.
func (c *cluster) sendKeyedCall(i int, key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[i].Addresses().Callers+"/khata/x", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	// Without GetBody, net/http does not resend a call whose body it has read.
	req.GetBody = nil
	req.Header.Set(standin.HeaderCallID, key)
	req.Header.Set(entry.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", err
	}
	return resp.Header.Get(entry.HeaderOutcome) + " " + resp.Header.Get(entry.HeaderReason), nil
}

// runCount returns how often targets started the call with this key.
func (c *cluster) runCount(key string) (n int) {
	for _, tgt := range c.targets {
		for _, run := range tgt.StartedCalls() {
			if run.CallID == key {
				n++
			}
		}
	}
	return n
}

// TestSameKeyThroughAllNodesRunsOnce guards against calls that run twice when nodes
// claim the same idempotency key at the same time.
func TestSameKeyThroughAllNodesRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	c.publishBaseConfig()
	for k := range 20 {
		key := fmt.Sprint("key-", k)
		var wg sync.WaitGroup
		for i := range c.nodes {
			wg.Go(func() {
				if _, err := c.sendKeyedCall(i, key); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if got := c.runCount(key); got != 1 {
			t.Errorf("runs of %s sent through 3 nodes: got %d, want 1", key, got)
		}
	}
}

// TestLogOutageRefusesKeyedCalls checks that without the log a keyed call is
// refused and does not run, a publication is reported as undetermined, and keyed
// calls work again when the log is back.
func TestLogOutageRefusesKeyedCalls(t *testing.T) {
	c := newCluster(t, 2)
	c.publishBaseConfig()
	c.sharedLog.SetDown(true)
	got, err := c.sendKeyedCall(0, "while-down")
	if want := "not-run claim-unavailable"; err != nil || got != want {
		t.Errorf("keyed call: got %q %v, want %q", got, err, want)
	}
	if got := c.runCount("while-down"); got != 0 {
		t.Errorf("runs of a call reported as not run: got %d, want 0", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a, err := c.operatorClient(0).PublishDocument(ctx, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	if err != nil || a.Result != operator.Undetermined {
		t.Errorf("publication: got %+v %v, want it undetermined", a, err)
	}
	c.sharedLog.SetDown(false)
	c.waitUntil("a keyed call done", func() bool {
		got, err := c.sendKeyedCall(1, "after")
		return err == nil && strings.HasPrefix(got, "done")
	})
}

// TestZoneWithdrawalReachesNodeWithoutLog checks that a node that cannot reach the
// log receives a zone withdrawal from its peers, and that no target in the zone
// starts work after it.
func TestZoneWithdrawalReachesNodeWithoutLog(t *testing.T) {
	c := newCluster(t, 3)
	c.publishBaseConfig()
	c.logPaths[2].SetPartitioned(true)
	c.publishAccepted(0, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	c.waitUntilAll("the zone's withdrawal", func(n *Node) bool { return n.configState.Current().IsWithdrawn("any", "howrah") })
	c.waitUntil("unreadiness of the node in the zone", func() bool { return !c.isReady(0) })
	before := time.Now()
	for k := range 60 {
		c.sendKeyedCall(k%3, fmt.Sprint("out-", k))
	}
	for _, tgt := range c.targets {
		if tgt.VM().Zone == "howrah" && tgt.LatestStartTime().After(before) {
			t.Errorf("%s started work while its zone was withdrawn", tgt.VM().ID)
		}
	}
}

// TestTemporaryWithdrawalSpreadsDuringLogOutage checks that a temporary withdrawal
// and its end reach all nodes while the log is unavailable.
func TestTemporaryWithdrawalSpreadsDuringLogOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.publishBaseConfig()
	c.sharedLog.SetDown(true)
	out, err := c.operatorClient(1).Withdraw(t.Context(), operator.WithdrawalRequest{Zone: "salkia", Duration: "10m"})
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := func(n *Node) bool {
		for _, v := range n.services.byName()["khata"].Table.Views(time.Now()) {
			if v.Ref.Zone == "salkia" && !v.IsWithdrawn {
				return false
			}
		}
		return true
	}
	c.waitUntilAll("the temporary withdrawal", withdrawn)
	if _, err := c.operatorClient(0).Withdraw(t.Context(), operator.WithdrawalRequest{Zone: "salkia", ID: out.ID, End: true}); err != nil {
		t.Fatal(err)
	}
	c.waitUntilAll("the end of the withdrawal", func(n *Node) bool { return !withdrawn(n) })
}

// TestNewNodeGetsConfigurationFromPeer checks that a new node takes the
// configuration from a peer, and is not ready before, when the first records of the
// stream have expired and the log is unavailable.
func TestNewNodeGetsConfigurationFromPeer(t *testing.T) {
	c := newCluster(t, 2)
	c.publishBaseConfig()
	c.sharedLog.Expire(config.Stream, 1)
	c.sharedLog.SetDown(true)
	n := c.addNode()
	// A node never drops its configuration, so whenever it reports ready it must
	// hold one when checked afterwards.
	c.waitUntil("readiness", func() bool {
		ready := c.isReady(2)
		if ready && !n.configState.HasConfiguration() {
			t.Error("ready without a configuration: got true, want false")
		}
		return ready
	})
	if got := n.configState.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1, from a peer", got)
	}
	if got, want := n.configState.Current().Digest(), c.nodes[0].configState.Current().Digest(); got != want {
		t.Errorf("digest: got %x, want %x", got, want)
	}
}

// TestNotReadyWithoutConfiguration checks that a node that has not read the
// configuration stream is not ready until it gets a configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	cfg, err := settings.Check(settings.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, 0)
	n := New(cfg, Platform{Log: &standin.LogLink{Log: c.sharedLog}, VMLister: c.vmList}, zap.NewNop(), metrics.NewDiscardRegistry())
	if got, want := n.unreadyReason(), "no-configuration"; got != want {
		t.Errorf("before a configuration: got %q, want %q", got, want)
	}
	n.configState.InstallIfNewer(&config.Configuration{NextOffset: 1, Revision: 1})
	if got := n.unreadyReason(); got != "" {
		t.Errorf("with a configuration: got %q, want ready", got)
	}
}

// TestNodeStartsFromSnapshotAfterRecordsExpire checks that a node starts from a
// snapshot in the log when the first records have expired and there is no peer.
func TestNodeStartsFromSnapshotAfterRecordsExpire(t *testing.T) {
	c := newCluster(t, 1)
	c.publishBaseConfig()
	old := c.nodes[0].configState.Current()
	if _, err := c.sharedLog.Append(t.Context(), config.Stream, config.EncodeSnapshot(old)); err != nil {
		t.Fatal(err)
	}
	c.sharedLog.Expire(config.Stream, 1)
	c.nodes[0].Kill()
	c.vmList.Remove("entry-1")
	n := c.addNode()
	c.waitUntil("the configuration from the snapshot", func() bool { return n.configState.Current().Revision == 1 })
}

// TestPublicationAcceptedDespiteLostAcknowledgement guards against reporting a
// failure when the append took effect but its acknowledgement was lost. The node
// must look up the result in the stream.
func TestPublicationAcceptedDespiteLostAcknowledgement(t *testing.T) {
	c := newCluster(t, 1)
	c.publishBaseConfig()
	c.sharedLog.LoseAcks(1)
	c.publishAccepted(0, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	if got := c.nodes[0].configState.Current().Revision; got != 2 {
		t.Errorf("revision: got %d, want 2", got)
	}
}

// TestConcurrentPublicationsAcceptOne checks that of three publications based on
// the same revision, at three nodes, one is accepted and two are overtaken.
func TestConcurrentPublicationsAcceptOne(t *testing.T) {
	c := newCluster(t, 3)
	c.publishBaseConfig()
	base := uint64(1)
	results := make(chan operator.Result, 3)
	for i := range 3 {
		go func() {
			doc := config.Document{BaseRevision: &base, Profiles: []profile.Document{{Name: profile.Name(fmt.Sprint("p-", i))}}}
			a, err := c.operatorClient(i).PublishDocument(t.Context(), doc)
			if err != nil {
				t.Error(err)
			}
			results <- a.Result
		}()
	}
	got := map[operator.Result]int{}
	for range 3 {
		got[<-results]++
	}
	if got[operator.Accepted] != 1 || got[operator.Overtaken] != 2 {
		t.Errorf("results: got %v, want one accepted and two overtaken", got)
	}
}

// TestPlannedStopCutsOffNoCalls checks that a planned stop under load breaks no
// caller's connection.
func TestPlannedStopCutsOffNoCalls(t *testing.T) {
	c := newCluster(t, 2)
	c.publishBaseConfig()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var sent, cut atomic.Int64
	for w := range 8 {
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				// Like the platform's balancer, the caller checks readiness before
				// the call; the node may become unready in between.
				if !c.isReady(1) {
					return
				}
				sent.Add(1)
				if _, err := c.sendKeyedCall(1, fmt.Sprint("stop-", w, "-", k)); err != nil {
					cut.Add(1)
				}
			}
		})
	}
	c.waitUntil("more than 100 calls", func() bool { return sent.Load() > 100 })
	if got := c.nodes[1].Stop(context.Background()); got != 0 {
		t.Errorf("calls cut off: got %d, want 0", got)
	}
	cancel()
	wg.Wait()
	if got := cut.Load(); got != 0 {
		t.Errorf("calls with a broken connection: got %d of %d, want 0", got, sent.Load())
	}
}

// TestLeavingTargetStateReachesAllNodes checks that peers receive the leaving state
// of a target that only one node has observed and the VM list does not show.
func TestLeavingTargetStateReachesAllNodes(t *testing.T) {
	c := newCluster(t, 3)
	c.publishBaseConfig()
	leaving := c.targets[0]
	leaving.SetState(target.Leaving)
	c.waitUntil("the leaving state at the node that calls it", func() bool {
		c.sendKeyedCall(0, fmt.Sprint("find-", time.Now().UnixNano()))
		return stateOf(c.nodes[0], leaving.VM().ID) == target.Leaving
	})
	c.waitUntilAll("the leaving state", func(n *Node) bool { return stateOf(n, leaving.VM().ID) == target.Leaving })
}

func stateOf(n *Node, id vm.ID) target.State {
	for _, v := range n.services.byName()["khata"].Table.Views(time.Now()) {
		if v.Ref.ID == id {
			return v.State
		}
	}
	return target.Unverified
}

// TestUnresponsiveConnectionsAreReplaced checks that keyed calls succeed over new
// connections when all open connections to the targets have stopped responding.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	c := newCluster(t, 1)
	c.publishBaseConfig()
	for k := range 30 {
		if _, err := c.sendKeyedCall(0, fmt.Sprint("before-", k)); err != nil {
			t.Fatal(err)
		}
	}
	for _, tgt := range c.targets {
		tgt.StallConnections()
	}
	// A connection counts as verified for 100 ms after a response.
	time.Sleep(150 * time.Millisecond)
	for k := range 30 {
		got, err := c.sendKeyedCall(0, fmt.Sprint("after-", k))
		if want := "done "; err != nil || got != want {
			t.Errorf("call %d: got %q %v, want %q", k, got, err, want)
		}
	}
}

// TestConfigDigestMismatchViolatesInvariant checks that a peer at the same offset
// with another configuration digest counts as a violation.
func TestConfigDigestMismatchViolatesInvariant(t *testing.T) {
	doc := settings.Defaults()
	cfg, err := settings.Check(doc)
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, Platform{Log: &standin.Log{}, VMLister: &standin.List{}}, zap.NewNop(), metrics.NewDiscardRegistry())
	n.members.Update(func(e *member.Entry) { e.ConfigNext, e.ConfigDigest = 5, 1 })
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 1}, {ConfigNext: 6, ConfigDigest: 2}})
	if got := n.InvariantChecks().TotalViolations(); got != 0 {
		t.Errorf("violations with equal digests or another offset: got %d, want 0", got)
	}
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 2}})
	if got := n.InvariantChecks().Violations(invariant.ConfigSameEverywhere); got != 1 {
		t.Errorf("violations with different digests: got %d, want 1", got)
	}
}

// TestPortsServeOnlyTheirAPI checks that the callers' port serves neither the
// operator API nor peer links, and that both require their token.
func TestPortsServeOnlyTheirAPI(t *testing.T) {
	c := newCluster(t, 1)
	c.publishBaseConfig()
	a := c.nodes[0].Addresses()
	for _, tt := range []struct {
		name, url string
		want      int
	}{
		{"operator API on the callers' port", "http://" + a.Callers + "/v1/status", http.StatusNotFound},
		{"peer link on the callers' port", "http://" + a.Callers + "/peer", http.StatusNotFound},
		{"operator API without the token", "http://" + a.Operators + "/v1/status", http.StatusUnauthorized},
		{"peer link without the token", "http://" + a.Peers + "/peer", http.StatusUnauthorized},
		{"liveness", "http://" + a.Health + "/live", http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.Get(tt.url)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if got := resp.StatusCode; got != tt.want {
				t.Errorf("status: got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestInvalidPublicationsAreRefused checks that an invalid document is refused with
// the faulty field named, and that the active configuration stays.
func TestInvalidPublicationsAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.publishBaseConfig()
	for _, tt := range []struct{ name, doc, field string }{
		{"unknown key", "profiles: [{name: x, hedgee: true}]", "profiles[0].hedgee"},
		{"duration without a unit", "profiles: [{name: x, deadline: 5}]", "profiles.x.deadline"},
		{"hedge on a non-idempotent profile", "profiles: [{name: x, hedge: true}]", "profiles.x.hedge"},
		{"absent profile", "services: [{name: y, profile: none, path-prefix: /y}]", "services.y.profile"},
		{"all zones withdrawn", "zones-out: [howrah, salkia, behala]", "force"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			response, err := c.operatorClient(0).Publish(t.Context(), []byte(tt.doc))
			if err != nil {
				t.Fatal(err)
			}
			if response.Result != operator.Refused || len(response.Faults) == 0 || response.Faults[0].Field != tt.field {
				t.Errorf("response: got %+v, want it refused for %s", response, tt.field)
			}
		})
	}
	if got := c.nodes[0].configState.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1", got)
	}
}
