package rollout

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// minNewSamples is the number of samples of the new version without which the move
	// does not begin.
	minNewSamples = 12
	// minSlotShare is the least number of slots of the new version's targets, as a share
	// of the old ones, with which the move begins.
	minSlotShare = 0.5
	// turnInterval is the time for which the same targets get the calls of the new
	// version.
	turnInterval = time.Second
	// turnTargets is the number of targets that get these calls: few, so that they are
	// full at times.
	turnTargets = 3
	// maxSamplesPerSecond bounds the samples of the new version that the whole fleet
	// exchanges, and maxSavedSamples those that a node may make at once.
	maxSamplesPerSecond = 40
	maxSavedSamples     = 3.0
	// maxSaved is the number of calls that a route may send later because no target of
	// the new version was free.
	maxSaved = 2.0
	// unlistedRetention is how long after a success targets of other versions are kept
	// from use. They stop at once, and their records expire within seconds.
	unlistedRetention = 15 * time.Second
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

// Lanes returns the lane of each target by its ID; nil if calls may use all of them.
// operatorReadAt is when the operator topic was last read. With recheck, the result may
// change by time alone.
func (s *Service) Lanes(targets []vm.VM, now, operatorReadAt time.Time) (lanes map[vm.ID]target.Lane, recheck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.holdUnknown(targets, now, operatorReadAt)
	s.countTargets(targets)
	if !s.hasOrder && len(s.rejected) == 0 && len(held) == 0 {
		return nil, false
	}
	lanes = make(map[vm.ID]target.Lane, len(targets))
	for _, t := range targets {
		lane := s.laneOf(Version(t.Version), now)
		if held[Version(t.Version)] && lane == target.LaneOpen {
			lane = target.LaneClosed
		}
		lanes[t.ID] = lane
	}
	return lanes, len(held) > 0 || s.hasOrder && s.state.Phase == Succeeded && now.Sub(s.state.ChangedAt) <= unlistedRetention
}

// holdUnknown returns the versions whose order may not be read yet. s.mu must be held.
func (s *Service) holdUnknown(targets []vm.VM, now, operatorReadAt time.Time) (held map[Version]bool) {
	isFirst := s.listedSince == nil
	if isFirst {
		s.listedSince = map[Version]time.Time{}
	}
	for _, t := range targets {
		v := Version(t.Version)
		since, known := s.listedSince[v]
		if !known {
			if !isFirst {
				since = now
			}
			s.listedSince[v] = since
		}
		isOrdered := s.hasOrder && v == s.state.Order.Version
		if s.Bounds.HoldUnknownVersions && !isOrdered && !operatorReadAt.After(since) {
			if held == nil {
				held = map[Version]bool{}
			}
			held[v] = true
		}
	}
	if len(held) == len(s.listedSince) {
		return nil
	}
	return held
}

// countTargets updates the usable targets of the order's version. s.mu must be held.
func (s *Service) countTargets(targets []vm.VM) {
	s.canaries = s.canaries[:0]
	s.newSlots, s.oldSlots, s.hasOthers = 0, 0, false
	for _, t := range targets {
		v := Version(t.Version)
		isNew := s.hasOrder && v == s.state.Order.Version
		if t.State != vm.StateLive {
			continue
		}
		switch {
		case isNew:
			s.canaries = append(s.canaries, t.ID)
			s.newSlots += max(1, t.Slots)
		case !s.rejected[v]:
			s.hasOthers = true
			s.oldSlots += max(1, t.Slots)
		}
	}
	seed := s.state.Order.ID.ValueHash
	slices.SortFunc(s.canaries, func(a, b vm.ID) int {
		return cmp.Compare(xxhash.Sum64String(string(a))^seed, xxhash.Sum64String(string(b))^seed)
	})
}

// laneOf returns the lane of the targets of a version. Without any live target of another
// version, a version that is not known to be bad is used. s.mu must be held.
func (s *Service) laneOf(v Version, now time.Time) target.Lane {
	isNew := s.hasOrder && v == s.state.Order.Version
	if !isNew && s.rejected[v] {
		if s.hasOthers || s.newSlots > 0 {
			return target.LaneClosed
		}
		return target.LaneOpen
	}
	if !s.hasOrder {
		return target.LaneOpen
	}
	switch s.state.Phase {
	case Pending:
		if isNew && s.hasOthers {
			return target.LaneClosed
		}
	case Observing:
		if isNew && s.hasOthers {
			return target.LaneCanary
		}
	case Moving:
		if !isNew && s.newSlots > 0 {
			return target.LaneClosed
		}
	case Succeeded:
		if !isNew && s.newSlots > 0 && now.Sub(s.state.ChangedAt) <= unlistedRetention {
			return target.LaneClosed
		}
	case Stopped, RolledBack:
		if isNew {
			return target.LaneClosed
		}
	}
	return target.LaneOpen
}

// Targets returns the targets of the new version among which a call of a route is to be
// sent; nil if it goes to the old version. The call counts as sent to the new one unless it
// is given back with Return.
func (s *Service) Targets(route profile.Name) []vm.ID {
	if !s.isActive.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Phase != Observing || len(s.canaries) == 0 || !s.hasOthers {
		return nil
	}
	if !s.takeShare(route) {
		return nil
	}
	if s.isRamp(time.Now()) {
		return slices.Clone(s.canaries)
	}
	first := int(time.Now().UnixMilli() / turnInterval.Milliseconds() % int64(len(s.canaries)))
	ids := make([]vm.ID, 0, turnTargets)
	for i := range min(turnTargets, len(s.canaries)) {
		ids = append(ids, s.canaries[(first+i)%len(s.canaries)])
	}
	return ids
}

// isRamp reports whether the move is about to begin. s.mu must be held.
func (s *Service) isRamp(now time.Time) bool {
	begin := s.state.Order.moveAfter(s.callTimeout) - s.state.Order.rampTime()
	age := now.Sub(s.state.StartedAt)
	return s.state.Phase == Observing && age >= begin && age < begin+s.state.Order.rampTime() && s.log.newCount() >= minNewSamples
}

// takeSample reports whether this node may exchange one more sample of the new version.
// s.mu must be held.
func (s *Service) takeSample(now time.Time) bool {
	perSecond := float64(maxSamplesPerSecond) / float64(max(1, s.fleetSize))
	if s.sampledAt.IsZero() {
		s.sampleTokens = maxSavedSamples
	} else {
		s.sampleTokens = min(maxSavedSamples, s.sampleTokens+perSecond*now.Sub(s.sampledAt).Seconds())
	}
	s.sampledAt = now
	if s.sampleTokens < 1 {
		return false
	}
	s.sampleTokens--
	return true
}

// takeShare counts one call of a route and reports whether it is one of those for the new
// version. A random start makes the sum over nodes with few calls each as exact as with
// many. s.mu must be held.
func (s *Service) takeShare(route profile.Name) bool {
	if s.shares == nil {
		s.shares, s.pairsWanted = map[profile.Name]float64{}, map[profile.Name]float64{}
	}
	saved, known := s.shares[route]
	if !known {
		saved = rand.Float64()
	}
	saved = min(saved+s.Bounds.callShare(s.isRamp(time.Now())), maxSaved)
	isDue := saved >= 1
	if isDue {
		saved--
	}
	s.shares[route] = saved
	return isDue
}

// Return gives back a call that no target of the new version could take.
func (s *Service) Return(route profile.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares[route] = min(s.shares[route]+1, maxSaved)
}

// RecordAttempt records how an attempt ended if it is a sample. It must not block.
func (s *Service) RecordAttempt(a target.FinishedAttempt) {
	if !s.isActive.Load() {
		return
	}
	isOpenEnded := a.Result == target.Cancelled || a.Result == target.TimedOut
	if !isOpenEnded && a.Result != target.Answered && a.Result != target.ServerFailed || a.WasCold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	route := profile.Name(a.Route)
	isNew := a.Lane == target.LaneCanary
	switch {
	case isNew:
		if !s.takeSample(a.EndedAt) {
			return
		}
		s.pairsWanted[route]++
	case s.state.Phase == Moving:
		// All calls go to the new version; a share of them are samples.
		if isNew = slices.Contains(s.canaries, a.ID) && s.takeShare(route) && s.takeSample(a.EndedAt); !isNew {
			return
		}
	case s.pairsWanted[route] >= 1:
		s.pairsWanted[route]--
	default:
		return
	}
	sample := Sample{
		Node: s.Node, Number: s.number.Add(1), Route: hash32(string(a.Route)), Target: hash32(string(a.ID)),
		IsNew: isNew, IsFailure: a.Result == target.ServerFailed, IsOpenEnded: isOpenEnded, Latency: a.Latency, Ratio: a.ForecastRatio, At: a.EndedAt,
	}
	if s.log.add(sample) {
		s.outbox = append(s.outbox, sample)
	}
}

func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// AddSamples adds samples of peers, and returns those that are new.
func (s *Service) AddSamples(id OrderID, samples []Sample) (added []Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOrder || s.state.Order.ID != id {
		return nil
	}
	for _, sample := range samples {
		if s.log.add(sample) {
			added = append(added, sample)
		}
	}
	return added
}

// TakeOutbox returns the samples of this node since the last call.
func (s *Service) TakeOutbox() (samples []Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples, s.outbox = s.outbox, nil
	return samples
}

// Samples returns all samples.
func (s *Service) Samples() []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log.samples)
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

// Rejected returns the versions that orders named and that did not get in place, sorted.
func (s *Service) Rejected() []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.rejected))
}
