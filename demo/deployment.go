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

// zones are the availability zones of the deployment.
var zones = []zone.Name{"howrah", "salkia", "behala"}

// The services of the deployment. directService only serves the measurement of
// the latency overhead.
const (
	roundbook     service.Name = "roundbook"
	khata         service.Name = "khata"
	hisab         service.Name = "hisab"
	directService service.Name = "straight"
)

// targetGroups are the targets of each service, in the numbers of the users'
// deployment.
var targetGroups = []struct {
	service         service.Name
	count           int
	meanServiceTime time.Duration
	// zoneOffset is the index of the first target's zone.
	zoneOffset int
}{
	{roundbook, 10, 8 * time.Millisecond, 0},
	{khata, 6, 12 * time.Millisecond, 0},
	{hisab, 8, 15 * time.Millisecond, 0},
	{directService, 1, time.Microsecond, 1},
}

// workloads are the callers of the users' deployment, with rates in calls per
// second.
var workloads = []load.Workload{
	{Service: roundbook, Method: http.MethodGet, CallsPerSecond: 300},
	{Service: khata, Method: http.MethodPost, CallsPerSecond: 60, Keyed: true, DuplicateFraction: 0.1},
	{Service: hisab, Method: http.MethodGet, CallsPerSecond: 80},
}

const (
	// responseBytes is the length of the targets' response bodies.
	responseBytes = 256
	// listLag is the age of the platform's list of VMs when nodes read it.
	listLag = 2 * time.Second
	// logRetention is the retention period of the platform's log.
	logRetention = time.Hour
	// stopGrace is how long a node in a planned stop continues to accept calls.
	stopGrace = 1500 * time.Millisecond
	// coldPeriod is the duration of a target's cold start.
	coldPeriod = 2 * time.Second
)

// deployment is the platform, the targets and the entry nodes in one process.
type deployment struct {
	platform  *standin.Platform
	server    *http.Server
	url       string
	targets   []*standin.Target
	nodes     []*node.Node
	nodeNames []string
	seed      uint64
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
	for _, group := range targetGroups {
		for i := range group.count {
			t := standin.NewTarget(standin.TargetSettings{
				VM: vm.VM{
					ID: vm.ID(fmt.Sprintf("%s-%d", group.service, i+1)), Role: vm.RoleTarget, Service: group.service,
					Zone: zones[(i+group.zoneOffset)%len(zones)], State: vm.StateLive,
				},
				ServiceTime: group.meanServiceTime, ColdPeriod: coldPeriod, Seed: d.seed + uint64(len(d.targets)) + 1,
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

// addNode starts an entry node and adds it to the platform's list of VMs.
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
	d.nodeNames = append(d.nodeNames, name)
	d.platform.List.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, Address: vm.Address(n.Addresses().Peers), Zone: z, State: vm.StateLive})
	return n, nil
}

// operatorClient returns a client of the first node's operator API.
func (d *deployment) operatorClient() *operator.Client {
	return &operator.Client{URL: "http://" + d.nodes[0].Addresses().Operators}
}

// publish publishes the deployment's profiles and services.
func (d *deployment) publish(ctx context.Context) error {
	noRetries := 0
	doc := config.Document{
		Operator: "demo",
		Profiles: []profile.Document{
			{Name: "round-sheet", Urgency: "urgent", Idempotent: true, Deadline: "1s", QueueWait: "300ms", Hedge: true},
			{Name: "payment", Urgency: "normal", Deadline: "5s", QueueWait: "2s", KeyWindow: "30m", RequireKey: true, Retries: &noRetries},
			{Name: "dues", Urgency: "patient", Idempotent: true, Deadline: "20s", QueueWait: "10s"},
		},
		Services: []service.Document{
			{Name: roundbook, Profile: "round-sheet", PathPrefix: "/roundbook"},
			{Name: khata, Profile: "payment", PathPrefix: "/khata"},
			{Name: hisab, Profile: "dues", PathPrefix: "/hisab"},
			{Name: directService, Profile: "round-sheet", PathPrefix: "/straight"},
		},
	}
	return checkAccepted(d.operatorClient().PublishDocument(ctx, doc))
}

// publishChange publishes a change and returns when its acceptance was received.
func (d *deployment) publishChange(ctx context.Context, doc config.Document) (at time.Time, err error) {
	doc.Operator = "demo"
	err = checkAccepted(d.operatorClient().PublishDocument(ctx, doc))
	return time.Now(), err
}

// checkAccepted returns an error if a publication failed or was refused.
func checkAccepted(r operator.Response, err error) error {
	if err != nil {
		return err
	}
	if r.Result != operator.Accepted {
		return &operator.RefusedError{Response: r}
	}
	return nil
}

// awaitReady waits until all nodes are ready. It returns an error if ctx ends
// first.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, n := range d.nodes {
		for !endpoint(n).IsReady(ctx) {
			if ctx.Err() != nil {
				return eris.Wrap(ctx.Err(), "wait for the nodes to be ready")
			}
			time.Sleep(readinessPollInterval)
		}
	}
	return nil
}

// readinessPollInterval is the interval between readiness requests to a node.
const readinessPollInterval = 50 * time.Millisecond

// endpoint returns the addresses of a node for balancer and callers. Its name is
// the address of the operator API.
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

// targetsInZone returns the targets in an availability zone.
func (d *deployment) targetsInZone(z zone.Name) (out []*standin.Target) {
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
