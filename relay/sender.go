package relay

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
	"github.com/apricotmount/apricotmount/zone"
)

const (
	// nodesService is the name under which a Sender holds the other nodes.
	nodesService service.Name = "nodes"
	// slotsPerNode is the number of calls that a node sends to one other node at a time.
	slotsPerNode = 64
	// queueLimit is the number of calls that wait for a node.
	queueLimit = 256
	// queueTimeout is how long a call waits for a node that takes it.
	queueTimeout = 250 * time.Millisecond
	// dialTimeout bounds opening a connection to a node.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the idle timeout of connections to nodes.
	idleTimeout = 5 * time.Second
	// maxReadAge is the time since data was last received on a connection from which it is
	// replaced: it may have gone silent.
	maxReadAge = 500 * time.Millisecond
	// maxResponseLines is the maximum number of header lines of a node's response: those of a
	// target, and its own.
	maxResponseLines = wire.DefaultResponseLines + 32
)

// Sender sends calls through other nodes. It implements entry.Forwarder, entry.Pools and
// wire.Observer.
type Sender struct {
	handler  *entry.Handler
	protocol wire.Protocol
	service  *dispatch.Service

	mu    sync.Mutex
	pools map[vm.ID]*wire.Pool
	// nodeIDs are the sorted IDs of the nodes that were set last.
	nodeIDs []vm.ID
}

// Settings are what a Sender takes over from its node.
type Settings struct {
	// Zone is the availability zone of the node.
	Zone zone.Name
	// Callers is the handler of the node's callers.
	Callers    *entry.Handler
	Dispatcher *dispatch.Dispatcher
	// OnCallEnd is called for each call that was sent through another node, as that of
	// entry.Handler.
	OnCallEnd func(e entry.CallResult)
}

// NewSender returns a Sender without other nodes.
func NewSender(cfg Settings) *Sender {
	s := &Sender{pools: map[vm.ID]*wire.Pool{}}
	settings := cfg.Callers.Settings
	callers := settings.Protocol
	settings.Protocol = protocol(cfg.Callers.DeadlineHeader())
	settings.StatesCall = true
	settings.Protocol.KeyHeader, settings.Protocol.TenantHeader = callers.KeyHeader, callers.TenantHeader
	s.protocol = settings.Protocol
	s.service = &dispatch.Service{
		Table:       target.NewTable(service.Service{Name: nodesService, Slots: slotsPerNode}, target.Settings{Zone: cfg.Zone, ListIsAuthoritative: true, Checks: cfg.Dispatcher.Checks}),
		Gate:        admission.NewPool(0).AddGate(queueLimit),
		RetryBudget: &retry.Budget{},
		HedgeBudget: &retry.Budget{},
		Latencies:   &retry.LatencyWindow{},
	}
	s.handler = &entry.Handler{
		Pools: s, Dispatcher: cfg.Dispatcher, Metrics: cfg.Callers.Metrics, Settings: settings, OnCallEnd: cfg.OnCallEnd,
		OnMisdirected: func(ref target.Ref) { s.service.Table.MarkAddressReused(ref.ID) },
	}
	return s
}

// BeginStop makes the Sender send only calls whose responses arrive before end.
func (s *Sender) BeginStop(end time.Time) {
	s.handler.Dispatcher.BeginStop(end)
}

// SetNodes sets the nodes through which calls are sent: all of the fleet but this one. The IDs
// of nodes, sorted, are given too: the nodes of a large fleet seldom change.
func (s *Sender) SetNodes(nodes []vm.VM, sortedIDs []vm.ID, self vm.ID, now time.Time) {
	if !s.replaceIDs(sortedIDs) {
		return
	}
	var others []vm.VM
	addresses := map[vm.ID]vm.Address{}
	for _, n := range nodes {
		if n.ID == self {
			continue
		}
		n.Slots = slotsPerNode
		others = append(others, n)
		addresses[n.ID] = n.Address
	}
	s.service.Table.SetList(now, others, func(vm.ID, zone.Name) bool { return false })
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pools {
		if addresses[id] != p.Ref.Address {
			p.Close()
			delete(s.pools, id)
		}
	}
}

// replaceIDs replaces the IDs of the nodes, and reports whether they differ.
func (s *Sender) replaceIDs(ids []vm.ID) (differ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.nodeIDs, ids) {
		return false
	}
	s.nodeIDs = ids
	return true
}

// Forward returns the handler and the route by which a call goes through another node, and
// adds the caller's address for that node.
func (s *Sender) Forward(route entry.Route, r *http.Request) (*entry.Handler, entry.Route) {
	p := *route.Profile
	forwarded := profile.Profile{Name: p.Name, Urgency: p.Urgency, Idempotent: p.Idempotent, CallTimeout: p.CallTimeout, AttemptTimeout: p.CallTimeout, QueueTimeout: queueTimeout}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		r.Header.Set(headerCaller, ip)
	}
	return s.handler, entry.Route{Service: route.Service, Profile: &forwarded, Dispatch: s.service}
}

// Pool returns the connections to a node.
func (s *Sender) Pool(ref target.Ref) *wire.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[ref.ID]; p != nil && p.Ref.Address == ref.Address {
		return p
	}
	p := wire.NewPool(ref, wire.Settings{Protocol: s.protocol, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxReadAge: maxReadAge, RequireRecentRead: true, RequireInstance: true, MaxResponseLines: maxResponseLines}, slotsPerNode, 0, nil, s)
	s.pools[ref.ID] = p
	return p
}

// ConnVerified passes the report of a node to the table.
func (s *Sender) ConnVerified(ref target.Ref, report target.Report) {
	s.service.Table.RecordReport(ref.ID, time.Now(), report)
}

// LastConnLost does nothing: the next call opens a connection.
func (s *Sender) LastConnLost(target.Ref) {}

// CloseIdle closes the connections that have been idle for too long.
func (s *Sender) CloseIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.CloseExpiredIdle(now)
	}
}

// Close closes the connections to all nodes.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Close()
	}
}
