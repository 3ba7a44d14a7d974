package inventory

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// OutageThreshold is the time without a read from which the store counts as
	// unreachable.
	OutageThreshold = 2500 * time.Millisecond
	// recoveryGracePeriod is the time after an outage of the store in which targets whose
	// records expired during it have to write again.
	recoveryGracePeriod = 2200 * time.Millisecond
	// NodeRetention is how long a node is kept after it was last listed.
	NodeRetention = 60 * time.Second
)

// State is a node's copy of the store's records and its list of the fleet's nodes.
type State struct {
	decoder Decoder
	logger  *zap.Logger
	self    vm.VM

	mu sync.Mutex
	// revision is the number of changes of the records and nodes, plus one.
	revision uint64
	copies   [replica.TopicCount]replica.Copy
	plan     *Plan
	// decodedPlan is the plan of the last record that validatePlan accepted.
	decodedPlan decodedPlan
	// unreadablePlanHash is the hash of the last plan that was logged as unreadable.
	unreadablePlanHash uint64
	// decodedOrders caches the decoded record of each order by key.
	decodedOrders map[string]decodedOrder
	// mismatchSince is when the copy of each topic began to differ from that of a
	// reader; zero if it does not.
	mismatchSince [replica.TopicCount]time.Time
	// decodedTargets caches the decoded record of each target by key, so that it is
	// decoded only when it changes. The entry of a deleted record stays, since the
	// target may be retained.
	decodedTargets map[string]TargetRecord
	// epochBeganAt is when this node first learned of the current epoch of each topic.
	epochBeganAt [replica.TopicCount]time.Time
	// retainedUntil maps each target whose record expired during an outage of the store
	// to the time until which it is still treated as live.
	retainedUntil map[string]time.Time
	// recoveredAt is when the store was first read again after its last outage.
	recoveredAt time.Time
	// firstMarkAt is when this node first received or set a mark of the targets topic.
	firstMarkAt time.Time
	nodes       map[vm.ID]listedNode
}

// NewState returns the state of a node that has read nothing yet.
func NewState(d Decoder, self vm.VM, logger *zap.Logger) *State {
	s := &State{revision: 1, decoder: d, self: self, logger: logger, decodedTargets: map[string]TargetRecord{}, decodedOrders: map[string]decodedOrder{}, retainedUntil: map[string]time.Time{}, nodes: map[vm.ID]listedNode{}}
	for t := range replica.TopicCount {
		s.copies[t].Rules = d.Rules(t)
	}
	s.copies[replica.Operator].Rules.Validate = s.validatePlan
	s.copies[replica.Operator].Rules.OnInvalid = s.logUnreadablePlan
	return s
}

// ApplyRecords merges records of one topic and returns those that changed it.
func (s *State) ApplyRecords(topic replica.Topic, records []replica.Record, source string, now time.Time) (changed []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.beginEpoch(topic, r.Epoch, now)
	}
	changed = s.copies[topic].Merge(records)
	s.applyChanges(topic, changed, source, now)
	return changed
}

// ApplyListing merges a complete listing of a topic and returns the records that changed
// it.
func (s *State) ApplyListing(topic replica.Topic, l replica.Listing, source string, now time.Time) (changed []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginEpoch(topic, l.Epoch, now)
	l.DropCarriedOver = s.isCarryOverExpired(topic, now)
	changed = s.copies[topic].MergeListing(l)
	s.applyChanges(topic, changed, source, now)
	return changed
}

// applyChanges updates the state that is derived from changed records. s.mu must be
// held.
func (s *State) applyChanges(topic replica.Topic, changed []replica.Record, source string, now time.Time) {
	if topic == replica.Targets {
		s.detectRecovery(now)
	}
	if len(changed) > 0 {
		s.revision++
	}
	for _, r := range changed {
		switch topic {
		case replica.Operator:
			s.applyOperatorRecord(r, source)
		case replica.Targets:
			s.applyTargetRecord(r, source, now)
		}
	}
}

func (s *State) applyTargetRecord(r replica.Record, source string, now time.Time) {
	delete(s.retainedUntil, r.Key)
	state := "gone"
	if r.Deleted {
		s.retainExpired(r.Key, now)
	} else if t, ok := s.decoder.DecodeTarget(r.Key, r.Value); ok {
		s.decodedTargets[r.Key] = t
		state = string(t.VM.State)
	} else {
		delete(s.decodedTargets, r.Key)
		state = "unreadable"
	}
	event.TargetListed.Log(s.logger, zap.String("target", r.Key), zap.String("state", state), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
}

// retainExpired keeps a live target whose record was deleted within recoveryGracePeriod
// after an outage. s.mu must be held.
func (s *State) retainExpired(key string, now time.Time) {
	if s.recoveredAt.IsZero() || now.Sub(s.recoveredAt) >= recoveryGracePeriod {
		return
	}
	if t, ok := s.decodedTargets[key]; ok && t.VM.State == vm.StateLive {
		s.retainedUntil[key] = s.recoveredAt.Add(recoveryGracePeriod)
	}
}

// Revision returns a number that rises with each change of what snapshot and
// FleetNodes return, other than by time.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Snapshot is the state that a node acts on at one time.
type Snapshot struct {
	Plan      *Plan
	Targets   []vm.VM
	Withdrawn WithdrawnZones
	// Orders holds the order of each service that is to get another version, and
	// OperatorReadAt is when the operator topic was last read.
	Orders         map[service.Name]*rollout.Order
	OperatorReadAt time.Time
	// NextChangeAt is when the next retained target is dropped; zero if there is none.
	NextChangeAt time.Time
}

// Snapshot returns the plan, the targets and the zones out of service at a given time.
func (s *State) Snapshot(now time.Time) (snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap = Snapshot{Plan: s.plan, Withdrawn: WithdrawnZones{}}
	for r := range s.copies[replica.Operator].Each {
		if z, ok := s.decoder.WithdrawnZone(r.Key); ok && !r.Deleted {
			snap.Withdrawn[z] = true
		}
		s.addOrder(r, &snap)
	}
	_, snap.OperatorReadAt = s.copies[replica.Operator].ReadPosition()
	// The targets are ordered by key: of two targets with the same address a table keeps
	// the later, which must be the same one each time.
	for _, r := range s.copies[replica.Targets].Newest() {
		if r.Deleted && !s.checkRetained(r.Key, now, &snap) {
			continue
		}
		if t, ok := s.decodedTargets[r.Key]; ok {
			v := t.VM
			v.Incarnation = t.Born
			snap.Targets = append(snap.Targets, v)
		}
	}
	return snap
}

// checkRetained reports whether a target whose record expired during an outage is still
// treated as live. It updates the snapshot's NextChangeAt if so, and deletes the target
// from retainedUntil if not. s.mu must be held.
func (s *State) checkRetained(key string, now time.Time, snap *Snapshot) bool {
	until, ok := s.retainedUntil[key]
	if !ok || !now.Before(until) {
		delete(s.retainedUntil, key)
		return false
	}
	if snap.NextChangeAt.IsZero() || until.Before(snap.NextChangeAt) {
		snap.NextChangeAt = until
	}
	return true
}

// AllRecords returns the records of all topics, deleted ones included.
func (s *State) AllRecords() (records []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range replica.TopicCount {
		records = append(records, s.copies[t].All()...)
	}
	return records
}

// completenessTimeout is how long a node waits for complete copies after the first mark,
// before it serves with the records it has.
const completenessTimeout = time.Second

// CanServe reports whether the node has a plan and complete copies of the targets and of
// the zones out of service. After completenessTimeout incomplete copies suffice.
func (s *State) CanServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.completeness()
	if !c.HasPlan || !c.HasTargetsMark {
		return false
	}
	return c.IsComplete[replica.Targets] && c.IsComplete[replica.Operator] || time.Since(s.firstMarkAt) > completenessTimeout
}
