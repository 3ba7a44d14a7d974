package gateway

import (
	"cmp"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Parts are what a node is given.
type Dependencies struct {
	Store   Store
	Decoder Decoder
	// Entry is how callers and targets are spoken to.
	EntrySettings entry.Settings
	// RequestID names the header that holds a call's ID, for the log.
	RequestIDHeader string
	Logger          *zap.Logger
	Metrics         *metrics.Registry
	// LinesCut, if set, returns how many log lines were left out since the last
	// call.
	DroppedLogLines func() int64
}

// Node is one entry node.
type Node struct {
	settings Settings
	// bounds are the settings that may change while the node runs.
	bounds    atomic.Pointer[Settings]
	entry     entry.Settings
	store     Store
	logger    *zap.Logger
	metrics   *metrics.Registry
	figures   *metrics.Gateway
	linesCut  func() int64
	requestID string
	self      vm.VM

	checks    *invariant.Checker
	knowledge *knowledge
	fleet     *fleet
	handler   *entry.Handler
	hub       *peer.Hub

	servers []*http.Server
	callers *http.Server
	idle    idleCallers
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	started time.Time
	leaving atomic.Bool
	// informed is closed once the node knows a plan and its targets.
	informed     chan struct{}
	informedOnce sync.Once
	reading      atomic.Bool
	// toldReady is the readiness that was logged last.
	toldReady atomic.Bool
	counts    *metrics.Calls
	// linkZones holds the zone at the other end of each link.
	linkZones sync.Map
	// askedAt is when a peer was last asked for all records, in Unix milliseconds.
	askedAt atomic.Int64
}

// quiet drops what net/http would log of callers' broken connections.
var quiet = log.New(io.Discard, "", 0)

// NewNode assembles a node; Start opens its ports.
func NewNode(s Settings, p Dependencies) *Node {
	n := &Node{settings: s, entry: p.EntrySettings, store: p.Store, logger: p.Logger.With(zap.String("node", s.Name)), linesCut: p.DroppedLogLines, metrics: p.Metrics, requestID: p.RequestIDHeader}
	n.bounds.Store(&s)
	n.informed = make(chan struct{})
	address := cmp.Or(s.AdvertisedAddress, s.PeerAddress)
	n.self = vm.VM{ID: vm.ID(address), Role: vm.RoleEntry, Address: address, Zone: s.Zone, State: vm.StateLive}
	broken := metrics.NewInvariantCounter(p.Metrics.Scope)
	n.checks = &invariant.Checker{OnViolation: func(name invariant.Name) {
		broken(name)
		event.InvariantBroken.Log(n.logger, zap.Stringer("invariant", name))
	}}
	n.knowledge = newKnowledge(p.Decoder, n.self, n.logger)
	n.fleet = newFleet(n)
	n.figures = metrics.NewGateway(p.Metrics.Scope)
	n.counts = metrics.NewCalls(p.Metrics.Scope)
	n.handler = &entry.Handler{
		Directory:     n.fleet,
		Pools:         n.fleet,
		Dispatcher:    &dispatch.Dispatcher{Checks: n.checks, ExtraAttemptCounter: n.counts, Observer: n},
		Metrics:       n.counts,
		Settings:      p.EntrySettings,
		OnMisdirected: n.fleet.misdirected,
		OnCallEnd:     n.ended,
	}
	n.hub = &peer.Hub{
		Delegate: host{n}, Self: member.Incarnation(rand.Uint64() | 1), Addresses: n.peerAddresses,
		Settings: peer.Settings{StateInterval: linkTick, DialTimeout: dialPatience, IdleTimeout: linkSilence, MaxLinks: maxLinks, CloseUnlisted: true},
	}
	n.hub.SetDialAll(true)
	return n
}

// maxLinks bounds a node's links.
const maxLinks = 64

// Start opens the node's ports and begins to follow the store.
func (n *Node) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start the node") }()
	n.started = time.Now()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	peers := http.NewServeMux()
	peers.Handle(peer.Path, n.hub)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.metrics.Handler())
	n.callers = &http.Server{Handler: http.HandlerFunc(n.serve), ErrorLog: quiet, ConnState: n.idle.state, IdleTimeout: callerIdle, ReadHeaderTimeout: headerTimeout}
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{n.settings.CallerAddress, n.callers},
		{n.settings.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(n.serveReady), ErrorLog: quiet}},
		{string(n.settings.PeerAddress), &http.Server{Handler: peers, ErrorLog: quiet}},
		{n.settings.MetricsAddress, &http.Server{Handler: metricsMux, ErrorLog: quiet}},
	} {
		if err := n.listen(s.address, s.server); err != nil {
			n.end()
			return err
		}
	}
	event.NodeStarting.Log(n.logger, zap.String("zone", string(n.settings.Zone)))
	n.follow()
	return nil
}

// Reload takes the bounds of changed settings; addresses stay until a restart.
func (n *Node) Reload(s Settings) {
	n.bounds.Store(&s)
	event.NodeReloaded.Log(n.logger, zap.Bool("addresses-differ", s.CallerAddress != n.settings.CallerAddress || s.PeerAddress != n.settings.PeerAddress || s.StoreAddress != n.settings.StoreAddress))
	n.refresh()
}

const (
	// callerIdle is how long callers may leave a connection unused, beyond what
	// any plan allows them.
	callerIdle = 5 * time.Minute
	// headerTimeout is how long a caller may take to send its headers.
	headerTimeout = 30 * time.Second
)

func (n *Node) listen(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, s)
	n.loops.Go(func() {
		if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			event.PortFailed.Log(n.logger, zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

// follow starts the node's loops.
func (n *Node) follow() {
	n.loops.Go(func() { (&reader{node: n}).run(n.ctx) })
	n.loops.Go(func() { n.keepMembership(n.ctx) })
	n.loops.Go(func() { n.listNodes(n.ctx) })
	n.loops.Go(func() { n.hub.Run(n.ctx) })
	n.loops.Go(func() { n.sweep(n.ctx) })
}

// sweepEvery is how often idle connections and lapsed entries are looked through.
const sweepEvery = 500 * time.Millisecond

func (n *Node) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepEvery)
		n.fleet.sweep(time.Now())
		n.closeIdleCallers(time.Now())
		n.refresh()
		n.tellLinesCut()
		n.figures.UpdateGauges(n.state(time.Now()))
	}
}

// closeIdleCallers closes callers' connections that are unused for longer than the
// operator allows.
func (n *Node) closeIdleCallers(now time.Time) {
	if plan := n.fleet.current.Load().plan; plan != nil {
		n.idle.sweep(now, plan.Limits.IdleTimeout)
	}
}

// tellReadiness logs that the node asks for work, or no longer does.
func (n *Node) tellReadiness() {
	ready := n.ready()
	if n.toldReady.Swap(ready) == ready {
		return
	}
	if ready {
		event.NodeReady.Log(n.logger)
		return
	}
	event.NodeUnready.Log(n.logger, zap.Bool("leaving", n.leaving.Load()))
}

// state gathers what the node's gauges show.
func (n *Node) state(now time.Time) metrics.GatewayState {
	age := func(t replica.Topic) float64 {
		_, at := n.knowledge.end(t)
		if at.IsZero() {
			return 0
		}
		return now.Sub(at).Seconds()
	}
	return metrics.GatewayState{
		IsReady: n.ready(), IsStoreReader: n.reading.Load(), PlanVersion: n.planVersion(),
		OperatorAgeSeconds: age(replica.Operator), TargetsAgeSeconds: age(replica.Targets),
		NodeCount: len(n.knowledge.fleet(now)), PeerLinkCount: len(n.hub.Links()), HeldCallCount: n.fleet.pool.HeldCount(),
	}
}

// tellLinesCut logs how many lines were left out.
func (n *Node) tellLinesCut() {
	if n.linesCut == nil {
		return
	}
	if cut := n.linesCut(); cut > 0 {
		event.LinesCut.Log(n.logger, zap.Int64("lines", cut))
	}
}

// refresh puts in force what the node knows now.
func (n *Node) refresh() {
	now := time.Now()
	n.fleet.set(n.knowledge.view(now), n.knowledge.fleet(now), now)
	if n.knowledge.known() {
		n.informedOnce.Do(func() { close(n.informed) })
	}
	n.tellReadiness()
}

// assumedNodes is how large a fleet is taken to be before its nodes were listed,
// so that no node takes more than its part of what they share.
const assumedNodes = 12

// sharedBy is how many nodes share the fleet's sums.
func sharedBy(nodes []vm.VM) int {
	if len(nodes) == 1 {
		return assumedNodes
	}
	return len(nodes)
}

// reader is this node as a reader of the store.
func (n *Node) reader() replica.ReaderID {
	return replica.ReaderID(n.hub.Self)
}

// ready reports whether the node asks for work.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.knowledge.known()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// planVersion is the version of the plan in force, or 0.
func (n *Node) planVersion() int64 {
	if plan := n.fleet.current.Load().plan; plan != nil {
		return int64(plan.Version)
	}
	return 0
}

// noted logs what a table noted of a target.
func (n *Node) noted(ref target.Ref, what target.Change) {
	if e, ok := noteEvents[what]; ok {
		e.Log(n.logger, zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID)))
	}
}
