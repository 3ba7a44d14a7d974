package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// Platform is what the node needs of the platform.
type Platform struct {
	Log      stream.Log
	VMLister vm.Lister
}

// Node is one entry node.
type Node struct {
	settings settings.Settings
	platform Platform
	logger   *zap.Logger
	metrics  *metrics.Registry

	checks       *invariant.Checker
	ledger       *measuring.Budget
	members      *member.Table
	book         *config.State
	claims       *claim.Claimer
	rights       *coldstart.Manager
	fleet        *fleet
	handler      *entry.Handler
	hub          *peer.Hub
	observations *observations

	configFollower, claimFollower, rightFollower *stream.Follower

	callers, operators, peers, health *server

	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	leaving atomic.Bool
	ready   atomic.Bool
}

// Addresses are where a started node listens.
type Addresses struct {
	Callers, Operators, Peers, Health string
}

// New assembles a node; Start opens its ports.
func New(s settings.Settings, platform Platform, logger *zap.Logger, registry *metrics.Registry) *Node {
	n := &Node{settings: s, platform: platform, logger: logger, metrics: registry}
	self := member.Entry{Incarnation: member.Incarnation(rand.Uint64() | 1), Zone: s.Zone}
	n.checks = &invariant.Checker{OnViolation: n.broken(metrics.NewInvariantCounter(registry.Scope))}
	n.ledger = &measuring.Budget{Settings: s.Measuring}
	n.members = member.NewTable(self, member.Settings{})
	n.book = &config.State{Checks: n.checks}
	n.observations = newObservations()
	n.assembleRights(self.Incarnation)
	n.assembleClaims(self.Incarnation)
	n.fleet = newFleet(n)
	n.book.OnChange = n.configChanged
	n.handler = &entry.Handler{
		Directory:  n.fleet,
		Pools:      n.fleet,
		Claims:     claims{n.claims},
		Dispatcher: &dispatch.Dispatcher{Checks: n.checks, RefusalBudget: n.ledger},
		Metrics:    metrics.NewCalls(registry.Scope),
		Settings:   entry.Settings{Protocol: s.TargetProtocol, CallerHeader: s.CallerHeader, ReplayBufferBytes: s.ReplayBufferBytes},
	}
	n.handler.Dispatcher.ExtraAttemptCounter = n.handler.Metrics
	n.hub = &peer.Hub{Delegate: host{n}, Self: self.Incarnation, Settings: peer.Settings{Token: s.PeerToken}, Addresses: n.peerAddresses}
	n.assembleFollowers()
	return n
}

func (n *Node) assembleRights(self member.Incarnation) {
	n.rights = &coldstart.Manager{Log: n.platform.Log, Holder: self, State: &coldstart.State{}, LiveMembers: n.members.Live}
	n.rights.CaughtUp = func() bool { return n.rightFollower.HasCaughtUp() }
	n.rights.Start()
}

func (n *Node) assembleClaims(self member.Incarnation) {
	n.claims = &claim.Claimer{
		Log: n.platform.Log, Holder: self, State: &claim.State{}, FleetSize: n.members.FleetSize, Checks: n.checks,
		Settings:      claim.Settings{FleetAppendsPerSecond: n.settings.FleetClaimAppendsPerSecond, AcquireTimeout: n.settings.ClaimTimeout},
		IsCaughtUp:    func() bool { return n.claimFollower.HasCaughtUp() },
		OnAppendError: func(err error) { event.ClaimsRefused.Log(n.logger, zap.Error(err)) },
	}
	n.claims.Init()
}

func (n *Node) assembleFollowers() {
	n.configFollower = &stream.Follower{Log: n.platform.Log, Name: config.Stream, Applier: n.book, OnError: n.followFailed}
	n.claimFollower = &stream.Follower{Log: n.platform.Log, Name: claim.Stream, Applier: n.claims.State, Settings: stream.Settings{ReadWait: quietWait}}
	n.rightFollower = &stream.Follower{Log: n.platform.Log, Name: coldstart.StreamName, Applier: n.rights.State, Settings: stream.Settings{DelayAfterRead: rightsPace}}
}

// quietWait is how long a read of the claims waits; nobody judges the log by it,
// so it need not return often where there are none.
const quietWait = 10 * time.Second

// rightsPace is the least time between two reads of the leases: each node's
// renewals come one by one, and nobody needs them at once.
const rightsPace = 2 * time.Second

// broken logs and counts each broken promise.
func (n *Node) broken(count func(invariant.Name)) func(invariant.Name) {
	return func(name invariant.Name) {
		count(name)
		event.InvariantBroken.Log(n.logger, zap.Stringer("invariant", name))
	}
}

// Start opens the node's ports and begins its loops.
func (n *Node) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start the node") }()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		n.cancel()
		return err
	}
	addresses := n.Addresses()
	n.members.Update(func(e *member.Entry) { e.Address = vm.Address(addresses.Peers) })
	event.NodeStarting.Log(n.logger, zap.String("vm", string(n.settings.VM)), zap.String("zone", string(n.settings.Zone)),
		zap.String("callers", addresses.Callers), zap.String("operators", addresses.Operators),
		zap.String("peers", addresses.Peers), zap.String("health", addresses.Health))
	for _, loop := range []func(context.Context){
		n.configFollower.Run, n.claimFollower.Run, n.rightFollower.Run, n.claims.Run, n.rights.Run, n.hub.Run,
		n.watchList, n.watchMembers, n.watchPlatform, n.watchPauses, n.extendRights, n.writeSnapshots, n.probe, n.sweep,
	} {
		n.loops.Go(func() { loop(n.ctx) })
	}
	return nil
}

func (n *Node) listen() (err error) {
	s := n.settings
	callers := &http.Server{Handler: n.handler, ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, ErrorLog: quietLog}
	if n.callers, err = open(s.CallerAddress, callers); err != nil {
		return err
	}
	api, err := operator.NewHandler(operatorHost{n}, s.OperatorToken)
	if err != nil {
		return err
	}
	if n.operators, err = open(s.OperatorAddress, plain(api)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.hub)
	if n.peers, err = open(s.PeerAddress, plain(mux)); err != nil {
		return err
	}
	n.health, err = open(s.HealthAddress, plain(n.healthHandler()))
	return err
}

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers: n.callers.address(), Operators: n.operators.address(),
		Peers: n.peers.address(), Health: n.health.address(),
	}
}

// Checks counts the promises that this node has seen broken.
func (n *Node) InvariantChecks() *invariant.Checker {
	return n.checks
}

// server is one listening port.
type server struct {
	http     *http.Server
	listener net.Listener
}

func open(address string, s *http.Server) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	go s.Serve(l)
	return &server{http: s, listener: l}, nil
}

// plainHeaderTimeout bounds the headers of operators' and peers' requests.
const plainHeaderTimeout = 5 * time.Second

func plain(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: plainHeaderTimeout, ErrorLog: quietLog}
}

func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// newPool returns the bound on the calls that the node holds.
func newPool(s settings.Settings) *admission.Pool {
	return admission.NewPool(s.MaxHeldCalls)
}

// Traffic is what the node has said to its peers and heard from them.
func (n *Node) PeerTraffic() peer.Traffic {
	return n.hub.Traffic()
}

// Measuring is what measuring load has cost this node.
func (n *Node) ProbeTotals() measuring.Totals {
	return n.ledger.Totals()
}
