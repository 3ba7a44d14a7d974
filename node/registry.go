package node

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

// connectionShare is the fraction of a target's connection limit that all nodes
// together use. The rest is headroom while nodes join and leave.
const connectionShare = 0.9

// serviceRegistry holds the services of a node, their target tables and the
// connection pools to the targets. It implements entry.Directory and entry.Pools.
type serviceRegistry struct {
	node          *Node
	admissionPool *admission.Pool

	active atomic.Pointer[activeConfig]

	mu     sync.Mutex
	vmList vm.List
	// vmListReadAt is when vmList was last read.
	vmListReadAt time.Time
	connPools    map[vm.ID]*wire.Pool
	// temporaryWithdrawals is keyed by withdrawal ID.
	temporaryWithdrawals map[string]temporaryWithdrawal
}

// activeConfig is the active configuration with the dispatch state of its services.
// The struct and its maps are immutable.
type activeConfig struct {
	config   *config.Configuration
	services map[service.Name]*dispatch.Service
}

func newServiceRegistry(n *Node) *serviceRegistry {
	r := &serviceRegistry{node: n, admissionPool: newAdmissionPool(n.settings), connPools: map[vm.ID]*wire.Pool{}, temporaryWithdrawals: map[string]temporaryWithdrawal{}}
	r.active.Store(&activeConfig{config: &config.Configuration{}})
	return r
}

// Route returns the route of a request, and false if no service matches it.
func (r *serviceRegistry) Route(host, path string) (entry.Route, bool) {
	active := r.active.Load()
	s, p, ok := active.config.Resolve(host, path)
	if !ok {
		return entry.Route{}, false
	}
	svc := active.services[s.Name]
	return entry.Route{Service: s, Profile: p, Dispatch: svc}, svc != nil
}

// applyConfig activates a configuration. Services that stay keep their state.
func (r *serviceRegistry) applyConfig(c *config.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.active.Load()
	services := make(map[service.Name]*dispatch.Service, len(c.Services))
	for name, s := range c.Services {
		svc := previous.services[name]
		if svc == nil {
			svc = r.newService(s)
		}
		svc.Table.SetService(s)
		svc.Gate.SetQueueLimit(s.MaxQueueLength)
		services[name] = svc
	}
	for name, svc := range previous.services {
		if services[name] == nil {
			r.admissionPool.RemoveGate(svc.Gate)
		}
	}
	r.active.Store(&activeConfig{config: c, services: services})
	r.refreshTablesLocked()
}

func (r *serviceRegistry) newService(s service.Service) *dispatch.Service {
	n := r.node
	return &dispatch.Service{
		Table: target.NewTable(s, target.Settings{
			Zone: n.settings.Zone, ColdStartLeases: n.leaseManager, Checks: n.invariantChecks, OnChange: n.handleTargetChange,
		}),
		Gate:        r.admissionPool.AddGate(s.MaxQueueLength),
		RetryBudget: &retry.Budget{},
		HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: retry.HedgeTokensPerCall}},
		Latencies:   &retry.LatencyWindow{},
	}
}

// applyVMList replaces the platform's VM list.
func (r *serviceRegistry) applyVMList(list vm.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vmList, r.vmListReadAt = list, time.Now()
	r.refreshTablesLocked()
}

// refreshTablesLocked passes the VM list and the withdrawals to the target tables
// and closes the pools of removed targets. r.mu must be held.
func (r *serviceRegistry) refreshTablesLocked() {
	active := r.active.Load()
	byService := map[service.Name][]vm.VM{}
	for _, v := range r.vmList.WithRole(vm.RoleTarget) {
		byService[v.Service] = append(byService[v.Service], v)
	}
	now := time.Now()
	inTable := map[vm.ID]bool{}
	for name, svc := range active.services {
		svc.Table.SetList(now, byService[name], r.withdrawnFuncLocked(active.config))
		for _, v := range svc.Table.Views(now) {
			inTable[v.Ref.ID] = true
		}
	}
	maps.DeleteFunc(r.connPools, func(id vm.ID, p *wire.Pool) bool {
		if !inTable[id] {
			p.Close()
		}
		return !inTable[id]
	})
}

// Pool returns the connection pool of a target, or nil if its service is not
// configured. A changed address replaces the pool.
func (r *serviceRegistry) Pool(ref target.Ref) *wire.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.connPools[ref.ID]
	if p != nil && p.Ref.Address == ref.Address {
		return p
	}
	s, ok := r.active.Load().config.Services[ref.Service]
	if !ok {
		return nil
	}
	if p != nil {
		p.Close()
	}
	n := r.node
	p = wire.NewPool(ref, wire.Settings{Protocol: n.settings.TargetProtocol}, r.connectionLimit(s), s.ProbeCost, n.probeBudget, connObserver{n})
	r.connPools[ref.ID] = p
	return p
}

// connectionLimit returns how many connections this node may hold to one target of
// s.
func (r *serviceRegistry) connectionLimit(s service.Service) int {
	return int(connectionShare * float64(s.MaxConnections) / float64(r.node.members.FleetSize()))
}

// maintainConnections applies the current connection limits and closes
// connections that have been idle for too long.
func (r *serviceRegistry) maintainConnections(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.active.Load().config.Services
	for _, p := range r.connPools {
		if s, ok := services[p.Ref.Service]; ok {
			p.SetConnLimit(r.connectionLimit(s))
		}
		p.CloseExpiredIdle(now)
	}
}

// byName returns the dispatch state of each service. The map must not be changed.
func (r *serviceRegistry) byName() map[service.Name]*dispatch.Service {
	return r.active.Load().services
}

// connObserver updates the target tables from connection events. It implements
// wire.Observer.
type connObserver struct{ node *Node }

// ConnVerified applies the load report that came with a new connection.
func (o connObserver) ConnVerified(ref target.Ref, report target.Report) {
	if svc := o.node.services.byName()[ref.Service]; svc != nil {
		svc.Table.RecordReport(ref.ID, time.Now(), report)
	}
}

// LastConnLost marks a live target as unverified after the remote side closed the
// last connection to it, because its process may have been replaced.
func (o connObserver) LastConnLost(ref target.Ref) {
	if svc := o.node.services.byName()[ref.Service]; svc != nil {
		svc.Table.MarkUnverified(ref.ID, time.Now())
	}
}

// claimAdapter adapts claim.Claimer to entry.Claims.
type claimAdapter struct{ claimer *claim.Claimer }

// NewClaim claims the idempotency key of a call, or returns the failure of the call.
func (c claimAdapter) NewClaim(svc service.Name, p *profile.Profile, key string, fingerprint []byte) (dispatch.Claim, outcome.Failure) {
	claimed, failure := c.claimer.NewClaim(svc, key, p.KeyWindow, fingerprint)
	if failure.Reason != "" {
		return nil, failure
	}
	return claimed, outcome.Failure{}
}

// handleTargetChange logs a change that a target table reports, except one between
// unverified and live. A state change is also queued for peers. It runs with the
// table's lock held and must not block.
func (n *Node) handleTargetChange(ref target.Ref, change target.Change) {
	fields := []zap.Field{zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID))}
	switch change {
	case target.StateChanged:
		event.TargetState.Log(n.logger, fields...)
		n.observations.markChanged(ref)
	case target.InstanceChanged:
		event.TargetInstance.Log(n.logger, fields...)
	case target.TargetEjected:
		event.TargetEjected.Log(n.logger, fields...)
	case target.TargetReinstated:
		event.TargetReturned.Log(n.logger, fields...)
	case target.EjectionSkipped:
		event.MostTargetsFailing.Log(n.logger, fields...)
	case target.ListIncomplete:
		event.ListIncomplete.Log(n.logger, fields...)
	case target.TargetLeaving:
		event.TargetLeaving.Log(n.logger, fields...)
	case target.TargetBackedOff:
		event.TargetBackedOff.Log(n.logger, fields...)
	}
}
