package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

const (
	// reportLifetime is how old a report may be before its target is asked again.
	reportLifetime = 25 * time.Millisecond
	// askNear and askFar are how many targets are asked for one choice.
	askNear, askFar = 4, 2
	// connectionShare is the part of a target's connections that all nodes
	// together use.
	connectionShare = 0.8
	// idleTimeout closes unused connections to targets, before these do.
	idleTimeout = 8 * time.Second
)

var sight = target.LoadQuerySettings{MaxReportAge: reportLifetime, SameZoneCount: askNear, OtherZoneCount: askFar}

// fleet holds the services and targets of a node; it is the entry handler's
// Directory and Pools, and owns the connections.
type fleet struct {
	node *Node
	pool *admission.Pool

	current atomic.Pointer[directory]

	mu    sync.Mutex
	pools map[vm.ID]*wire.Pool
	turns map[string]*turns
	// questions holds the open questions to targets.
	questions map[vm.ID]chan struct{}
}

// directory is what a plan means to this node; it is immutable.
type directory struct {
	plan     *Plan
	services map[service.Name]*served
}

// served is a service with all that is held to carry its calls.
type served struct {
	service  Service
	dispatch *dispatch.Service
	cold     *coldstart.RateLimiter
}

func newFleet(n *Node) *fleet {
	f := &fleet{node: n, pool: admission.NewPool(0), pools: map[vm.ID]*wire.Pool{}, turns: map[string]*turns{}, questions: map[vm.ID]chan struct{}{}}
	f.current.Store(&directory{})
	return f
}

// Route finds the service of a request; where several share a route it is the
// one whose turn it is.
func (f *fleet) Route(host, path string) (entry.Route, bool) {
	d := f.current.Load()
	if d.plan == nil {
		return entry.Route{}, false
	}
	route := d.plan.FindRoute(host, path)
	if route == nil {
		return entry.Route{}, false
	}
	s := d.services[f.part(host, route)]
	if s == nil {
		return entry.Route{}, false
	}
	return entry.Route{Service: &s.service.Service, Profile: &route.Profile, Dispatch: s.dispatch}, true
}

// part picks the service of a call by the route's weights.
func (f *fleet) part(host string, route *Route) service.Name {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := host + route.PathPrefix
	t := f.turns[key]
	if t == nil {
		t = &turns{credit: make([]float64, len(route.Services))}
		// A random start keeps the nodes' turns apart.
		for i := range t.credit {
			t.credit[i] = rand.Float64() * route.Services[i].Weight
		}
		f.turns[key] = t
	}
	return route.Services[t.next(route.Services)].Service
}

// set takes what is in force.
func (f *fleet) set(v view, nodes []vm.VM, now time.Time) {
	if v.plan == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	d := old
	if old.plan != v.plan {
		d = f.direct(old, v.plan)
		f.turns = map[string]*turns{}
	}
	byService := map[service.Name][]vm.VM{}
	for _, t := range v.targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	kept := map[vm.ID]vm.Address{}
	ids := make([]vm.ID, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	slices.Sort(ids)
	for name, s := range d.services {
		s.dispatch.ExtraAttemptBudget.SetSettings(f.node.bounds.Load().ExtraAttempts.share(sharedBy(nodes)))
		s.cold.Configure(s.service.ColdCallsPerSecond, f.node.self.ID, ids)
		s.dispatch.Table.SetService(s.service.Service)
		s.dispatch.Table.SetList(now, byService[name], v.withdrawn.has)
		for _, t := range byService[name] {
			kept[t.ID] = t.Address
		}
	}
	for id, p := range f.pools {
		if kept[id] != p.Ref.Address {
			p.Close()
			delete(f.pools, id)
		}
	}
	f.current.Store(d)
}

// direct makes the directory of a plan; services that stay keep what was learnt.
func (f *fleet) direct(old *directory, plan *Plan) *directory {
	d := &directory{plan: plan, services: make(map[service.Name]*served, len(plan.Services))}
	for name, s := range plan.Services {
		d.services[name] = f.serve(old.services[name], s)
	}
	for name, s := range old.services {
		if d.services[name] == nil {
			f.pool.RemoveGate(s.dispatch.Gate)
		}
	}
	return d
}

// serve returns what carries a service's calls, from before if there is any.
func (f *fleet) serve(old *served, s Service) *served {
	if old != nil {
		return &served{service: s, dispatch: old.dispatch, cold: old.cold}
	}
	cold := &coldstart.RateLimiter{}
	n := f.node
	return &served{service: s, cold: cold, dispatch: &dispatch.Service{
		Table: target.NewTable(s.Service, target.Settings{
			Zone: n.settings.Zone, ColdStartLeases: cold, OnChange: n.noted, LoadQuery: sight, ListIsAuthoritative: true, Checks: n.checks,
		}),
		LoadQuerier:        f,
		Gate:               f.pool.AddGate(s.MaxQueueLength),
		ExtraAttemptBudget: &retry.Budget{},
		Latencies:          &retry.LatencyWindow{},
	}}
}

// Pool returns the connections to a target, or nil if its service is gone.
func (f *fleet) Pool(ref target.Ref) *wire.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[ref.ID]; p != nil && p.Ref.Address == ref.Address {
		return p
	}
	s := f.current.Load().services[ref.Service]
	if s == nil {
		return nil
	}
	protocol := f.node.entry.Protocol
	protocol.LoadPath = s.service.HealthPath
	limit := int(connectionShare * float64(s.service.MaxConnections) / float64(sharedBy(f.node.knowledge.fleet(time.Now()))))
	p := wire.NewPool(ref, wire.Settings{Protocol: protocol, IdleTimeout: idleTimeout}, max(limit, minConnections), 0, nil, f)
	f.pools[ref.ID] = p
	return p
}

// minConnections is what a node may hold to a target at least: one for work and
// one for a question beside it.
const minConnections = 2

// Verified takes the report of a new connection.
func (f *fleet) ConnVerified(ref target.Ref, report target.Report) {
	if s := f.current.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.RecordReport(ref.ID, time.Now(), report)
	}
}

// Lost is told when the last connection to a target ended from afar; the next
// choice asks anyway.
func (f *fleet) LastConnLost(target.Ref) {}

// misdirected notes that another process has taken a target's address.
func (f *fleet) misdirected(ref target.Ref) {
	event.TargetMisdirected.Log(f.node.logger, zap.String("target", string(ref.ID)), zap.String("address", string(ref.Address)))
	if s := f.current.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.MarkAddressReused(ref.ID)
	}
}

// sweep closes connections that are idle for too long.
func (f *fleet) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.CloseExpiredIdle(now)
	}
}

// close closes all connections to targets.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Close()
	}
}
