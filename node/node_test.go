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

// waitTimeout is how long a test waits for what must come; nothing is judged by it
// but that it came.
const waitTimeout = 30 * time.Second

// cluster is a small deployment over loopback.
type cluster struct {
	t         *testing.T
	sharedLog *standin.Log
	vmList    *standin.List
	targets   []*standin.Target
	nodes     []*Node
	logPaths  []*standin.Path
}

var zones = []zone.Name{"howrah", "salkia", "behala"}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	s := &cluster{t: t, sharedLog: &standin.Log{}, vmList: &standin.List{}}
	for i := range 6 {
		each := standin.NewTarget(standin.TargetSettings{
			VM:          vm.VM{ID: vm.ID(fmt.Sprint("khata-", i+1)), Role: vm.RoleTarget, Service: "khata", Zone: zones[i%3], State: vm.StateLive},
			ServiceTime: 2 * time.Millisecond, Seed: uint64(i + 1),
		})
		if err := each.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(each.Close)
		s.targets = append(s.targets, each)
		s.vmList.Put(each.VM())
	}
	for range nodes {
		s.addNode()
	}
	return s
}

// addNode starts one more node.
func (s *cluster) addNode() *Node {
	s.t.Helper()
	name := fmt.Sprint("entry-", len(s.nodes)+1)
	doc := settings.Defaults()
	doc.Node = settings.NodeDocument{VM: name, Zone: string(zones[len(s.nodes)%3])}
	doc.Listen = settings.ListenDocument{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	doc.Platform.ListEvery = "200ms"
	doc.Stop.Grace = "300ms"
	doc.Tokens = settings.TokensDocument{Operators: "op", Peers: "peer"}
	cfg, err := settings.Check(doc)
	if err != nil {
		s.t.Fatal(err)
	}
	log := &standin.Path{Log: s.sharedLog}
	n := New(cfg, Platform{Log: log, Lister: s.vmList}, zap.NewNop(), metrics.Discard())
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if !n.isLeaving.Load() {
			n.Kill()
		}
		if got := n.Checks().Total(); got != 0 {
			s.t.Errorf("invariants broken at %s: got %d, want 0", name, got)
		}
	})
	s.nodes, s.logPaths = append(s.nodes, n), append(s.logPaths, log)
	s.vmList.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: cfg.Zone, State: vm.StateLive})
	return n
}

func (s *cluster) operatorClient(i int) *operator.Client {
	return &operator.Client{URL: "http://" + s.nodes[i].Addresses().Operators, Token: "op"}
}

// waitUntil waits for what must come.
func (s *cluster) waitUntil(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: did not come within %s", what, waitTimeout)
		}
	}
}

func (s *cluster) isReady(i int) bool {
	resp, err := http.Get("http://" + s.nodes[i].Addresses().Health + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publishAccepted publishes at a node and wants it accepted.
func (s *cluster) publishAccepted(i int, doc config.Document) {
	s.t.Helper()
	a, err := s.operatorClient(i).PublishDocument(s.t.Context(), doc)
	if err != nil || a.Result != operator.Accepted {
		s.t.Fatalf("publication: got %+v %v, want it accepted", a, err)
	}
}

// publishBaseConfig publishes the site's profile and service and waits until all know.
func (s *cluster) publishBaseConfig() {
	s.t.Helper()
	for i := range s.nodes {
		s.waitUntil("readiness", func() bool { return s.isReady(i) })
	}
	s.publishAccepted(0, config.Document{
		Profiles: []profile.Document{{Name: "payment", Deadline: "5s", KeyWindow: "1h"}},
		Services: []service.Document{{Name: "khata", Profile: "payment", PathPrefix: "/khata"}},
	})
	s.waitUntilAll("the configuration", func(n *Node) bool { return n.configState.Current().Revision == 1 })
	s.waitUntilAll("the targets", func(n *Node) bool {
		svc := n.services.byName()["khata"]
		return svc != nil && svc.Table.Counts(time.Now()).Open == len(s.targets)
	})
	s.waitUntilAll("links", func(n *Node) bool { return len(n.members.Live()) == len(s.nodes) })
}

func (s *cluster) waitUntilAll(what string, f func(n *Node) bool) {
	s.t.Helper()
	for _, n := range s.nodes {
		if n.isLeaving.Load() {
			continue
		}
		s.waitUntil(what, func() bool { return f(n) })
	}
}

// sendKeyedCall sends a keyed sendKeyedCall through a node and returns the outcome.
func (s *cluster) sendKeyedCall(i int, key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.nodes[i].Addresses().Callers+"/khata/x", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	req.GetBody = nil
	req.Header.Set(standin.HeaderCall, key)
	req.Header.Set(entry.HeaderKey, key)
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

// runCount counts how often targets started a call.
func (s *cluster) runCount(key string) (n int) {
	for _, t := range s.targets {
		for _, c := range t.Ledger() {
			if c.Call == key {
				n++
			}
		}
	}
	return n
}

func TestSameKeyThroughAllNodesRunsOnce(t *testing.T) {
	s := newCluster(t, 3)
	s.publishBaseConfig()
	for k := range 20 {
		key := fmt.Sprint("key-", k)
		var wg sync.WaitGroup
		for i := range s.nodes {
			wg.Go(func() {
				if _, err := s.sendKeyedCall(i, key); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if got := s.runCount(key); got != 1 {
			t.Errorf("runs of %s sent through 3 nodes: got %d, want 1", key, got)
		}
	}
}

// TestLogOutageRefusesKeyedCalls takes the log away: unkeyed work and looking go on, claims and
// publications are refused truthfully, and all comes back.
func TestLogOutageRefusesKeyedCalls(t *testing.T) {
	s := newCluster(t, 2)
	s.publishBaseConfig()
	s.sharedLog.SetDown(true)
	got, err := s.sendKeyedCall(0, "while-down")
	if want := "not-run claim-unavailable"; err != nil || got != want {
		t.Errorf("keyed call: got %q %v, want %q", got, err, want)
	}
	if got := s.runCount("while-down"); got != 0 {
		t.Errorf("runs of a call told not run: got %d, want 0", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a, err := s.operatorClient(0).PublishDocument(ctx, config.Document{ZonesOut: []zone.Name{"howrah"}})
	if err != nil || a.Result != operator.Undetermined {
		t.Errorf("publication: got %+v %v, want it undetermined", a, err)
	}
	s.sharedLog.SetDown(false)
	s.waitUntil("keyed calls", func() bool {
		got, err := s.sendKeyedCall(1, "after")
		return err == nil && strings.HasPrefix(got, "done")
	})
}

// TestZoneWithdrawalReachesNodeWithoutLog takes a zone out while one node cannot reach
// the log; it learns of it from its peers.
func TestZoneWithdrawalReachesNodeWithoutLog(t *testing.T) {
	s := newCluster(t, 3)
	s.publishBaseConfig()
	s.logPaths[2].SetCut(true)
	s.publishAccepted(0, config.Document{ZonesOut: []zone.Name{"howrah"}})
	s.waitUntilAll("the zone's withdrawal", func(n *Node) bool { return n.configState.Current().Withdrawn("any", "howrah") })
	s.waitUntil("the node in the zone to be unready", func() bool { return !s.isReady(0) })
	before := time.Now()
	for k := range 60 {
		s.sendKeyedCall(k%3, fmt.Sprint("out-", k))
	}
	for _, each := range s.targets {
		if each.VM().Zone == "howrah" && each.LatestStart().After(before) {
			t.Errorf("%s started work while its zone was out", each.VM().ID)
		}
	}
}

// TestTemporaryWithdrawalSpreadsDuringLogOutage takes a zone out while the log is away.
func TestTemporaryWithdrawalSpreadsDuringLogOutage(t *testing.T) {
	s := newCluster(t, 3)
	s.publishBaseConfig()
	s.sharedLog.SetDown(true)
	out, err := s.operatorClient(1).Withdraw(t.Context(), operator.Withdraw{Zone: "salkia", For: "10m"})
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := func(n *Node) bool {
		for _, v := range n.services.byName()["khata"].Table.Views(time.Now()) {
			if v.Ref.Zone == "salkia" && !v.Withdrawn {
				return false
			}
		}
		return true
	}
	s.waitUntilAll("the temporary withdrawal", withdrawn)
	if _, err := s.operatorClient(0).Withdraw(t.Context(), operator.Withdraw{Zone: "salkia", ID: out.ID, End: true}); err != nil {
		t.Fatal(err)
	}
	s.waitUntilAll("its end", func(n *Node) bool { return !withdrawn(n) })
}

// TestNewNodeGetsConfigurationFromPeer starts a node when the stream's first records have
// expired and the log is down; it takes the configuration from a peer and is
// not ready before.
func TestNewNodeGetsConfigurationFromPeer(t *testing.T) {
	s := newCluster(t, 2)
	s.publishBaseConfig()
	s.sharedLog.Expire(config.Stream, 1)
	s.sharedLog.SetDown(true)
	n := s.addNode()
	// What a node knows it never forgets: whenever it says that it is ready, it
	// must know a configuration by then.
	s.waitUntil("readiness", func() bool {
		ready := s.isReady(2)
		if ready && !n.configState.Known() {
			t.Error("ready without a configuration: got true, want false")
		}
		return ready
	})
	if got := n.configState.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1, from a peer", got)
	}
	if got, want := n.configState.Current().Digest(), s.nodes[0].configState.Current().Digest(); got != want {
		t.Errorf("digest: got %x, want %x", got, want)
	}
}

// TestNotReadyWithoutConfiguration asks a node that follows nothing yet.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	cfg, err := settings.Check(settings.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	s := newCluster(t, 0)
	n := New(cfg, Platform{Log: &standin.Path{Log: s.sharedLog}, Lister: s.vmList}, zap.NewNop(), metrics.Discard())
	if got, want := n.unreadyReason(), "no-configuration"; got != want {
		t.Errorf("before a configuration: got %q, want %q", got, want)
	}
	n.configState.Offer(&config.Configuration{Next: 1, Revision: 1})
	if got := n.unreadyReason(); got != "" {
		t.Errorf("with one: got %q, want ready", got)
	}
}

// TestNodeStartsFromSnapshotAfterRecordsExpire starts a node whose first records are gone from the log,
// with a snapshot in it and no peer to ask.
func TestNodeStartsFromSnapshotAfterRecordsExpire(t *testing.T) {
	s := newCluster(t, 1)
	s.publishBaseConfig()
	old := s.nodes[0].configState.Current()
	if _, err := s.sharedLog.Append(t.Context(), config.Stream, config.EncodeSnapshot(old)); err != nil {
		t.Fatal(err)
	}
	s.sharedLog.Expire(config.Stream, 1)
	s.nodes[0].Kill()
	s.vmList.Remove("entry-1")
	n := s.addNode()
	s.waitUntil("the configuration from the snapshot", func() bool { return n.configState.Current().Revision == 1 })
}

// TestPublicationAcceptedDespiteLostAcknowledgement loses the acknowledgement of a publication; its fate
// is looked up, not guessed.
func TestPublicationAcceptedDespiteLostAcknowledgement(t *testing.T) {
	s := newCluster(t, 1)
	s.publishBaseConfig()
	s.sharedLog.LoseAcks(1)
	s.publishAccepted(0, config.Document{ZonesOut: []zone.Name{"howrah"}})
	if got := s.nodes[0].configState.Current().Revision; got != 2 {
		t.Errorf("revision: got %d, want 2", got)
	}
}

func TestConcurrentPublicationsAcceptOne(t *testing.T) {
	s := newCluster(t, 3)
	s.publishBaseConfig()
	base := uint64(1)
	results := make(chan operator.Result, 3)
	for i := range 3 {
		go func() {
			doc := config.Document{Base: &base, Profiles: []profile.Document{{Name: profile.Name(fmt.Sprint("p-", i))}}}
			a, err := s.operatorClient(i).PublishDocument(t.Context(), doc)
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

// TestPlannedStopCutsOffNoCalls stops a node while calls flow through it.
func TestPlannedStopCutsOffNoCalls(t *testing.T) {
	s := newCluster(t, 2)
	s.publishBaseConfig()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var sent, cut atomic.Int64
	for w := range 8 {
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				// As the platform's balancer would, the caller looks at readiness,
				// which may have fallen since.
				if !s.isReady(1) {
					return
				}
				sent.Add(1)
				if _, err := s.sendKeyedCall(1, fmt.Sprint("stop-", w, "-", k)); err != nil {
					cut.Add(1)
				}
			}
		})
	}
	s.waitUntil("calls", func() bool { return sent.Load() > 100 })
	if got := s.nodes[1].Stop(context.Background()); got != 0 {
		t.Errorf("calls cut off: got %d, want 0", got)
	}
	cancel()
	wg.Wait()
	if got := cut.Load(); got != 0 {
		t.Errorf("calls that saw a broken connection: got %d of %d, want 0", got, sent.Load())
	}
}

// TestLeavingTargetStateReachesAllNodes lets one node learn that a target leaves, and looks
// whether a node that never spoke to it knows too, though the list says nothing.
func TestLeavingTargetStateReachesAllNodes(t *testing.T) {
	s := newCluster(t, 3)
	s.publishBaseConfig()
	leaving := s.targets[0]
	leaving.SetState(target.Leaving)
	s.waitUntil("node 1 to notice", func() bool {
		s.sendKeyedCall(0, fmt.Sprint("find-", time.Now().UnixNano()))
		return stateOf(s.nodes[0], leaving.VM().ID) == target.Leaving
	})
	s.waitUntilAll("the word", func(n *Node) bool { return stateOf(n, leaving.VM().ID) == target.Leaving })
}

func stateOf(n *Node, id vm.ID) target.State {
	for _, v := range n.services.byName()["khata"].Table.Views(time.Now()) {
		if v.Ref.ID == id {
			return v.State
		}
	}
	return target.Unverified
}

// TestSilentConnectionsAreReplaced lets every open connection to every target go silent;
// keyed calls are sent over new ones and done.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := newCluster(t, 1)
	s.publishBaseConfig()
	for k := range 30 {
		if _, err := s.sendKeyedCall(0, fmt.Sprint("before-", k)); err != nil {
			t.Fatal(err)
		}
	}
	for _, each := range s.targets {
		each.Hush()
	}
	// Longer than a connection stays proven.
	time.Sleep(150 * time.Millisecond)
	for k := range 30 {
		got, err := s.sendKeyedCall(0, fmt.Sprint("after-", k))
		if want := "done "; err != nil || got != want {
			t.Errorf("call %d: got %q %v, want %q", k, got, err, want)
		}
	}
}

// TestConfigDigestMismatchViolatesInvariant shows that the invariant sees a peer at
// the same offset with another configuration.
func TestConfigDigestMismatchViolatesInvariant(t *testing.T) {
	doc := settings.Defaults()
	cfg, err := settings.Check(doc)
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, Platform{Log: &standin.Log{}, Lister: &standin.List{}}, zap.NewNop(), metrics.Discard())
	n.members.Update(func(e *member.Entry) { e.ConfigNext, e.ConfigDigest = 5, 1 })
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 1}, {ConfigNext: 6, ConfigDigest: 2}})
	if got := n.Checks().Total(); got != 0 {
		t.Errorf("breaches of equal ones: got %d, want 0", got)
	}
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 2}})
	if got := n.Checks().Count(invariant.ConfigSameEverywhere); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}

// TestPortsServeOnlyTheirAPI keeps callers from the operators' and peers' endpoints, and
// strangers from both.
func TestPortsServeOnlyTheirAPI(t *testing.T) {
	s := newCluster(t, 1)
	s.publishBaseConfig()
	a := s.nodes[0].Addresses()
	for _, tt := range []struct {
		name, url string
		want      int
	}{
		{"operators by the callers' port", "http://" + a.Callers + "/v1/status", http.StatusNotFound},
		{"peers by the callers' port", "http://" + a.Callers + "/peer", http.StatusNotFound},
		{"operators without the token", "http://" + a.Operators + "/v1/status", http.StatusUnauthorized},
		{"peers without the token", "http://" + a.Peers + "/peer", http.StatusUnauthorized},
		{"live", "http://" + a.Health + "/live", http.StatusOK},
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

// TestInvalidPublicationsAreRefused are refused with the field named; what was in force stays.
func TestInvalidPublicationsAreRefused(t *testing.T) {
	s := newCluster(t, 1)
	s.publishBaseConfig()
	for _, tt := range []struct{ name, doc, field string }{
		{"unknown key", "profiles: [{name: x, hedgee: true}]", "profiles[0].hedgee"},
		{"unit", "profiles: [{name: x, deadline: 5}]", "profiles.x.deadline"},
		{"hedge", "profiles: [{name: x, hedge: true}]", "profiles.x.hedge"},
		{"absent profile", "services: [{name: y, profile: none, path-prefix: /y}]", "services.y.profile"},
		{"last zone", "zones-out: [howrah, salkia, behala]", "force"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, err := s.operatorClient(0).Publish(t.Context(), []byte(tt.doc))
			if err != nil {
				t.Fatal(err)
			}
			if a.Result != operator.Refused || len(a.Faults) == 0 || a.Faults[0].Field != tt.field {
				t.Errorf("answer: got %+v, want it refused for %s", a, tt.field)
			}
		})
	}
	if got := s.nodes[0].configState.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1", got)
	}
}
