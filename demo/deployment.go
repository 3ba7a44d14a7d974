package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/load"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// The availability zones of the deployment.
var zones = []zone.Name{"howrah", "salkia", "behala"}

// The services of the deployment and one more that only measures added time.
const (
	roundbook service.Name = "roundbook"
	khata     service.Name = "khata"
	hisab     service.Name = "hisab"
	straight  service.Name = "straight"
)

// Sizes of the deployment, as the users wrote them.
var targetCounts = []struct {
	service service.Name
	count   int
	mean    time.Duration
	// shift is the zone of the first target.
	shift int
}{
	{roundbook, 10, 8 * time.Millisecond, 0},
	{khata, 6, 12 * time.Millisecond, 0},
	{hisab, 8, 15 * time.Millisecond, 0},
	{straight, 1, time.Microsecond, 1},
}

// kinds are the users' callers, with their rates in calls per second.
var kinds = []load.Workload{
	{Service: roundbook, Method: http.MethodGet, CallsPerSecond: 300},
	{Service: khata, Method: http.MethodPost, CallsPerSecond: 60, Keyed: true, DuplicateFraction: 0.1},
	{Service: hisab, Method: http.MethodGet, CallsPerSecond: 80},
}

const (
	// answerBytes is the length of the targets' answers.
	answerBytes = 256
	// listLag is how old the platform's list is that nodes see.
	listLag = 2 * time.Second
	// logRetention is how long the platform's log keeps records.
	logRetention = time.Hour
	// stopGrace is how long a leaving node goes on taking work.
	stopGrace = 1500 * time.Millisecond
	// coldPeriod is how long a target's cold start lasts.
	coldPeriod = 2 * time.Second
)

// deployment is the whole system in one process.
type deployment struct {
	platform *standin.Platform
	server   *http.Server
	url      string
	targets  []*standin.Target
	nodes    []*node.Node
	names    []string
	seed     uint64
}

func (d *deployment) start(nodes int) (err error) {
	defer func() { err = eris.Wrap(err, "start the deployment") }()
	d.platform = &standin.Platform{Log: &standin.Log{Retention: logRetention}, List: &standin.List{Lag: listLag}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.url = "http://" + l.Addr().String()
	d.server = &http.Server{Handler: d.platform.Handler()}
	go d.server.Serve(l)
	if err := d.startTargets(); err != nil {
		return err
	}
	for range nodes {
		if _, err := d.addNode(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startTargets() error {
	for _, kind := range targetCounts {
		for i := range kind.count {
			t := standin.NewTarget(standin.TargetSettings{
				VM: vm.VM{
					ID: vm.ID(fmt.Sprintf("%s-%d", kind.service, i+1)), Role: vm.RoleTarget, Service: kind.service,
					Zone: zones[(i+kind.shift)%len(zones)], State: vm.StateLive,
				},
				ServiceTime: kind.mean, ColdPeriod: coldPeriod, Seed: d.seed + uint64(len(d.targets)) + 1,
			})
			if err := t.Listen("127.0.0.1:0"); err != nil {
				return err
			}
			d.targets = append(d.targets, t)
			d.platform.List.Put(t.VM())
		}
	}
	return nil
}

// addNode starts one more entry node and puts it on the list.
func (d *deployment) addNode() (n *node.Node, err error) {
	name := fmt.Sprintf("entry-%d", len(d.nodes)+1)
	z := zones[len(d.nodes)%len(zones)]
	doc := settings.Defaults()
	doc.Node = settings.NodeDocument{VM: name, Zone: string(z)}
	doc.Listen = settings.ListenDocument{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	doc.Platform = settings.PlatformDocument{Log: d.url, VMs: d.url, LogRetention: logRetention.String(), ListEvery: "500ms"}
	doc.Stop.Grace = stopGrace.String()
	s, err := settings.Check(doc)
	if err != nil {
		return nil, err
	}
	platform := node.Platform{Log: &stream.Client{URL: d.url}, VMLister: &vm.Client{URL: d.url}}
	n = node.New(s, platform, zap.NewNop(), metrics.NewDiscardRegistry())
	if err := n.Start(); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	d.names = append(d.names, name)
	d.platform.List.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: z, State: vm.StateLive})
	return n, nil
}

// operators returns a client of the first node's operator API.
func (d *deployment) operators() *operator.Client {
	return &operator.Client{URL: "http://" + d.nodes[0].Addresses().Operators}
}

// publish hands in the deployment's profiles and services.
func (d *deployment) publish(ctx context.Context) error {
	none := 0
	doc := config.Document{
		Operator: "demo",
		Profiles: []profile.Document{
			{Name: "round-sheet", Urgency: "urgent", Idempotent: true, Deadline: "1s", QueueWait: "300ms", Hedge: true},
			{Name: "payment", Urgency: "normal", Deadline: "5s", QueueWait: "2s", KeyWindow: "30m", RequireKey: true, Retries: &none},
			{Name: "dues", Urgency: "patient", Idempotent: true, Deadline: "20s", QueueWait: "10s"},
		},
		Services: []service.Document{
			{Name: roundbook, Profile: "round-sheet", PathPrefix: "/roundbook"},
			{Name: khata, Profile: "payment", PathPrefix: "/khata"},
			{Name: hisab, Profile: "dues", PathPrefix: "/hisab"},
			{Name: straight, Profile: "round-sheet", PathPrefix: "/straight"},
		},
	}
	return accepted(d.operators().PublishDocument(ctx, doc))
}

// change publishes one change and returns when it was accepted.
func (d *deployment) change(ctx context.Context, doc config.Document) (at time.Time, err error) {
	doc.Operator = "demo"
	err = accepted(d.operators().PublishDocument(ctx, doc))
	return time.Now(), err
}

func accepted(a operator.Response, err error) error {
	if err != nil {
		return err
	}
	if a.Result != operator.Accepted {
		return &operator.RefusedError{Response: a}
	}
	return nil
}

// awaitReady waits until all nodes ask for work.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, n := range d.nodes {
		for !endpoint(n).IsReady(ctx) {
			if ctx.Err() != nil {
				return eris.Wrap(ctx.Err(), "wait for the nodes to be ready")
			}
			time.Sleep(readyTick)
		}
	}
	return nil
}

// readyTick is how often a node's readiness is asked for.
const readyTick = 50 * time.Millisecond

// endpoint is a node as balancer and callers see it, named by its operators'
// address.
func endpoint(n *node.Node) load.Endpoint {
	a := n.Addresses()
	return load.Endpoint{Name: a.Operators, CallerAddress: a.Callers, HealthAddress: a.Health}
}

func endpoints(nodes []*node.Node) (out []load.Endpoint) {
	for _, n := range nodes {
		out = append(out, endpoint(n))
	}
	return out
}

// inZone returns the targets of an availability zone.
func (d *deployment) inZone(z zone.Name) (out []*standin.Target) {
	for _, t := range d.targets {
		if t.VM().Zone == z {
			out = append(out, t)
		}
	}
	return out
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.Kill()
	}
	for _, t := range d.targets {
		t.Close()
	}
	d.server.Close()
}
