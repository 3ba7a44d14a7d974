package gateway

import (
	"context"
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
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/reach"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

const (
	// maxReportAge is the age of a load report from which its target is queried again.
	maxReportAge = 25 * time.Millisecond
	// localQueryCount and remoteQueryCount are how many targets of the own zone and of
	// other zones are queried for one choice.
	localQueryCount, remoteQueryCount = 4, 2
	// targetConnectionShare is the part of a target's connections that the whole fleet
	// uses.
	targetConnectionShare = 0.8
	// targetIdleTimeout is the idle timeout of connections to targets. It is shorter
	// than that of the targets, so that the node closes a connection first.
	targetIdleTimeout = 8 * time.Second
)

const (
	// spareSenders is the number of nodes beyond one for each request a second that send
	// to a target with a rate limit.
	spareSenders = 2
	// maxTurnLateness is as long as a waiting call may take to notice that it may be sent.
	maxTurnLateness = 100 * time.Millisecond
)

var loadQuerySettings = target.LoadQuerySettings{MaxReportAge: maxReportAge, SameZoneCount: localQueryCount, OtherZoneCount: remoteQueryCount}

// upstreams holds the services and targets of a node and the connections to them. It
// implements entry.Directory, entry.Pools, dispatch.LoadQuerier and wire.Observer.
type upstreams struct {
	node      *Node
	admission *admission.Pool
	// quota divides what targets with a rate limit take among the nodes of the fleet.
	quota *quota.Limiter

	active atomic.Pointer[activeConfig]

	// roundRobins holds those of the routes with several services, by host and path prefix.
	roundRobins routing.RoundRobins

	mu        sync.Mutex
	connPools map[vm.ID]*wire.Pool
	// openQueries maps a target to a channel that is closed when its open load query ends.
	openQueries map[vm.ID]chan struct{}
}

// activeConfig is a plan with the state of its services; it is immutable.
type activeConfig struct {
	plan     *inventory.Plan
	services map[service.Name]*serviceState
	// since is when the plan became active.
	since time.Time
}

// age returns how long the plan has been active; zero without one.
func (a *activeConfig) age(now time.Time) time.Duration {
	if a.plan == nil {
		return 0
	}
	return now.Sub(a.since)
}

// serviceState is a service with the state needed to forward its calls.
type serviceState struct {
	service          inventory.Service
	dispatch         *dispatch.Service
	coldStartLimiter *coldstart.RateLimiter
}

func newUpstreams(n *Node) *upstreams {
	u := &upstreams{node: n, admission: admission.NewPool(0), quota: &quota.Limiter{SpareSenders: spareSenders, MaxLateness: maxTurnLateness}, connPools: map[vm.ID]*wire.Pool{}, openQueries: map[vm.ID]chan struct{}{}}
	u.active.Store(&activeConfig{})
	return u
}

// Route returns the route of a request. If several services share it, weighted
// round-robin picks one.
func (u *upstreams) Route(host, path string) (entry.Route, bool) {
	return u.RoutePart(host, path, "")
}

// RoutePart returns the route of a request with the given service, if the route has it, and
// otherwise as Route does.
func (u *upstreams) RoutePart(host, path string, part service.Name) (entry.Route, bool) {
	cfg := u.active.Load()
	if cfg.plan == nil {
		return entry.Route{}, false
	}
	route := cfg.plan.FindRoute(host, path)
	if route == nil {
		return entry.Route{}, false
	}
	if !route.HasService(part) {
		part = u.pickService(host, route)
	}
	s := cfg.services[part]
	if s == nil {
		return entry.Route{}, false
	}
	return entry.Route{Service: &s.service.Service, Profile: &route.Profile, Dispatch: s.dispatch}, true
}

// pickService returns the service of a call, by weighted round-robin over the route's
// services.
func (u *upstreams) pickService(host string, route *inventory.Route) service.Name {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	weight := func(i int) float64 { return route.Services[i].Weight }
	return route.Services[u.roundRobins.Next(host+route.PathPrefix, len(route.Services), weight)].Service
}

// apply makes a snapshot active; without a plan it does nothing. The limits of the fleet
// are divided among the given nodes; fleetSize is the number of all, known or not.
// With needsRecheck, the lanes of targets may change by time alone.
func (u *upstreams) apply(snap inventory.Snapshot, nodes []vm.VM, fleetSize int, now time.Time) (needsRecheck bool) {
	if snap.Plan == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.active.Load()
	cfg := old
	if old.plan != snap.Plan {
		cfg = u.buildConfig(old, snap.Plan)
		cfg.since = now
		u.roundRobins.Reset()
	}
	byService := map[service.Name][]vm.VM{}
	for _, t := range snap.Targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	addresses := map[vm.ID]vm.Address{}
	ids := make([]vm.ID, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	slices.Sort(ids)
	u.node.sender.SetNodes(nodes, ids, u.node.self.ID, now)
	u.quota.SetFleet(u.node.self.ID, ids, fleetSize)
	for name, s := range cfg.services {
		s.dispatch.ExtraAttemptBudget.SetSettings(u.node.reloadable.Load().ExtraAttempts.share(fleetSize))
		s.coldStartLimiter.Configure(s.service.ColdCallsPerSecond, u.node.self.ID, ids, fleetSize)
		s.dispatch.Table.SetService(s.service.Service)
		s.dispatch.Table.SetList(now, byService[name], snap.Withdrawn.Contains)
		lanes, recheck := u.node.rollouts.Apply(name, snap.Orders[name], byService[name], rollout.Fleet{CallTimeout: snap.Plan.LongestTimeout(name), NodeCount: fleetSize}, now, snap.OperatorReadAt)
		s.dispatch.Table.SetLanes(lanes)
		needsRecheck = needsRecheck || recheck
		s.dispatch.Table.SetSubsetSize(target.ZoneSubsetSize(byService[name], nodes, u.node.settings.Zone))
		for _, t := range byService[name] {
			addresses[t.ID] = t.Address
		}
	}
	for id, p := range u.connPools {
		if addresses[id] != p.Ref.Address {
			p.Close()
			delete(u.connPools, id)
		}
	}
	u.active.Store(cfg)
	return needsRecheck
}

// buildConfig returns the configuration of a plan. Services of the old one keep their
// state; the gates of those that the plan lacks are removed from the admission pool.
func (u *upstreams) buildConfig(old *activeConfig, plan *inventory.Plan) *activeConfig {
	cfg := &activeConfig{plan: plan, services: make(map[service.Name]*serviceState, len(plan.Services))}
	for name, s := range plan.Services {
		cfg.services[name] = u.serviceStateFor(old.services[name], s)
	}
	for name, s := range old.services {
		if cfg.services[name] == nil {
			u.admission.RemoveGate(s.dispatch.Gate)
		}
	}
	return cfg
}

// serviceStateFor returns the state of a service, taken over from old unless that is
// nil.
func (u *upstreams) serviceStateFor(old *serviceState, s inventory.Service) *serviceState {
	if old != nil {
		return &serviceState{service: s, dispatch: old.dispatch, coldStartLimiter: old.coldStartLimiter}
	}
	coldStartLimiter := &coldstart.RateLimiter{}
	n := u.node
	rollouts := n.rollouts.Service(s.Name)
	return &serviceState{service: s, coldStartLimiter: coldStartLimiter, dispatch: &dispatch.Service{
		Table: target.NewTable(s.Service, target.Settings{
			Zone: n.settings.Zone, ColdStartLeases: coldStartLimiter, OnChange: n.logTargetChange, OnLimitChange: n.handleLimitChange, OnUnknownHeader: n.logUnknownHeader, LoadQuery: loadQuerySettings, ListIsAuthoritative: true, Checks: n.invariants, Quota: u.quota, OnFinish: rollouts.RecordAttempt,
		}),
		LoadQuerier:        u,
		Canary:             rollouts,
		Gate:               u.admission.AddOpenGate(),
		Backlog:            admission.Backlog{Limit: s.MaxQueueLength},
		ExtraAttemptBudget: &retry.Budget{},
		Latencies:          &retry.LatencyWindow{},
		Path:               reach.ServicePath{Watch: &n.paths, Service: s.Name},
	}}
}

// Pool returns the connection pool of a target, which it creates if there is none, or nil
// if the target's service was removed.
func (u *upstreams) Pool(ref target.Ref) *wire.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.connPools[ref.ID]; p != nil && p.Ref.Address == ref.Address {
		return p
	}
	s := u.active.Load().services[ref.Service]
	if s == nil {
		return nil
	}
	protocol := u.node.entrySettings.Protocol
	protocol.LoadPath = s.service.HealthPath
	limit := int(targetConnectionShare * float64(s.service.MaxConnections) / float64(u.quota.FleetSize()))
	p := wire.NewPool(ref, wire.Settings{Protocol: protocol, IdleTimeout: targetIdleTimeout}, max(limit, minTargetConnections), 0, nil, u)
	u.connPools[ref.ID] = p
	return p
}

// minTargetConnections is the minimum connection limit of a node for one target: one
// connection for calls and one for load queries.
const minTargetConnections = 2

// ConnVerified passes the load report of a new connection to the table.
func (u *upstreams) ConnVerified(ref target.Ref, report target.Report) {
	if s := u.active.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.RecordReport(ref.ID, time.Now(), report)
	}
}

// LastConnLost is called when a target has closed its last connection. It does nothing,
// since the next choice queries the target anyway.
func (u *upstreams) LastConnLost(target.Ref) {}

// handleMisdirected logs that another process uses a target's address, and takes the
// target out of use.
func (u *upstreams) handleMisdirected(ref target.Ref) {
	event.TargetMisdirected.Log(u.node.logger, zap.String("target", string(ref.ID)), zap.String("address", string(ref.Address)))
	if s := u.active.Load().services[ref.Service]; s != nil {
		s.dispatch.Table.MarkAddressReused(ref.ID)
	}
}

// hasEnded reports whether a target's process has ended, other than by a planned stop, after
// the response to a call was lost there.
func (u *upstreams) hasEnded(ctx context.Context, ref target.Ref) bool {
	s, pool := u.active.Load().services[ref.Service], u.Pool(ref)
	if s == nil || pool == nil || s.dispatch.Table.IsLeaving(ref.ID) {
		return false
	}
	hasEnded := pool.HasEnded(ctx, target.Instance(ref.ID))
	if hasEnded {
		event.TargetEnded.Log(u.node.logger, zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID)))
	}
	return hasEnded
}

// closeIdleConns closes the connections to targets that have reached targetIdleTimeout.
func (u *upstreams) closeIdleConns(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.connPools {
		p.CloseExpiredIdle(now)
	}
}

// limitedTargetCount returns the number of targets of all services with a rate limit.
func (u *upstreams) limitedTargetCount(now time.Time) (count int) {
	for _, s := range u.active.Load().services {
		count += s.dispatch.Table.Counts(now).Limited
	}
	return count
}

// close closes the connection pools of all targets.
func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.connPools {
		p.Close()
	}
}
