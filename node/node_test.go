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

// patience is how long a test waits for what must come; nothing is judged by it
// but that it came.
const patience = 30 * time.Second

// site is a small deployment over loopback.
type site struct {
	t       *testing.T
	log     *standin.Log
	list    *standin.List
	targets []*standin.Target
	nodes   []*Node
	logs    []*standin.LogLink
}

var zones = []zone.Name{"howrah", "salkia", "behala"}

func newSite(t *testing.T, nodes int) *site {
	t.Helper()
	s := &site{t: t, log: &standin.Log{}, list: &standin.List{}}
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
		s.list.Put(each.VM())
	}
	for range nodes {
		s.addNode()
	}
	return s
}

// addNode starts one more node.
func (s *site) addNode() *Node {
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
	log := &standin.LogLink{Log: s.log}
	n := New(cfg, Platform{Log: log, VMLister: s.list}, zap.NewNop(), metrics.NewDiscardRegistry())
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if !n.leaving.Load() {
			n.Kill()
		}
		if got := n.InvariantChecks().TotalViolations(); got != 0 {
			s.t.Errorf("invariants broken at %s: got %d, want 0", name, got)
		}
	})
	s.nodes, s.logs = append(s.nodes, n), append(s.logs, log)
	s.list.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: cfg.Zone, State: vm.StateLive})
	return n
}

func (s *site) operators(i int) *operator.Client {
	return &operator.Client{URL: "http://" + s.nodes[i].Addresses().Operators, Token: "op"}
}

// until waits for what must come.
func (s *site) until(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: did not come within %s", what, patience)
		}
	}
}

func (s *site) ready(i int) bool {
	resp, err := http.Get("http://" + s.nodes[i].Addresses().Health + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publish publishes at a node and wants it accepted.
func (s *site) publish(i int, doc config.Document) {
	s.t.Helper()
	a, err := s.operators(i).PublishDocument(s.t.Context(), doc)
	if err != nil || a.Result != operator.Accepted {
		s.t.Fatalf("publication: got %+v %v, want it accepted", a, err)
	}
}

// base publishes the site's profile and service and waits until all know.
func (s *site) base() {
	s.t.Helper()
	for i := range s.nodes {
		s.until("readiness", func() bool { return s.ready(i) })
	}
	s.publish(0, config.Document{
		Profiles: []profile.Document{{Name: "payment", Deadline: "5s", KeyWindow: "1h"}},
		Services: []service.Document{{Name: "khata", Profile: "payment", PathPrefix: "/khata"}},
	})
	s.everywhere("the configuration", func(n *Node) bool { return n.book.Current().Revision == 1 })
	s.everywhere("the targets", func(n *Node) bool {
		svc := n.fleet.tables()["khata"]
		return svc != nil && svc.Table.Counts(time.Now()).Available == len(s.targets)
	})
	s.everywhere("links", func(n *Node) bool { return len(n.members.Live()) == len(s.nodes) })
}

func (s *site) everywhere(what string, f func(n *Node) bool) {
	s.t.Helper()
	for _, n := range s.nodes {
		if n.leaving.Load() {
			continue
		}
		s.until(what, func() bool { return f(n) })
	}
}

// call sends a keyed call through a node and returns the outcome.
func (s *site) call(i int, key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.nodes[i].Addresses().Callers+"/khata/x", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
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

// runs counts how often targets started a call.
func (s *site) runs(key string) (n int) {
	for _, t := range s.targets {
		for _, c := range t.StartedCalls() {
			if c.CallID == key {
				n++
			}
		}
	}
	return n
}

func TestSameKeyThroughAllNodes(t *testing.T) {
	s := newSite(t, 3)
	s.base()
	for k := range 20 {
		key := fmt.Sprint("key-", k)
		var wg sync.WaitGroup
		for i := range s.nodes {
			wg.Go(func() {
				if _, err := s.call(i, key); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if got := s.runs(key); got != 1 {
			t.Errorf("runs of %s sent through 3 nodes: got %d, want 1", key, got)
		}
	}
}

// TestLogDown takes the log away: unkeyed work and looking go on, claims and
// publications are refused truthfully, and all comes back.
func TestLogDown(t *testing.T) {
	s := newSite(t, 2)
	s.base()
	s.log.SetDown(true)
	got, err := s.call(0, "while-down")
	if want := "not-run claim-unavailable"; err != nil || got != want {
		t.Errorf("keyed call: got %q %v, want %q", got, err, want)
	}
	if got := s.runs("while-down"); got != 0 {
		t.Errorf("runs of a call told not run: got %d, want 0", got)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a, err := s.operators(0).PublishDocument(ctx, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	if err != nil || a.Result != operator.Undetermined {
		t.Errorf("publication: got %+v %v, want it undetermined", a, err)
	}
	s.log.SetDown(false)
	s.until("keyed calls", func() bool {
		got, err := s.call(1, "after")
		return err == nil && strings.HasPrefix(got, "done")
	})
}

// TestZoneOutWhileOneNodeIsCutOff takes a zone out while one node cannot reach
// the log; it learns of it from its peers.
func TestZoneOutWhileOneNodeIsCutOff(t *testing.T) {
	s := newSite(t, 3)
	s.base()
	s.logs[2].SetPartitioned(true)
	s.publish(0, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	s.everywhere("the zone's withdrawal", func(n *Node) bool { return n.book.Current().IsWithdrawn("any", "howrah") })
	s.until("the node in the zone to be unready", func() bool { return !s.ready(0) })
	before := time.Now()
	for k := range 60 {
		s.call(k%3, fmt.Sprint("out-", k))
	}
	for _, each := range s.targets {
		if each.VM().Zone == "howrah" && each.LatestStartTime().After(before) {
			t.Errorf("%s started work while its zone was out", each.VM().ID)
		}
	}
}

// TestTemporaryWithdrawal takes a zone out while the log is away.
func TestTemporaryWithdrawal(t *testing.T) {
	s := newSite(t, 3)
	s.base()
	s.log.SetDown(true)
	out, err := s.operators(1).Withdraw(t.Context(), operator.WithdrawalRequest{Zone: "salkia", Duration: "10m"})
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := func(n *Node) bool {
		for _, v := range n.fleet.tables()["khata"].Table.Views(time.Now()) {
			if v.Ref.Zone == "salkia" && !v.IsWithdrawn {
				return false
			}
		}
		return true
	}
	s.everywhere("the temporary withdrawal", withdrawn)
	if _, err := s.operators(0).Withdraw(t.Context(), operator.WithdrawalRequest{Zone: "salkia", ID: out.ID, End: true}); err != nil {
		t.Fatal(err)
	}
	s.everywhere("its end", func(n *Node) bool { return !withdrawn(n) })
}

// TestFreshNodeWithDeadLog starts a node when the stream's first records have
// expired and the log is down; it takes the configuration from a peer and is
// not ready before.
func TestFreshNodeWithDeadLog(t *testing.T) {
	s := newSite(t, 2)
	s.base()
	s.log.Expire(config.Stream, 1)
	s.log.SetDown(true)
	n := s.addNode()
	// What a node knows it never forgets: whenever it says that it is ready, it
	// must know a configuration by then.
	s.until("readiness", func() bool {
		ready := s.ready(2)
		if ready && !n.book.HasConfiguration() {
			t.Error("ready without a configuration: got true, want false")
		}
		return ready
	})
	if got := n.book.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1, from a peer", got)
	}
	if got, want := n.book.Current().Digest(), s.nodes[0].book.Current().Digest(); got != want {
		t.Errorf("digest: got %x, want %x", got, want)
	}
}

// TestUnreadyWithoutAConfiguration asks a node that follows nothing yet.
func TestUnreadyWithoutAConfiguration(t *testing.T) {
	cfg, err := settings.Check(settings.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, 0)
	n := New(cfg, Platform{Log: &standin.LogLink{Log: s.log}, VMLister: s.list}, zap.NewNop(), metrics.NewDiscardRegistry())
	if got, want := n.unreadyReason(), "no-configuration"; got != want {
		t.Errorf("before a configuration: got %q, want %q", got, want)
	}
	n.book.InstallIfNewer(&config.Configuration{NextOffset: 1, Revision: 1})
	if got := n.unreadyReason(); got != "" {
		t.Errorf("with one: got %q, want ready", got)
	}
}

// TestExpiredRecords starts a node whose first records are gone from the log,
// with a snapshot in it and no peer to ask.
func TestExpiredRecords(t *testing.T) {
	s := newSite(t, 1)
	s.base()
	old := s.nodes[0].book.Current()
	if _, err := s.log.Append(t.Context(), config.Stream, config.EncodeSnapshot(old)); err != nil {
		t.Fatal(err)
	}
	s.log.Expire(config.Stream, 1)
	s.nodes[0].Kill()
	s.list.Remove("entry-1")
	n := s.addNode()
	s.until("the configuration from the snapshot", func() bool { return n.book.Current().Revision == 1 })
}

// TestLostAcknowledgement loses the acknowledgement of a publication; its fate
// is looked up, not guessed.
func TestLostAcknowledgement(t *testing.T) {
	s := newSite(t, 1)
	s.base()
	s.log.LoseAcks(1)
	s.publish(0, config.Document{WithdrawZones: []zone.Name{"howrah"}})
	if got := s.nodes[0].book.Current().Revision; got != 2 {
		t.Errorf("revision: got %d, want 2", got)
	}
}

func TestOperatorsRace(t *testing.T) {
	s := newSite(t, 3)
	s.base()
	base := uint64(1)
	results := make(chan operator.Result, 3)
	for i := range 3 {
		go func() {
			doc := config.Document{BaseRevision: &base, Profiles: []profile.Document{{Name: profile.Name(fmt.Sprint("p-", i))}}}
			a, err := s.operators(i).PublishDocument(t.Context(), doc)
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

// TestPlannedStopCutsNothing stops a node while calls flow through it.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := newSite(t, 2)
	s.base()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var sent, cut atomic.Int64
	for w := range 8 {
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				// As the platform's balancer would, the caller looks at readiness,
				// which may have fallen since.
				if !s.ready(1) {
					return
				}
				sent.Add(1)
				if _, err := s.call(1, fmt.Sprint("stop-", w, "-", k)); err != nil {
					cut.Add(1)
				}
			}
		})
	}
	s.until("calls", func() bool { return sent.Load() > 100 })
	if got := s.nodes[1].Stop(context.Background()); got != 0 {
		t.Errorf("calls cut off: got %d, want 0", got)
	}
	cancel()
	wg.Wait()
	if got := cut.Load(); got != 0 {
		t.Errorf("calls that saw a broken connection: got %d of %d, want 0", got, sent.Load())
	}
}

// TestLeavingTargetIsToldOn lets one node learn that a target leaves, and looks
// whether a node that never spoke to it knows too, though the list says nothing.
func TestLeavingTargetIsToldOn(t *testing.T) {
	s := newSite(t, 3)
	s.base()
	leaving := s.targets[0]
	leaving.SetState(target.Leaving)
	s.until("node 1 to notice", func() bool {
		s.call(0, fmt.Sprint("find-", time.Now().UnixNano()))
		return stateOf(s.nodes[0], leaving.VM().ID) == target.Leaving
	})
	s.everywhere("the word", func(n *Node) bool { return stateOf(n, leaving.VM().ID) == target.Leaving })
}

func stateOf(n *Node, id vm.ID) target.State {
	for _, v := range n.fleet.tables()["khata"].Table.Views(time.Now()) {
		if v.Ref.ID == id {
			return v.State
		}
	}
	return target.Unverified
}

// TestSilentConnections lets every open connection to every target go silent;
// keyed calls are sent over new ones and done.
func TestSilentConnections(t *testing.T) {
	s := newSite(t, 1)
	s.base()
	for k := range 30 {
		if _, err := s.call(0, fmt.Sprint("before-", k)); err != nil {
			t.Fatal(err)
		}
	}
	for _, each := range s.targets {
		each.StallConnections()
	}
	// Longer than a connection stays proven.
	time.Sleep(150 * time.Millisecond)
	for k := range 30 {
		got, err := s.call(0, fmt.Sprint("after-", k))
		if want := "done "; err != nil || got != want {
			t.Errorf("call %d: got %q %v, want %q", k, got, err, want)
		}
	}
}

// TestDifferentConfigurationsAreCaught shows that the invariant sees a peer at
// the same offset with another configuration.
func TestDifferentConfigurationsAreCaught(t *testing.T) {
	doc := settings.Defaults()
	cfg, err := settings.Check(doc)
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, Platform{Log: &standin.Log{}, VMLister: &standin.List{}}, zap.NewNop(), metrics.NewDiscardRegistry())
	n.members.Update(func(e *member.Entry) { e.ConfigNext, e.ConfigDigest = 5, 1 })
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 1}, {ConfigNext: 6, ConfigDigest: 2}})
	if got := n.InvariantChecks().TotalViolations(); got != 0 {
		t.Errorf("breaches of equal ones: got %d, want 0", got)
	}
	n.compareConfigs([]member.Entry{{ConfigNext: 5, ConfigDigest: 2}})
	if got := n.InvariantChecks().Violations(invariant.ConfigSameEverywhere); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}

// TestPorts keeps callers from the operators' and peers' endpoints, and
// strangers from both.
func TestPorts(t *testing.T) {
	s := newSite(t, 1)
	s.base()
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

// TestBadPublications are refused with the field named; what was in force stays.
func TestBadPublications(t *testing.T) {
	s := newSite(t, 1)
	s.base()
	for _, tt := range []struct{ name, doc, field string }{
		{"unknown key", "profiles: [{name: x, hedgee: true}]", "profiles[0].hedgee"},
		{"unit", "profiles: [{name: x, deadline: 5}]", "profiles.x.deadline"},
		{"hedge", "profiles: [{name: x, hedge: true}]", "profiles.x.hedge"},
		{"absent profile", "services: [{name: y, profile: none, path-prefix: /y}]", "services.y.profile"},
		{"last zone", "zones-out: [howrah, salkia, behala]", "force"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, err := s.operators(0).Publish(t.Context(), []byte(tt.doc))
			if err != nil {
				t.Fatal(err)
			}
			if a.Result != operator.Refused || len(a.Faults) == 0 || a.Faults[0].Field != tt.field {
				t.Errorf("answer: got %+v, want it refused for %s", a, tt.field)
			}
		})
	}
	if got := s.nodes[0].book.Current().Revision; got != 1 {
		t.Errorf("revision: got %d, want 1", got)
	}
}
