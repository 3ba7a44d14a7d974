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
	// maxReportAge is how old a report may be before its target is asked again.
	maxReportAge = 25 * time.Millisecond
	// localQueryCount and remoteQueryCount are how many targets are asked for one choice.
	localQueryCount, remoteQueryCount = 4, 2
	// targetConnectionShare is the part of a target's connections that all nodes
	// together use.
	targetConnectionShare = 0.8
	// targetIdleTimeout closes unused connections to targets, before these do.
	targetIdleTimeout = 8 * time.Second
)

var loadQuerySettings = target.Sight{Lifetime: maxReportAge, Near: localQueryCount, Far: remoteQueryCount}

// upstreams holds the services and targets of a node; it is the entry handler's
// Directory and Pools, and owns the connections.
type upstreams struct {
	node *Node
	admission *admission.Pool

	active atomic.Pointer[activeConfig]

	mu    sync.Mutex
	connPools map[vm.ID]*wire.Pool
	roundRobins map[string]*weightedRoundRobin
	// openQueries holds the open openQueries to targets.
	openQueries map[vm.ID]chan struct{}
}

// activeConfig is what a plan means to this node; it is immutable.
type activeConfig struct {
	plan     *Plan
	services map[service.Name]*serviceState
}

// serviceState is a service with all that is held to carry its calls.
type serviceState struct {
	service  Service
	dispatch *dispatch.Service
	coldRate     *coldstart.Rate
}

func newUpstreams(n *Node) *upstreams {
	f := &upstreams{node: n, admission: admission.NewPool(0), connPools: map[vm.ID]*wire.Pool{}, roundRobins: map[string]*weightedRoundRobin{}, openQueries: map[vm.ID]chan struct{}{}}
	f.active.Store(&activeConfig{})
	return f
}

// Route finds the service of a request; where several share a route it is the
// one whose turn it is.
func (f *upstreams) Route(host, path string) (entry.Route, bool) {
	d := f.active.Load()
	if d.plan == nil {
		return entry.Route{}, false
	}
	route := d.plan.Find(host, path)
	if route == nil {
		return entry.Route{}, false
	}
	s := d.services[f.pickService(host, route)]
	if s == nil {
		return entry.Route{}, false
	}
	return entry.Route{Service: &s.service.Service, Profile: &route.Profile, Dispatch: s.dispatch}, true
}

// pickService picks the service of a call by the route's weights.
func (f *upstreams) pickService(host string, route *Route) service.Name {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := host + route.Prefix
	t := f.roundRobins[key]
	if t == nil {
		t = &weightedRoundRobin{credits: make([]float64, len(route.Parts))}
		// A random start keeps the nodes' turns apart.
		for i := range t.credits {
			t.credits[i] = rand.Float64() * route.Parts[i].Weight
		}
		f.roundRobins[key] = t
	}
	return route.Parts[t.next(route.Parts)].Service
}

// apply takes what is in force.
func (f *upstreams) apply(v snapshot, nodes []vm.VM, now time.Time) {
	if v.plan == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.active.Load()
	d := old
	if old.plan != v.plan {
		d = f.buildConfig(old, v.plan)
		f.roundRobins = map[string]*weightedRoundRobin{}
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
		s.dispatch.Arrivals.Change(f.node.reloadable.Load().Arrivals.share(sharingNodeCount(nodes)))
		s.coldRate.Share(s.service.ColdPerSecond, f.node.self.ID, ids)
		s.dispatch.Table.SetService(s.service.Service)
		s.dispatch.Table.SetList(now, byService[name], v.withdrawn.contains)
		for _, t := range byService[name] {
			kept[t.ID] = t.Address
		}
	}
	for id, p := range f.connPools {
		if kept[id] != p.Ref.Address {
			p.Close()
			delete(f.connPools, id)
		}
	}
	f.active.Store(d)
}

// buildConfig makes the directory of a plan; services that stay keep what was learnt.
func (f *upstreams) buildConfig(old *activeConfig, plan *Plan) *activeConfig {
	d := &activeConfig{plan: plan, services: make(map[service.Name]*serviceState, len(plan.Services))}
	for name, s := range plan.Services {
		d.services[name] = f.serviceStateFor(old.services[name], s)
	}
	for name, s := range old.services {
		if d.services[name] == nil {
			f.admission.Remove(s.dispatch.Gate)
		}
	}
	return d
}

// serviceStateFor returns what carries a service's calls, from before if there is any.
func (f *upstreams) serviceStateFor(old *serviceState, s Service) *serviceState {
	if old != nil {
		return &serviceState{service: s, dispatch: old.dispatch, coldRate: old.coldRate}
	}
	cold := &coldstart.Rate{}
	n := f.node
	return &serviceState{service: s, coldRate: cold, dispatch: &dispatch.Service{
		Table: target.NewTable(s.Service, target.Settings{
			Zone: n.settings.Zone, Rights: cold, Noted: n.logTargetNote, Sight: loadQuerySettings, TrustList: true, Checks: n.invariants,
		}),
		Scout:     f,
		Gate:      f.admission.Gate(s.QueueLength),
		Arrivals:  &retry.Budget{},
		Latencies: &retry.Latencies{},
	}}
}

// Pool returns the connections to a target, or nil if its service is gone.
func (f *upstreams) Pool(ref target.Ref) *wire.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.connPools[ref.ID]; p != nil && p.Ref.Address == ref.Address {
		return p
	}
	s := f.active.Load().services[ref.Service]
	if s == nil {
		return nil
	}
	protocol := f.node.entrySettings.Protocol
	protocol.LoadPath = s.service.HealthPath
	limit := int(targetConnectionShare * float64(s.service.Connections) / float64(sharingNodeCount(f.node.state.fleetNodes(time.Now()))))
	p := wire.NewPool(ref, wire.Settings{Protocol: protocol, IdleTimeout: targetIdleTimeout}, max(limit, minTargetConnections), 0, nil, f)
	f.connPools[ref.ID] = p
	return p
}

// minTargetConnections is what a node may hold to a target at least: one for work and
// one for a question beside it.
const minTargetConnections = 2

// Verified takes the report of a new connection.
func (f *upstreams) Verified(ref target.Ref, report target.Report) {
	if s := f.active.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.Probed(ref.ID, time.Now(), report)
	}
}

// Lost is told when the last connection to a target ended from afar; the next
// choice asks anyway.
func (f *upstreams) Lost(target.Ref) {}

// handleMisdirected notes that another process has taken a target's address.
func (f *upstreams) handleMisdirected(ref target.Ref) {
	event.TargetMisdirected.Log(f.node.logger, zap.String("target", string(ref.ID)), zap.String("address", string(ref.Address)))
	if s := f.active.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.Drop(ref.ID)
	}
}

// closeIdleConns closes connections that are idle for too long.
func (f *upstreams) closeIdleConns(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.connPools {
		p.Sweep(now)
	}
}

// close closes all connections to targets.
func (f *upstreams) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.connPools {
		p.Close()
	}
}
