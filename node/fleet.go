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

// connectionShare is the part of a target's connections that all nodes together
// use, as a fraction; the rest is room while nodes come and go.
const connectionShare = 0.9

// fleet holds the services and targets of a node. It is the entry handler's
// Directory and Pools, and owns the connections.
type fleet struct {
	node *Node
	pool *admission.Pool

	current atomic.Pointer[directory]

	mu   sync.Mutex
	list vm.List
	// listAt is when the list was last read.
	listAt time.Time
	pools  map[vm.ID]*wire.Pool
	// temporary holds the temporary withdrawals by their IDs.
	temporary map[string]withdrawal
}

// directory is what a configuration means to this node; it is immutable.
type directory struct {
	config   *config.Configuration
	services map[service.Name]*dispatch.Service
}

func newFleet(n *Node) *fleet {
	f := &fleet{node: n, pool: newPool(n.settings), pools: map[vm.ID]*wire.Pool{}, temporary: map[string]withdrawal{}}
	f.current.Store(&directory{config: &config.Configuration{}})
	return f
}

// Route finds the service of a request.
func (f *fleet) Route(host, path string) (entry.Route, bool) {
	d := f.current.Load()
	s, p, ok := d.config.Resolve(host, path)
	if !ok {
		return entry.Route{}, false
	}
	svc := d.services[s.Name]
	return entry.Route{Service: s, Profile: p, Dispatch: svc}, svc != nil
}

// setConfig takes a new configuration.
func (f *fleet) setConfig(c *config.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	services := make(map[service.Name]*dispatch.Service, len(c.Services))
	for name, s := range c.Services {
		svc := old.services[name]
		if svc == nil {
			svc = f.newService(s)
		}
		svc.Table.SetService(s)
		svc.Gate.SetQueueLimit(s.MaxQueueLength)
		services[name] = svc
	}
	for name, svc := range old.services {
		if services[name] == nil {
			f.pool.RemoveGate(svc.Gate)
		}
	}
	f.current.Store(&directory{config: c, services: services})
	f.refresh()
}

func (f *fleet) newService(s service.Service) *dispatch.Service {
	n := f.node
	return &dispatch.Service{
		Table: target.NewTable(s, target.Settings{
			Zone: n.settings.Zone, ColdStartLeases: n.rights, Checks: n.checks, OnChange: n.noted,
		}),
		Gate:        f.pool.AddGate(s.MaxQueueLength),
		RetryBudget: &retry.Budget{},
		HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: retry.HedgeTokensPerCall}},
		Latencies:   &retry.LatencyWindow{},
	}
}

// setList takes the platform's list.
func (f *fleet) setList(list vm.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.listAt = list, time.Now()
	f.refresh()
}

// refresh hands list and withdrawals to the tables. The lock must be held.
func (f *fleet) refresh() {
	d := f.current.Load()
	byService := map[service.Name][]vm.VM{}
	for _, v := range f.list.WithRole(vm.RoleTarget) {
		byService[v.Service] = append(byService[v.Service], v)
	}
	now := time.Now()
	known := map[vm.ID]bool{}
	for name, svc := range d.services {
		svc.Table.SetList(now, byService[name], f.withdrawn(d.config))
		for _, v := range svc.Table.Views(now) {
			known[v.Ref.ID] = true
		}
	}
	maps.DeleteFunc(f.pools, func(id vm.ID, p *wire.Pool) bool {
		if !known[id] {
			p.Close()
		}
		return !known[id]
	})
}

// Pool returns the connections to a target.
func (f *fleet) Pool(ref target.Ref) *wire.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[ref.ID]
	if p != nil && p.Ref.Address == ref.Address {
		return p
	}
	s, ok := f.current.Load().config.Services[ref.Service]
	if !ok {
		return nil
	}
	if p != nil {
		p.Close()
	}
	n := f.node
	p = wire.NewPool(ref, wire.Settings{Protocol: n.settings.TargetProtocol}, f.connections(s), s.ProbeCost, n.ledger, owner{n})
	f.pools[ref.ID] = p
	return p
}

// connections is how many connections this node may hold to one target.
func (f *fleet) connections(s service.Service) int {
	return int(connectionShare * float64(s.MaxConnections) / float64(f.node.members.FleetSize()))
}

// sweep closes connections that are idle for too long or beyond the share.
func (f *fleet) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	services := f.current.Load().config.Services
	for _, p := range f.pools {
		if s, ok := services[p.Ref.Service]; ok {
			p.SetConnLimit(f.connections(s))
		}
		p.CloseExpiredIdle(now)
	}
}

// tables returns the tables by service.
func (f *fleet) tables() map[service.Name]*dispatch.Service {
	return f.current.Load().services
}

// owner passes what connections teach to the tables.
type owner struct{ n *Node }

// Verified takes the report of a new connection.
func (o owner) ConnVerified(ref target.Ref, report target.Report) {
	if svc := o.n.fleet.tables()[ref.Service]; svc != nil {
		svc.Table.RecordReport(ref.ID, time.Now(), report)
	}
}

// Lost notes that the last connection to a target ended from afar.
func (o owner) LastConnLost(ref target.Ref) {
	if svc := o.n.fleet.tables()[ref.Service]; svc != nil {
		svc.Table.MarkUnverified(ref.ID, time.Now())
	}
}

// claims adapts the claimer to the entry handler.
type claims struct{ c *claim.Claimer }

// Claim returns the claim of a keyed call.
func (c claims) NewClaim(svc service.Name, p *profile.Profile, key string, fingerprint []byte) (dispatch.Claim, outcome.Failure) {
	got, refusal := c.c.NewClaim(svc, key, p.KeyWindow, fingerprint)
	if refusal.Reason != "" {
		return nil, refusal
	}
	return got, outcome.Failure{}
}

// noted logs what a table noted, and spreads it to peers where it matters.
func (n *Node) noted(ref target.Ref, what target.Change) {
	fields := []zap.Field{zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID))}
	switch what {
	case target.StateChanged:
		event.TargetState.Log(n.logger, fields...)
		n.observations.changed(ref)
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
	}
}
