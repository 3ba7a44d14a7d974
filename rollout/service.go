package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// minNewSamples is the number of samples of the new version without which the move
	// does not begin.
	minNewSamples = 12
	// minSlotShare is the least number of slots of the new version's targets, as a share
	// of the old ones, with which the move begins.
	minSlotShare = 0.5
	// placedAfter is the time after which an order counts as carried out because only
	// targets of its version are listed.
	placedAfter = 10 * time.Second
	// verdictInterval is the least time between two verdicts.
	verdictInterval = 400 * time.Millisecond
)

// State is the state of an order.
type State struct {
	Order Order
	Phase Phase
	// StartedAt is when the fleet learned of the order, and ChangedAt when this node
	// learned of the phase.
	StartedAt, ChangedAt time.Time
	// Verdict is the verdict of this node that stopped the roll-out; zero if another
	// node's did.
	Verdict Verdict
}

// Service is the roll-out of one service as one node sees it. It is safe for concurrent use.
type Service struct {
	// Bounds must not change after the first use.
	Bounds Bounds
	// Node identifies the node's process in samples.
	Node uint32

	// isActive reports whether calls need a decision.
	isActive atomic.Bool
	// number is the number of the last sample of this node.
	number atomic.Uint32

	mu       sync.Mutex
	hasOrder bool
	state    State
	// received is a state from a peer of an order that this node has not read yet.
	received State
	// rejected are the versions that an order named and that did not get in place.
	rejected map[Version]bool
	// listedSince is when each version was first listed; versions of the first list are
	// not held back.
	listedSince map[Version]time.Time
	// canaries are the usable targets of the new version, in the order of their turns.
	canaries            []vm.ID
	newSlots, oldSlots  int
	hasOthers           bool
	log                 sampleLog
	judgedAt            time.Time
	judgedCount         int
	outbox              []Sample
	shares, pairsWanted map[profile.Name]float64
	callTimeout         time.Duration
	// fleetSize is the number of nodes that share maxSamplesPerSecond; sampleTokens and
	// sampledAt are the state of this node's part.
	fleetSize    int
	sampleTokens float64
	sampledAt    time.Time
}

// Fleet holds what a roll-out depends on besides its order.
type Fleet struct {
	// CallTimeout is the longest timeout of the service's calls.
	CallTimeout time.Duration
	// NodeCount is the number of nodes of the fleet.
	NodeCount int
}

// SetOrder sets the order that the operator's records hold; nil if there is none. It reports
// whether the order is new.
func (s *Service) SetOrder(o *Order, f Fleet, now time.Time) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callTimeout, s.fleetSize = f.CallTimeout, f.NodeCount
	if o == nil && !s.hasOrder || o != nil && s.hasOrder && o.ID == s.state.Order.ID {
		return false
	}
	if s.hasOrder && s.state.Phase != Succeeded {
		s.reject(s.state.Order.Version)
	}
	s.hasOrder = o != nil
	s.log, s.outbox, s.judgedCount = sampleLog{}, nil, 0
	s.state = State{}
	if o == nil {
		s.isActive.Store(false)
		return false
	}
	delete(s.rejected, o.Version)
	s.state = State{Order: *o, StartedAt: now, ChangedAt: now}
	if s.received.Order.ID == o.ID {
		s.mergeState(s.received.Phase, s.received.StartedAt, now)
	}
	s.updateActive()
	return true
}

func (s *Service) reject(v Version) {
	if s.rejected == nil {
		s.rejected = map[Version]bool{}
	}
	s.rejected[v] = true
}

// State returns the state of the order; ok is false without one.
func (s *Service) State() (state State, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.hasOrder
}

// Advance changes the phase of an order to a later one and reports whether it did.
func (s *Service) Advance(id OrderID, p Phase, startedAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOrder || s.state.Order.ID != id {
		s.received = State{Order: Order{ID: id}, Phase: p, StartedAt: startedAt}
		return false
	}
	return s.mergeState(p, startedAt, now)
}

// mergeState merges a phase and the time of the order's start. s.mu must be held.
func (s *Service) mergeState(p Phase, startedAt, now time.Time) (hasAdvanced bool) {
	if !startedAt.IsZero() && startedAt.Before(s.state.StartedAt) {
		s.state.StartedAt = startedAt
	}
	if !p.isValid() || p <= s.state.Phase {
		return false
	}
	s.state.Phase, s.state.ChangedAt = p, now
	s.updateActive()
	return true
}

// updateActive sets isActive. s.mu must be held.
func (s *Service) updateActive() {
	s.isActive.Store(s.hasOrder && (s.state.Phase == Observing || s.state.Phase == Moving))
}

// Judge stops the roll-out if the samples show that the version is bad. It reports whether
// it did.
func (s *Service) Judge(now time.Time) (isStopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isOpen := s.hasOrder && (s.state.Phase == Observing || s.state.Phase == Moving)
	if !isOpen || len(s.log.samples) == s.judgedCount || now.Sub(s.judgedAt) < verdictInterval {
		return false
	}
	s.judgedAt, s.judgedCount = now, len(s.log.samples)
	v := judge(&s.log, len(s.canaries), now)
	if !v.IsBad {
		return false
	}
	s.state.Verdict = v
	return s.mergeState(Stopped, time.Time{}, now)
}

// CanMove reports whether the node that decides may begin the move: its time has come, and
// the version was observed enough and has the targets for it.
func (s *Service) CanMove(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOrder || s.state.Phase != Observing {
		return false
	}
	age := now.Sub(s.state.StartedAt)
	if !s.hasOthers && len(s.canaries) > 0 {
		return age >= placedAfter
	}
	hasRoom := float64(s.newSlots) >= minSlotShare*float64(s.oldSlots) && len(s.canaries) > 0
	return age >= s.state.Order.moveAfter(s.callTimeout) && hasRoom && s.log.newCount() >= minNewSamples
}

// HasSettled reports whether the move has had the time to reach all nodes and to let the
// calls at old targets end, so that the success may be written.
func (s *Service) HasSettled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasOrder && s.state.Phase == Moving && now.Sub(s.state.ChangedAt) >= settleTime(s.callTimeout)
}

// Summary holds the figures of an order for logs and gauges.
type Summary struct {
	State
	// NewSamples and PairedSamples are the numbers of samples of the new version and of
	// the old one, NodeCount that of the nodes that made them.
	NewSamples, PairedSamples, NodeCount int
	// TargetCount is the number of usable targets of the new version.
	TargetCount int
}

// Summary returns the figures of the order; ok is false without one.
func (s *Service) Summary() (sum Summary, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := map[uint32]bool{}
	for i := range s.log.samples {
		nodes[s.log.samples[i].Node] = true
	}
	n := s.log.newCount()
	return Summary{State: s.state, NewSamples: n, PairedSamples: len(s.log.samples) - n, NodeCount: len(nodes), TargetCount: len(s.canaries)}, s.hasOrder
}
