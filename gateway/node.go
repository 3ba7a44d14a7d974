package gateway

import (
	"cmp"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/canary"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/grants"
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/listener"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/reach"
	"github.com/apricotmount/apricotmount/relay"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/suspects"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Dependencies holds what a Node uses besides its Settings.
type Dependencies struct {
	Store Store
	// Statuses holds the statuses of roll-outs.
	Statuses canary.Store
	// Backups, if set, holds copies of the topics in other partitions of the store.
	Backups backup.Store
	Decoder inventory.Decoder
	// EntrySettings holds the HTTP settings towards callers and targets.
	EntrySettings entry.Settings
	// RequestIDHeader is the name of the header with a call's ID, which is logged.
	RequestIDHeader string
	Logger          *zap.Logger
	Metrics         *metrics.Registry
	// DroppedLogLines, if set, returns how many log lines were dropped since it was
	// last called.
	DroppedLogLines func() int64
}

// Node is an entry node. It forwards callers' requests to the targets listed in the
// store.
type Node struct {
	settings Settings
	// reloadable holds the settings of the last Reload.
	reloadable      atomic.Pointer[Settings]
	entrySettings   entry.Settings
	store           Store
	backups         backup.Store
	logger          *zap.Logger
	registry        *metrics.Registry
	gatewayMetrics  *metrics.Gateway
	droppedLogLines func() int64
	requestIDHeader string
	self            vm.VM

	invariants *invariant.Checker
	state      *inventory.State
	upstreams  *upstreams
	handler    *entry.Handler
	hub        *peer.Hub
	quarantine *quarantine.Guard
	suspects   *suspects.Exchange
	rollouts   *canary.Exchange
	grants     *grants.Exchange
	// pendingLimits holds rate limits of targets that are not known yet.
	pendingLimits target.PendingLimits
	paths         reach.Watch
	sender        *relay.Sender
	receiver      *relay.Receiver
	// pathDoubt wakes watchPaths.
	pathDoubt chan struct{}

	ports        *listener.Ports
	servers      []*listener.Server
	callerServer *listener.Server
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	startedAt    time.Time
	isLeaving    atomic.Bool
	// initialized is closed once inventory.State.CanServe has returned true.
	initialized     chan struct{}
	initializedOnce sync.Once
	// isReading reports for each topic whether this node reads it from the store.
	isReading [replica.TopicCount]atomic.Bool
	// loggedReady is the readiness that was logged last.
	loggedReady atomic.Bool
	callMetrics *metrics.Calls
	// linkZones maps each *peer.Link to the zone.Name of its peer.
	linkZones sync.Map
	// recordsRequestedAt is when all records were last requested from a peer, in Unix
	// milliseconds.
	recordsRequestedAt atomic.Int64
	// applyMu guards appliedRevision and appliedFleetSize, the revision of the state and
	// the size of the fleet that are active, and nextChangeAt, when that state changes by
	// itself; zero if it does not.
	applyMu          sync.Mutex
	appliedRevision  uint64
	appliedFleetSize int
	nextChangeAt     time.Time
	// estimatedNodeCount is the number of members that the last join has told; zero
	// before the first.
	estimatedNodeCount atomic.Int64
	// hasListingFailed reports whether the last call that lists the members failed.
	hasListingFailed atomic.Bool
	// membershipMu is held during a call that joins or leaves, so that a join never
	// follows the leave.
	membershipMu sync.Mutex
}

// discardLogger discards the messages that net/http logs about broken connections.
var discardLogger = log.New(io.Discard, "", 0)

// NewNode returns a node that is not started yet.
func NewNode(s Settings, d Dependencies) *Node {
	n := &Node{settings: s, entrySettings: d.EntrySettings, store: d.Store, backups: d.Backups, logger: d.Logger.With(zap.String("node", s.Name)), droppedLogLines: d.DroppedLogLines, registry: d.Metrics, requestIDHeader: d.RequestIDHeader}
	n.reloadable.Store(&s)
	shares := intake.Shares{MemoryBytes: int64(s.MemoryLimitMB * (1 << 20)), Descriptors: s.MaxDescriptors}
	n.entrySettings.BodySpace = &intake.Space{Limit: shares.BodyBudget()}
	n.entrySettings.ResponseSpace = &intake.Space{Limit: shares.ResponseBudget()}
	n.initialized = make(chan struct{})
	n.pathDoubt = make(chan struct{}, 1)
	address := cmp.Or(s.AdvertisedAddress, s.PeerAddress)
	n.self = vm.VM{ID: vm.ID(address), Role: vm.RoleEntry, Address: address, Zone: s.Zone, State: vm.StateLive}
	countViolation := metrics.NewInvariantCounter(d.Metrics.Scope)
	n.invariants = &invariant.Checker{OnViolation: func(name invariant.Name) {
		countViolation(name)
		event.InvariantBroken.Log(n.logger, zap.Stringer("invariant", name))
	}}
	n.state = inventory.NewState(d.Decoder, n.self, n.logger)
	n.upstreams = newUpstreams(n)
	n.quarantine = &quarantine.Guard{Node: quarantineNode{n}}
	n.gatewayMetrics = metrics.NewGateway(d.Metrics.Scope)
	n.ports = listener.NewPorts(shares, func() intake.Limits { return n.upstreams.active.Load().plan.IntakeLimits() }, n.logger, n.gatewayMetrics.CountIntakeRefusal)
	n.callMetrics = metrics.NewCalls(d.Metrics.Scope)
	n.handler = &entry.Handler{
		Directory:     n.upstreams,
		Pools:         n.upstreams,
		Dispatcher:    &dispatch.Dispatcher{Checks: n.invariants, ExtraAttemptCounter: n.callMetrics, Observer: n, Quarantine: n.quarantine},
		Metrics:       n.callMetrics,
		Settings:      n.entrySettings,
		OnMisdirected: n.upstreams.handleMisdirected,
		OnCallEnd:     n.recordCallEnd,
	}
	n.hub = &peer.Hub{
		Delegate: peerDelegate{n}, Self: member.Incarnation(rand.Uint64() | 1), Addresses: n.peerAddresses,
		Settings: peer.Settings{StateInterval: linkStateInterval, DialTimeout: dialTimeout, IdleTimeout: linkIdleTimeout, MaxLinks: maxLinks, CloseUnlisted: true},
	}
	n.hub.SetDialAll(true)
	n.suspects = &suspects.Exchange{Hub: n.hub, Guard: n.quarantine, Logger: n.logger}
	n.quarantine.Peers = n.suspects
	n.rollouts = n.newRollouts(d.Statuses)
	n.grants = n.newGrants()
	n.initRelay()
	return n
}

// maxLinks is the maximum number of open links of a node.
const maxLinks = 64

// Start opens the node's ports and starts its background loops. It returns an error if
// a port cannot be opened.
func (n *Node) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start the node") }()
	n.startedAt = time.Now()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, n.hub)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.registry.Handler())
	for _, s := range []struct {
		address string
		handler http.Handler
		intake  listener.Intake
	}{
		{n.settings.CallerAddress, http.HandlerFunc(n.serveCaller), n.ports.Callers()},
		{n.settings.ReadinessAddress, http.HandlerFunc(n.serveReadiness), n.ports.Small()},
		{string(n.settings.PeerAddress), n.receiver.Wrap(peerMux), n.ports.Peers()},
		{n.settings.MetricsAddress, metricsMux, n.ports.Small()},
	} {
		if err := n.listen(s.address, s.handler, s.intake); err != nil {
			n.close()
			return err
		}
	}
	if err := n.grants.Listen(n.settings.PeerAddress); err != nil {
		n.close()
		return err
	}
	// The callers' port is opened first.
	n.callerServer = n.servers[0]
	event.NodeStarting.Log(n.logger, zap.String("zone", string(n.settings.Zone)))
	n.startLoops()
	return nil
}

// Reload applies GracePeriod and ExtraAttempts of changed settings; the other fields take
// effect at a restart.
func (n *Node) Reload(s Settings) {
	n.reloadable.Store(&s)
	n.applyMu.Lock()
	n.appliedRevision = 0
	n.applyMu.Unlock()
	event.NodeReloaded.Log(n.logger, zap.Bool("addresses-differ", s.CallerAddress != n.settings.CallerAddress || s.PeerAddress != n.settings.PeerAddress || s.StoreAddress != n.settings.StoreAddress))
	n.applyState()
}

// startLoops starts the node's background loops.
func (n *Node) startLoops() {
	n.goroutines.Go(func() { n.readStore(n.ctx) })
	n.goroutines.Go(func() { n.keepMembership(n.ctx) })
	n.goroutines.Go(func() { n.listNodesLoop(n.ctx) })
	n.goroutines.Go(func() { n.hub.Run(n.ctx) })
	n.goroutines.Go(func() { n.runMaintenance(n.ctx) })
	n.goroutines.Go(func() { n.watchPaths(n.ctx) })
	n.goroutines.Go(func() { n.rollouts.Run(n.ctx) })
	n.goroutines.Go(func() { n.grants.Run(n.ctx) })
}

// maintenanceInterval is the time between two passes of runMaintenance.
const maintenanceInterval = 500 * time.Millisecond

// runMaintenance closes idle connections, drops retained targets that have expired,
// logs dropped log lines and updates the gauges, regularly until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) {
	incompleteDue := time.Now().Add(incompleteLogInterval)
	for ctx.Err() == nil {
		pause.For(ctx, maintenanceInterval)
		incompleteDue = n.logIncomplete(time.Now(), incompleteDue)
		n.upstreams.closeIdleConns(time.Now())
		n.sender.CloseIdle(time.Now())
		n.closeIdleCallerConns(time.Now())
		n.applyState()
		n.quarantine.Ledger.Expire(time.Now())
		n.logDroppedLines()
		n.gatewayMetrics.UpdateGauges(n.gaugeValues(time.Now()))
	}
}

// closeIdleCallerConns closes callers' connections that have been idle for longer than the
// plan allows.
func (n *Node) closeIdleCallerConns(now time.Time) {
	if plan := n.upstreams.active.Load().plan; plan != nil {
		n.callerServer.CloseIdle(now, plan.Limits.IdleTimeout)
	}
}

// logDroppedLines logs how many log lines were dropped.
func (n *Node) logDroppedLines() {
	if n.droppedLogLines == nil {
		return
	}
	if dropped := n.droppedLogLines(); dropped > 0 {
		event.LinesCut.Log(n.logger, zap.Int64("lines", dropped))
	}
}

// readerID returns the node's ID as a reader of the store: the random number that
// also identifies its process to peers.
func (n *Node) readerID() replica.ReaderID {
	return replica.ReaderID(n.hub.Self)
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// logTargetChange logs a change of a target that its table reports.
func (n *Node) logTargetChange(ref target.Ref, change target.Change) {
	if e, ok := changeEvents[change]; ok {
		e.Log(n.logger, zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID)))
	}
}
