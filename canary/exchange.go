package canary

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// checkInterval is the time between two checks of a roll-out that runs.
	checkInterval = 100 * time.Millisecond
	// batchInterval is the time in which samples are collected for one message.
	batchInterval = 250 * time.Millisecond
	// sampleFanOut is the number of peers of its own zone to which a node sends a batch,
	// at random each time: about four fifths of the nodes then receive each sample, which
	// is enough for a verdict at any of them.
	sampleFanOut = 2
	// maxSamplesPerMessage is the number of samples in one message.
	maxSamplesPerMessage = 1024
)

// Settings holds what an Exchange uses besides its hub.
type Settings struct {
	Bounds rollout.Bounds
	// Node identifies the node's process in samples.
	Node  uint32
	Store Store
	// IsReader reports whether this node reads the operator topic for all nodes.
	IsReader func() bool
	// IsLinked reports whether this node is linked to others, if there are any.
	IsLinked func() bool
	// IsLocalLink reports whether a link leads to a node of the same zone.
	IsLocalLink func(l *peer.Link) bool
	// OnChange is called when the lanes of targets have changed.
	OnChange func()
	Logger   *zap.Logger
	Metrics  *metrics.Rollouts
}

// Exchange holds the roll-outs of a node's services, and exchanges them with its peers.
type Exchange struct {
	hub      *peer.Hub
	settings Settings
	wake     chan struct{}

	// isDeciding reports whether decide runs.
	isDeciding atomic.Bool

	mu       sync.Mutex
	services map[service.Name]*rollout.Service
	// received holds the samples of peers to pass on with the next message.
	received []receivedSamples
}

// receivedSamples are samples that a peer sent.
type receivedSamples struct {
	service *rollout.Service
	samples []rollout.Sample
	from    *peer.Link
}

// NewExchange returns an exchange without services.
func NewExchange(hub *peer.Hub, s Settings) *Exchange {
	return &Exchange{hub: hub, settings: s, wake: make(chan struct{}, 1), services: map[service.Name]*rollout.Service{}}
}

// Service returns the roll-out of a service, which it creates if there is none.
func (x *Exchange) Service(name service.Name) *rollout.Service {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.services[name]
	if s == nil {
		s = &rollout.Service{Bounds: x.settings.Bounds, Node: x.settings.Node}
		x.services[name] = s
	}
	return s
}

// all returns the roll-outs of all services that have an order.
func (x *Exchange) all() (services []*rollout.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.services {
		if _, ok := s.State(); ok {
			services = append(services, s)
		}
	}
	return services
}

// Apply sets the order of a service, nil for none, and returns the lanes of its targets and
// whether they may change by time alone. operatorReadAt is when the operator topic was last
// read.
func (x *Exchange) Apply(name service.Name, o *rollout.Order, targets []vm.VM, f rollout.Fleet, now, operatorReadAt time.Time) (lanes map[vm.ID]target.Lane, recheck bool) {
	s := x.Service(name)
	if s.SetOrder(o, f, now) {
		event.RolloutOrdered.Log(x.settings.Logger, zap.String("service", string(name)), zap.String("to", string(o.Version)), zap.Duration("within", o.Duration))
		x.notify()
	}
	return s.Lanes(targets, now, operatorReadAt)
}

// notify wakes Run.
func (x *Exchange) notify() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Receive applies the reports in a peer's message and passes on what is new.
func (x *Exchange) Receive(m peer.Message, from *peer.Link) {
	now := time.Now()
	for _, r := range m.Rollouts {
		s := x.Service(r.Service)
		if s.Advance(r.ID, r.Phase, r.StartedAt(now), now) {
			x.announce(s, false, from)
		}
		if added := s.AddSamples(r.ID, r.Decoded(now)); len(added) > 0 {
			x.mu.Lock()
			x.received = append(x.received, receivedSamples{s, added, from})
			x.mu.Unlock()
			x.notify()
		}
	}
}

// advance changes the phase of an order and announces it.
func (x *Exchange) advance(s *rollout.Service, id rollout.OrderID, p rollout.Phase, startedAt time.Time) {
	if s.Advance(id, p, startedAt, time.Now()) {
		x.announce(s, true, nil)
	}
}

// announce logs a phase, sends it to all peers but one, and applies it to the targets. isOwn
// reports whether this node decided it.
func (x *Exchange) announce(s *rollout.Service, isOwn bool, except *peer.Link) {
	sum, ok := s.Summary()
	if !ok {
		return
	}
	x.hub.Broadcast(peer.Message{Rollouts: []rollout.Report{rollout.NewReport(sum.State, nil, time.Now())}}, except)
	logPhase(x.settings.Logger, sum, isOwn)
	x.settings.OnChange()
	x.notify()
}

// logPhase logs the phase of an order with the figures behind it.
func logPhase(logger *zap.Logger, sum rollout.Summary, isOwn bool) {
	v := sum.Verdict
	fields := []zap.Field{
		zap.String("service", string(sum.Order.Service)), zap.String("to", string(sum.Order.Version)), zap.Stringer("phase", sum.Phase), zap.Bool("own", isOwn),
		zap.Int64("age-ms", time.Since(sum.StartedAt).Milliseconds()), zap.Int("samples", sum.NewSamples), zap.Int("paired", sum.PairedSamples),
		zap.Int("nodes", sum.NodeCount), zap.Int("targets", sum.TargetCount),
	}
	if v.IsBad {
		fields = append(fields, zap.Bool("slow", v.IsSlow), zap.Int("bad", v.NewBad), zap.Int("of", v.NewCount), zap.Int("paired-bad", v.PairedBad), zap.Int("paired-of", v.PairedCount),
			zap.Int("bad-targets", v.BadTargets), zap.Int("tried-targets", v.TriedTargets), zap.Float64("evidence", v.Evidence))
	}
	event.RolloutPhase.Log(logger, fields...)
}

// States returns the states of all orders, for a periodic message.
func (x *Exchange) States(now time.Time) (reports []rollout.Report) {
	for _, s := range x.all() {
		if state, ok := s.State(); ok && state.Phase != rollout.Pending {
			reports = append(reports, rollout.NewReport(state, nil, now))
		}
	}
	return reports
}

// SendAll sends all states and samples over a new link.
func (x *Exchange) SendAll(l *peer.Link) {
	for _, s := range x.all() {
		x.sendSamples(l, s, s.Samples())
	}
}

// sendSamples sends the state of an order and samples over a link.
func (x *Exchange) sendSamples(l *peer.Link, s *rollout.Service, samples []rollout.Sample) {
	state, ok := s.State()
	if !ok {
		return
	}
	for {
		n := min(len(samples), maxSamplesPerMessage)
		l.Send(peer.Message{Rollouts: []rollout.Report{rollout.NewReport(state, samples[:n], time.Now())}})
		if samples = samples[n:]; len(samples) == 0 {
			return
		}
	}
}

// Run judges the roll-outs and sends samples until ctx ends. Without an order it waits.
func (x *Exchange) Run(ctx context.Context) {
	var sentAt time.Time
	for ctx.Err() == nil {
		isRunning := false
		for _, s := range x.all() {
			if s.Judge(time.Now()) {
				x.announce(s, true, nil)
			}
			state, _ := s.State()
			isRunning = isRunning || !state.Phase.IsFinal()
		}
		if time.Since(sentAt) >= batchInterval {
			x.sendBatch()
			sentAt = time.Now()
		}
		x.updateMetrics()
		if isRunning {
			x.startDecider(ctx)
			pause.For(ctx, checkInterval)
			continue
		}
		select {
		case <-x.wake:
		case <-ctx.Done():
		}
	}
}

// sendBatch sends the samples since the last batch, its own and those of peers, to the links
// of batchLinks.
func (x *Exchange) sendBatch() {
	x.mu.Lock()
	batch := x.received
	x.received = nil
	x.mu.Unlock()
	for _, s := range x.all() {
		if own := s.TakeOutbox(); len(own) > 0 {
			batch = append(batch, receivedSamples{service: s, samples: own})
		}
	}
	if len(batch) == 0 {
		return
	}
	for _, l := range x.batchLinks() {
		byService := map[*rollout.Service][]rollout.Sample{}
		for _, b := range batch {
			if b.from != l {
				byService[b.service] = append(byService[b.service], b.samples...)
			}
		}
		for s, samples := range byService {
			x.sendSamples(l, s, samples)
		}
	}
}

// batchLinks returns the links for one batch: all to other zones, of which few nodes have any,
// and sampleFanOut within the zone.
func (x *Exchange) batchLinks() (links []*peer.Link) {
	local := 0
	all := x.hub.Links()
	for _, i := range rand.Perm(len(all)) {
		if x.settings.IsLocalLink(all[i]) {
			if local++; local > sampleFanOut {
				continue
			}
		}
		links = append(links, all[i])
	}
	return links
}

// updateMetrics sets the gauges of all orders.
func (x *Exchange) updateMetrics() {
	for _, s := range x.all() {
		if sum, ok := s.Summary(); ok {
			x.settings.Metrics.Update(metrics.RolloutState{Service: sum.Order.Service, Phase: int(sum.Phase), NewSamples: sum.NewSamples, PairedSamples: sum.PairedSamples, TargetCount: sum.TargetCount})
		}
	}
}
