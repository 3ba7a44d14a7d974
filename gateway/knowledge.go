package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// outageThreshold is the silence of the store from which it counts as away.
	outageThreshold = 2500 * time.Millisecond
	// recoveryGracePeriod is how long after the store's return targets whose entries
	// lapsed meanwhile have to write again.
	recoveryGracePeriod = 2200 * time.Millisecond
	// nodeRetention is how long a node stays known after it was last listed.
	nodeRetention = 60 * time.Second
)

// nodeState is what a node holds of the store's records and of the fleet.
type nodeState struct {
	decoder Decoder
	logger  *zap.Logger
	self    vm.VM

	mu     sync.Mutex
	copies [replica.Topics]replica.Copy
	plan   *Plan
	// mismatchSince is since when this node has held something else than readers.
	mismatchSince [replica.Topics]time.Time
	// planOffset is the offset of the record with the plan.
	planOffset replica.Offset
	// decodedTargets holds what each target said when it last changed, also if it is gone:
	// a record is decoded once, however often it is looked at.
	decodedTargets map[string]Target
	// retainedUntil holds targets whose entries vanished while the store was away, with
	// the instant until which they are still taken for alive.
	retainedUntil   map[string]time.Time
	recoveredAt time.Time
	// firstMarkAt is when this node first heard how far the targets were read.
	firstMarkAt time.Time
	nodes      map[vm.ID]listedNode
}

type listedNode struct {
	node vm.VM
	listedAt   time.Time
}

func newNodeState(d Decoder, self vm.VM, logger *zap.Logger) *nodeState {
	k := &nodeState{decoder: d, self: self, logger: logger, decodedTargets: map[string]Target{}, retainedUntil: map[string]time.Time{}, nodes: map[vm.ID]listedNode{}}
	k.copies[replica.Targets].Rules = d.TargetRules()
	return k
}

// applyRecords merges records of one topic and returns those that were news.
func (k *nodeState) applyRecords(topic replica.Topic, records []replica.Record, source string, now time.Time) (news []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news = k.copies[topic].Take(records)
	k.applyChanges(news, source, now)
	return news
}

// applyListing merges a whole listing of a topic.
func (k *nodeState) applyListing(topic replica.Topic, b Batch, source string, now time.Time) (news []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news = k.copies[topic].TakeListing(b.Records, b.End)
	k.applyChanges(news, source, now)
	return news
}

// mismatchTolerance is how long a difference from the reader must last before a peer
// is asked for everything: records on their way settle most of them, and in a large
// fleet everything is a lot.
const mismatchTolerance = 500 * time.Millisecond

// hasLastingMismatch notes what a reader held, and reports whether this node, which was as far or
// less, has held something else for so long that what it lacks will not come by itself.
func (k *nodeState) hasLastingMismatch(m replica.Mark, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	end, at := k.copies[m.Topic].End()
	if m.End < end {
		return false
	}
	k.copies[m.Topic].Hear(m.Digest)
	if m.Digest == k.copies[m.Topic].Digest() {
		k.mismatchSince[m.Topic] = time.Time{}
		return false
	}
	if k.mismatchSince[m.Topic].IsZero() {
		k.mismatchSince[m.Topic] = now
	}
	return at.IsZero() || now.Sub(k.mismatchSince[m.Topic]) > mismatchTolerance
}

// applyMark notes how far and when the store was applyMark; it reports whether that was
// news.
func (k *nodeState) applyMark(m replica.Mark, at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	topic := m.Topic
	if topic == replica.Targets && k.firstMarkAt.IsZero() {
		k.firstMarkAt = time.Now()
	}
	k.detectRecovery(at)
	return k.copies[topic].Read(m.End, at, m.Reader)
}

// detectRecovery notes that the store answers again after an outage. The lock must be
// held.
func (k *nodeState) detectRecovery(at time.Time) {
	_, before := k.copies[replica.Targets].End()
	if !before.IsZero() && at.Sub(before) > outageThreshold && at.Sub(k.recoveredAt) > outageThreshold {
		k.recoveredAt = at
	}
}

// applyChanges follows news with what depends on it. The lock must be held.
func (k *nodeState) applyChanges(news []replica.Record, source string, now time.Time) {
	k.detectRecovery(now)
	for _, r := range news {
		switch r.Topic {
		case replica.Operator:
			k.applyOperatorRecord(r, source)
		case replica.Targets:
			k.applyTargetRecord(r, source, now)
		}
	}
}

func (k *nodeState) applyOperatorRecord(r replica.Record, source string) {
	if z, ok := k.decoder.Withdrawn(r.Key); ok {
		event.ZoneOutOfService.Log(k.logger, zap.String("zone", string(z)), zap.Bool("out", !r.Gone), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
		return
	}
	if !k.decoder.IsPlan(r.Key) || r.Gone {
		return
	}
	plan, err := k.decoder.Plan(r.Value)
	if err != nil {
		event.PlanUnreadable.Log(k.logger, zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source), zap.Error(err))
		return
	}
	if k.plan != nil && plan.Version <= k.plan.Version {
		event.PlanOutdated.Log(k.logger, zap.Int64("version", int64(plan.Version)), zap.Int64("in-force", int64(k.plan.Version)), zap.Uint64("offset", uint64(r.Offset)))
		return
	}
	k.plan, k.planOffset = plan, r.Offset
	event.PlanInForce.Log(k.logger, zap.Int64("version", int64(plan.Version)), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
}

func (k *nodeState) applyTargetRecord(r replica.Record, source string, now time.Time) {
	delete(k.retainedUntil, r.Key)
	state := "gone"
	if r.Gone {
		k.retainExpired(r.Key, now)
	} else if t, ok := k.decoder.Target(r.Key, r.Value); ok {
		k.decodedTargets[r.Key] = t
		state = string(t.VM.State)
	} else {
		delete(k.decodedTargets, r.Key)
		state = "unreadable"
	}
	event.TargetListed.Log(k.logger, zap.String("target", r.Key), zap.String("state", state), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
}

// retainExpired notes that a target's entry went. The lock must be held.
func (k *nodeState) retainExpired(key string, now time.Time) {
	if k.recoveredAt.IsZero() || now.Sub(k.recoveredAt) >= recoveryGracePeriod {
		return
	}
	if t, ok := k.decodedTargets[key]; ok && t.VM.State == vm.StateLive {
		k.retainedUntil[key] = k.recoveredAt.Add(recoveryGracePeriod)
	}
}

// snapshot is what a node acts on.
type snapshot struct {
	plan      *Plan
	targets   []vm.VM
	withdrawn withdrawnZones
	// nextChangeAt is when something changes by itself; zero if nothing does.
	nextChangeAt time.Time
}

// snapshot returns what is in force at an instant.
func (k *nodeState) snapshot(now time.Time) (v snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v = snapshot{plan: k.plan, withdrawn: withdrawnZones{}}
	for r := range k.copies[replica.Operator].Each {
		if z, ok := k.decoder.Withdrawn(r.Key); ok && !r.Gone {
			v.withdrawn[z] = true
		}
	}
	// The order by key stays, so that of two targets on one address, of which a table
	// keeps the later, it is the same one each time.
	for _, r := range k.copies[replica.Targets].All() {
		if r.Gone && !k.isRetained(r.Key, now, &v) {
			continue
		}
		if t, ok := k.decodedTargets[r.Key]; ok {
			v.targets = append(v.targets, t.VM)
		}
	}
	return v
}

// isRetained reports whether a target whose entry lapsed during an outage is
// still taken for alive. The lock must be held.
func (k *nodeState) isRetained(key string, now time.Time, v *snapshot) bool {
	until, lapsed := k.retainedUntil[key]
	if !lapsed || !now.Before(until) {
		delete(k.retainedUntil, key)
		return false
	}
	if v.nextChangeAt.IsZero() || until.Before(v.nextChangeAt) {
		v.nextChangeAt = until
	}
	return true
}

// allRecords returns allRecords records that this node holds.
func (k *nodeState) allRecords() (records []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for t := range replica.Topics {
		records = append(records, k.copies[t].All()...)
	}
	return records
}

// marksLocked returns how far and when the store was read, for topics that this node holds
// whole: nobody can learn from it that something is missing. The lock must be held.
func (k *nodeState) marksLocked(now time.Time) (marks []replica.Mark) {
	for t := range replica.Topics {
		end, at := k.copies[t].End()
		if !at.IsZero() && k.copies[t].Whole() {
			marks = append(marks, replica.Mark{Topic: t, End: end, Age: peer.AgeOf(now.Sub(at)), Reader: k.copies[t].Reader(), Digest: k.copies[t].Digest()})
		}
	}
	return marks
}

// marks returns how far and when the store was read.
func (k *nodeState) marks(now time.Time) []replica.Mark {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.marksLocked(now)
}

// readPosition returns where a topic is to be read from, and when it was read last.
func (k *nodeState) readPosition(topic replica.Topic) (end replica.Offset, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[topic].End()
}

// hasLowerReader reports whether a node with a lower number read last.
func (k *nodeState) hasLowerReader(self replica.Reader) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[replica.Targets].Reader() < self
}

// oldestReadAt is since when one of the topics has not been read.
func (k *nodeState) oldestReadAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := time.Now()
	for t := range replica.Topics {
		if _, at := k.copies[t].End(); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// confirmRead notes that nothing was added to a topic until an instant.
func (k *nodeState) confirmRead(topic replica.Topic, by replica.Reader, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	end, _ := k.copies[topic].End()
	k.copies[topic].Read(end, at, by)
}

// completenessTimeout is how long a node that has heard of a reader waits for all that this
// one held before it serves by what it has.
const completenessTimeout = time.Second

// canServe reports whether the node knows enough to serve: a plan, and all targets and
// zones out of service.
func (k *nodeState) canServe() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan == nil || k.firstMarkAt.IsZero() {
		return false
	}
	whole := k.copies[replica.Targets].Whole() && k.copies[replica.Operator].Whole()
	return whole || time.Since(k.firstMarkAt) > completenessTimeout
}

// isComplete reports whether the node has once held all of a topic.
func (k *nodeState) isComplete(topic replica.Topic) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[topic].Whole()
}

// addNodes notes the nodes of the fleet; it reports whether some were new.
func (k *nodeState) addNodes(nodes []vm.VM, now time.Time) (news bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range nodes {
		if _, known := k.nodes[n.ID]; !known {
			news = true
		}
		k.nodes[n.ID] = listedNode{node: n, listedAt: now}
	}
	return news
}

// listedNodesLocked returns the nodes listed lately. The lock must be held.
func (k *nodeState) listedNodesLocked(now time.Time) (nodes []vm.VM) {
	for id, n := range k.nodes {
		if now.Sub(n.listedAt) > nodeRetention {
			delete(k.nodes, id)
			continue
		}
		nodes = append(nodes, n.node)
	}
	return nodes
}

// fleetNodes returns the nodes listed lately, this one included.
func (k *nodeState) fleetNodes(now time.Time) []vm.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	nodes := k.listedNodesLocked(now)
	for _, n := range nodes {
		if n.ID == k.self.ID {
			return nodes
		}
	}
	return append(nodes, k.self)
}
