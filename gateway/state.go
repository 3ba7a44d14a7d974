package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// outageThreshold is the time without a read from which the store counts as
	// unreachable.
	outageThreshold = 2500 * time.Millisecond
	// recoveryGracePeriod is the time after an outage of the store in which targets whose
	// records expired during it have to write again.
	recoveryGracePeriod = 2200 * time.Millisecond
	// nodeRetention is how long a node is kept after it was last listed.
	nodeRetention = 60 * time.Second
)

// nodeState is a node's copy of the store's records and its list of the fleet's nodes.
type nodeState struct {
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

func newNodeState(d Decoder, self vm.VM, logger *zap.Logger) *nodeState {
	s := &nodeState{revision: 1, decoder: d, self: self, logger: logger, decodedTargets: map[string]TargetRecord{}, retainedUntil: map[string]time.Time{}, nodes: map[vm.ID]listedNode{}}
	for t := range replica.TopicCount {
		s.copies[t].Rules = d.Rules(t)
	}
	s.copies[replica.Operator].Rules.Validate = s.validatePlan
	s.copies[replica.Operator].Rules.OnInvalid = s.logUnreadablePlan
	return s
}

// applyRecords merges records of one topic and returns those that changed it.
func (s *nodeState) applyRecords(topic replica.Topic, records []replica.Record, source string, now time.Time) (changed []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.beginEpoch(topic, r.Epoch, now)
	}
	changed = s.copies[topic].Merge(records)
	s.applyChanges(topic, changed, source, now)
	return changed
}

// applyListing merges a complete listing of a topic and returns the records that changed
// it.
func (s *nodeState) applyListing(topic replica.Topic, b Batch, source string, now time.Time) (changed []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginEpoch(topic, b.Epoch, now)
	changed = s.copies[topic].MergeListing(replica.Listing{
		Records: b.Records, EndOffset: b.EndOffset, Epoch: b.Epoch, DropCarriedOver: s.isCarryOverExpired(topic, now),
	})
	s.applyChanges(topic, changed, source, now)
	return changed
}

// mismatchTolerance is how long a copy of the targets must differ from that of the reader
// before all records are requested from a peer. Records in transit resolve most
// differences, and all records of a large fleet are a long message. Operators write rarely
// and send records before marks, so a difference in their topic is a lost record.
var mismatchTolerance = [replica.TopicCount]time.Duration{replica.Targets: 500 * time.Millisecond}

// detectLastingMismatch compares the digest of a copy with that of a reader that has read
// at least as far; a mark of an earlier offset is ignored. It reports whether they have
// differed for mismatchTolerance, or differ at all if the copy has no mark yet.
func (s *nodeState) detectLastingMismatch(m replica.ReadMark, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies[m.Topic].IsBefore(m) {
		return false
	}
	s.beginEpoch(m.Topic, m.Epoch, now)
	_, readAt := s.copies[m.Topic].ReadPosition()
	if s.copies[m.Topic].CompareDigest(m) {
		s.mismatchSince[m.Topic] = time.Time{}
		return false
	}
	if s.mismatchSince[m.Topic].IsZero() {
		s.mismatchSince[m.Topic] = now
	}
	return readAt.IsZero() || now.Sub(s.mismatchSince[m.Topic]) >= mismatchTolerance[m.Topic]
}

// applyMark records up to which offset and when a peer has read the store, and reports
// whether the mark is new.
func (s *nodeState) applyMark(m replica.ReadMark, readAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepareMark(m, readAt)
	return s.copies[m.Topic].AdvanceReadMark(m, readAt)
}

// finishRead records up to which offset this node has read the store and merged the
// records.
func (s *nodeState) finishRead(m replica.ReadMark, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepareMark(m, readAt)
	s.copies[m.Topic].FinishRead(m, readAt)
}

// prepareMark updates what follows from a mark other than its copy. s.mu must be held.
func (s *nodeState) prepareMark(m replica.ReadMark, readAt time.Time) {
	if m.Topic == replica.Targets {
		if s.firstMarkAt.IsZero() {
			s.firstMarkAt = time.Now()
		}
		s.detectRecovery(readAt)
	}
	s.beginEpoch(m.Topic, m.Epoch, readAt)
}

// detectRecovery sets recoveredAt if a read of the targets at readAt is the first after an
// outage of their topic. s.mu must be held.
func (s *nodeState) detectRecovery(readAt time.Time) {
	_, lastReadAt := s.copies[replica.Targets].ReadPosition()
	if !lastReadAt.IsZero() && readAt.Sub(lastReadAt) > outageThreshold && readAt.Sub(s.recoveredAt) > outageThreshold {
		s.recoveredAt = readAt
	}
}

// applyChanges updates the state that is derived from changed records. s.mu must be
// held.
func (s *nodeState) applyChanges(topic replica.Topic, changed []replica.Record, source string, now time.Time) {
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

func (s *nodeState) applyTargetRecord(r replica.Record, source string, now time.Time) {
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
func (s *nodeState) retainExpired(key string, now time.Time) {
	if s.recoveredAt.IsZero() || now.Sub(s.recoveredAt) >= recoveryGracePeriod {
		return
	}
	if t, ok := s.decodedTargets[key]; ok && t.VM.State == vm.StateLive {
		s.retainedUntil[key] = s.recoveredAt.Add(recoveryGracePeriod)
	}
}

// currentRevision returns a number that rises with each change of what snapshot and
// fleetNodes return, other than by time.
func (s *nodeState) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// snapshot is the state that a node acts on at one time.
type snapshot struct {
	plan      *Plan
	targets   []vm.VM
	withdrawn withdrawnZones
	// orders holds the order of each service that is to get another version, and
	// operatorReadAt is when the operator topic was last read.
	orders         map[service.Name]*rollout.Order
	operatorReadAt time.Time
	// nextChangeAt is when the next retained target is dropped; zero if there is none.
	nextChangeAt time.Time
}

// snapshot returns the plan, the targets and the zones out of service at a given time.
func (s *nodeState) snapshot(now time.Time) (snap snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap = snapshot{plan: s.plan, withdrawn: withdrawnZones{}}
	for r := range s.copies[replica.Operator].Each {
		if z, ok := s.decoder.WithdrawnZone(r.Key); ok && !r.Deleted {
			snap.withdrawn[z] = true
		}
		s.addOrder(r, &snap)
	}
	_, snap.operatorReadAt = s.copies[replica.Operator].ReadPosition()
	// The targets are ordered by key: of two targets with the same address a table keeps
	// the later, which must be the same one each time.
	for _, r := range s.copies[replica.Targets].Newest() {
		if r.Deleted && !s.checkRetained(r.Key, now, &snap) {
			continue
		}
		if t, ok := s.decodedTargets[r.Key]; ok {
			v := t.VM
			v.Incarnation = t.Born
			snap.targets = append(snap.targets, v)
		}
	}
	return snap
}

// checkRetained reports whether a target whose record expired during an outage is still
// treated as live. It updates the snapshot's nextChangeAt if so, and deletes the target
// from retainedUntil if not. s.mu must be held.
func (s *nodeState) checkRetained(key string, now time.Time, snap *snapshot) bool {
	until, ok := s.retainedUntil[key]
	if !ok || !now.Before(until) {
		delete(s.retainedUntil, key)
		return false
	}
	if snap.nextChangeAt.IsZero() || until.Before(snap.nextChangeAt) {
		snap.nextChangeAt = until
	}
	return true
}

// allRecords returns the records of all topics, deleted ones included.
func (s *nodeState) allRecords() (records []replica.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range replica.TopicCount {
		records = append(records, s.copies[t].All()...)
	}
	return records
}

// marks returns the marks of those topics whose copy is complete and holds what the mark
// covers. Peers compare digests to find out whether they miss records, and the digest of
// any other copy cannot show that.
func (s *nodeState) marks(now time.Time, topics ...replica.Topic) (marks []replica.ReadMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		c := &s.copies[t]
		if _, readAt := c.ReadPosition(); !readAt.IsZero() && c.HasBeenComplete() && c.IsCurrent() {
			marks = append(marks, replica.ReadMark{Topic: t, EndOffset: c.MarkedEnd(), AgeMillis: peer.Milliseconds(now.Sub(readAt)), Reader: c.LastReader(), Digest: c.Digest(), Epoch: c.Epoch()})
		}
	}
	return marks
}

// readPosition returns the offset from which to read a topic, before which this node holds
// all records, and when it was last read.
func (s *nodeState) readPosition(topic replica.Topic) (end replica.Offset, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].ReadPosition()
}

// hasLowerReader reports whether the last reader of a topic has a lower ID than self.
func (s *nodeState) hasLowerReader(topic replica.Topic, self replica.ReaderID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].LastReader() < self
}

// markAge returns the time since the last read of a topic that this node knows of.
func (s *nodeState) markAge(topic replica.Topic, now time.Time) time.Duration {
	_, readAt := s.readPosition(topic)
	return now.Sub(readAt)
}

// completenessTimeout is how long a node waits for complete copies after the first mark,
// before it serves with the records it has.
const completenessTimeout = time.Second

// canServe reports whether the node has a plan and complete copies of the targets and of
// the zones out of service. After completenessTimeout incomplete copies suffice.
func (s *nodeState) canServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil || s.firstMarkAt.IsZero() {
		return false
	}
	complete := s.copies[replica.Targets].HasBeenComplete() && s.copies[replica.Operator].HasBeenComplete()
	return complete || time.Since(s.firstMarkAt) > completenessTimeout
}
