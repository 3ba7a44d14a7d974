package node

import (
	"context"
	"math/rand/v2"
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
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/listener"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/suspects"
	"github.com/apricotmount/apricotmount/vm"
)

// Platform holds the platform services that a node uses.
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

	invariantChecks *invariant.Checker
	probeBudget     *measuring.Budget
	members         *member.Table
	configState     *config.State
	claimManager    *claim.Claimer
	leaseManager    *coldstart.Manager
	services        *serviceRegistry
	callerHandler   *entry.Handler
	hub             *peer.Hub
	observations    *observationStore
	quarantine      *quarantine.Guard
	suspects        *suspects.Exchange

	configFollower, claimFollower, leaseFollower *stream.Follower

	callerServer, operatorServer, peerServer, healthServer *listener.Server

	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	isLeaving atomic.Bool
	isReady   atomic.Bool
}

// Addresses are the listening addresses of a started node, as host:port.
type Addresses struct {
	Callers, Operators, Peers, Health string
}

// New assembles a node. It opens no port and starts no loop; Start does both.
func New(s settings.Settings, platform Platform, logger *zap.Logger, registry *metrics.Registry) *Node {
	n := &Node{settings: s, platform: platform, logger: logger, metrics: registry}
	// The lowest bit is set because peers ignore incarnation 0.
	self := member.Entry{Incarnation: member.Incarnation(rand.Uint64() | 1), Zone: s.Zone}
	n.invariantChecks = &invariant.Checker{OnViolation: n.violationHandler(metrics.NewInvariantCounter(registry.Scope))}
	n.probeBudget = &measuring.Budget{Settings: s.Measuring}
	n.members = member.NewTable(self, member.Settings{})
	n.configState = &config.State{Checks: n.invariantChecks}
	n.observations = newObservationStore()
	n.initLeaseManager(self.Incarnation)
	n.initClaimManager(self.Incarnation)
	n.services = newServiceRegistry(n)
	n.configState.OnChange = n.handleConfigChange
	n.configState.OnMalformed = n.logMalformedConfig
	n.callerHandler = &entry.Handler{
		Directory:  n.services,
		Pools:      n.services,
		Claims:     claimAdapter{n.claimManager},
		Dispatcher: &dispatch.Dispatcher{Checks: n.invariantChecks, RefusalBudget: n.probeBudget},
		Metrics:    metrics.NewCalls(registry.Scope),
		Settings:   entry.Settings{Protocol: s.TargetProtocol, CallerHeader: s.CallerHeader, ReplayBufferBytes: s.ReplayBufferBytes, BodySpace: &intake.Space{Limit: s.Shares().BodyBudget()}},
	}
	n.callerHandler.Dispatcher.ExtraAttemptCounter = n.callerHandler.Metrics
	n.hub = &peer.Hub{Delegate: peerDelegate{n}, Self: self.Incarnation, Settings: peer.Settings{Token: s.PeerToken}, Addresses: n.peerAddresses}
	n.initQuarantine()
	n.initFollowers()
	return n
}

func (n *Node) initLeaseManager(self member.Incarnation) {
	n.leaseManager = &coldstart.Manager{Log: n.platform.Log, Holder: self, State: &coldstart.State{}, LiveMembers: n.members.Live}
	n.leaseManager.CaughtUp = func() bool { return n.leaseFollower.HasCaughtUp() }
	n.leaseManager.Start()
}

func (n *Node) initClaimManager(self member.Incarnation) {
	n.claimManager = &claim.Claimer{
		Log: n.platform.Log, Holder: self, State: &claim.State{}, FleetSize: n.members.FleetSize, Checks: n.invariantChecks,
		Settings:      claim.Settings{FleetAppendsPerSecond: n.settings.FleetClaimAppendsPerSecond, AcquireTimeout: n.settings.ClaimTimeout},
		IsCaughtUp:    func() bool { return n.claimFollower.HasCaughtUp() },
		OnAppendError: func(err error) { event.ClaimsRefused.Log(n.logger, zap.Error(err)) },
	}
	n.claimManager.Init()
}

func (n *Node) initFollowers() {
	n.configFollower = &stream.Follower{Log: n.platform.Log, Name: config.Stream, Applier: n.configState, OnError: n.logConfigReadError}
	n.claimFollower = &stream.Follower{Log: n.platform.Log, Name: claim.Stream, Applier: n.claimManager.State, Settings: stream.Settings{ReadWait: claimReadWait}}
	n.leaseFollower = &stream.Follower{Log: n.platform.Log, Name: coldstart.StreamName, Applier: n.leaseManager.State, Settings: stream.Settings{DelayAfterRead: leaseReadInterval}}
}

// claimReadWait is how long one read of the claim stream waits for records. The
// log's availability is not measured by this stream, so an idle read need not
// return often.
const claimReadWait = 10 * time.Second

// leaseReadInterval is the pause after a read of the lease stream that returned
// records. The nodes' renewals arrive one by one and are not urgent, so they are read
// in batches.
const leaseReadInterval = 2 * time.Second

// violationHandler returns a function that counts an invariant violation with count
// and logs it.
func (n *Node) violationHandler(count func(invariant.Name)) func(invariant.Name) {
	return func(name invariant.Name) {
		count(name)
		event.InvariantBroken.Log(n.logger, zap.Stringer("invariant", name))
	}
}

// Start opens the node's ports and starts its loops.
func (n *Node) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start node") }()
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
		n.configFollower.Run, n.claimFollower.Run, n.leaseFollower.Run, n.claimManager.Run, n.leaseManager.Run, n.hub.Run,
		n.watchVMList, n.watchMembers, n.watchReadiness, n.watchPauses, n.extendLeases, n.writeSnapshots, n.probeTargets, n.maintainConnections,
	} {
		n.loops.Go(func() { loop(n.ctx) })
	}
	return nil
}

// listen opens the caller, operator, peer and health ports and serves them.
func (n *Node) listen() (err error) {
	s := n.settings
	ports := listener.NewPorts(s.Shares(), s.IntakeLimits, n.logger, nil)
	callers := &http.Server{Handler: n.callerHandler, IdleTimeout: s.IdleTimeout, ErrorLog: discardLog}
	if n.callerServer, err = listener.ServeLimited(s.CallerAddress, callers, ports.Callers()); err != nil {
		return err
	}
	operatorAPI, err := operator.NewHandler(operatorNode{n}, s.OperatorToken)
	if err != nil {
		return err
	}
	if n.operatorServer, err = listener.ServeLimited(s.OperatorAddress, newInternalServer(operatorAPI), ports.Small()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.hub)
	if n.peerServer, err = listener.ServeLimited(s.PeerAddress, newInternalServer(mux), ports.Peers()); err != nil {
		return err
	}
	n.healthServer, err = listener.ServeLimited(s.HealthAddress, newInternalServer(n.healthHandler()), ports.Small())
	return err
}

// Addresses returns the addresses that the node listens on; an unopened port has an
// empty one.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers: addressOf(n.callerServer), Operators: addressOf(n.operatorServer),
		Peers: addressOf(n.peerServer), Health: addressOf(n.healthServer),
	}
}

// InvariantChecks returns the counters of invariant violations at this node.
func (n *Node) InvariantChecks() *invariant.Checker {
	return n.invariantChecks
}

func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: discardLog}
}

// addressOf returns the address of a server's port, or "" if there is none.
func addressOf(s *listener.Server) string {
	if s == nil {
		return ""
	}
	return s.Addr().String()
}

// newAdmissionPool returns the pool that limits how many calls the node holds at
// once, running or waiting.
func newAdmissionPool(s settings.Settings) *admission.Pool {
	return admission.NewPool(s.MaxHeldCalls)
}

// PeerTraffic returns the totals of peer messages and bytes sent and received.
func (n *Node) PeerTraffic() peer.Traffic {
	return n.hub.Traffic()
}

// ProbeTotals returns what the node has spent of its probe budget since it started.
func (n *Node) ProbeTotals() measuring.Totals {
	return n.probeBudget.Totals()
}
