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
	// outageAfter is the silence of the store from which it counts as away.
	outageAfter = 2500 * time.Millisecond
	// returnGrace is how long after the store's return targets whose entries
	// lapsed meanwhile have to write again.
	returnGrace = 2200 * time.Millisecond
	// rememberNodes is how long a node stays known after it was last listed.
	rememberNodes = 60 * time.Second
)

// knowledge is what a node holds of the store's records and of the fleet.
type knowledge struct {
	decoder Decoder
	logger  *zap.Logger
	self    vm.VM

	mu     sync.Mutex
	copies [replica.TopicCount]replica.Copy
	plan   *Plan
	// differsSince is since when this node has held something else than readers.
	differsSince [replica.TopicCount]time.Time
	// planAt is the offset of the record with the plan.
	planAt replica.Offset
	// targets holds what each target said when it last changed, also if it is gone:
	// a record is decoded once, however often it is looked at.
	targets map[string]TargetRecord
	// lapsed holds targets whose entries vanished while the store was away, with
	// the instant until which they are still taken for alive.
	lapsed   map[string]time.Time
	returned time.Time
	// heardSince is when this node first heard how far the targets were read.
	heardSince time.Time
	nodes      map[vm.ID]listedNode
}

type listedNode struct {
	node vm.VM
	at   time.Time
}

func newKnowledge(d Decoder, self vm.VM, logger *zap.Logger) *knowledge {
	k := &knowledge{decoder: d, self: self, logger: logger, targets: map[string]TargetRecord{}, lapsed: map[string]time.Time{}, nodes: map[vm.ID]listedNode{}}
	k.copies[replica.Targets].Rules = d.TargetRules()
	return k
}

// take merges records of one topic and returns those that were news.
func (k *knowledge) take(topic replica.Topic, records []replica.Record, source string, now time.Time) (news []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news = k.copies[topic].Merge(records)
	k.learn(news, source, now)
	return news
}

// takeListing merges a whole listing of a topic.
func (k *knowledge) takeListing(topic replica.Topic, b Batch, source string, now time.Time) (news []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news = k.copies[topic].MergeListing(b.Records, b.EndOffset)
	k.learn(news, source, now)
	return news
}

// differenceLasts is how long a difference from the reader must last before a peer
// is asked for everything: records on their way settle most of them, and in a large
// fleet everything is a lot.
const differenceLasts = 500 * time.Millisecond

// differs notes what a reader held, and reports whether this node, which was as far or
// less, has held something else for so long that what it lacks will not come by itself.
func (k *knowledge) differs(m replica.ReadMark, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	end, at := k.copies[m.Topic].ReadPosition()
	if m.EndOffset < end {
		return false
	}
	k.copies[m.Topic].SetReaderDigest(m.Digest)
	if m.Digest == k.copies[m.Topic].Digest() {
		k.differsSince[m.Topic] = time.Time{}
		return false
	}
	if k.differsSince[m.Topic].IsZero() {
		k.differsSince[m.Topic] = now
	}
	return at.IsZero() || now.Sub(k.differsSince[m.Topic]) > differenceLasts
}

// read notes how far and when the store was read; it reports whether that was
// news.
func (k *knowledge) read(m replica.ReadMark, at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	topic := m.Topic
	if topic == replica.Targets && k.heardSince.IsZero() {
		k.heardSince = time.Now()
	}
	k.noteReturn(at)
	return k.copies[topic].AdvanceReadMark(m.EndOffset, at, m.Reader)
}

// noteReturn notes that the store answers again after an outage. The lock must be
// held.
func (k *knowledge) noteReturn(at time.Time) {
	_, before := k.copies[replica.Targets].ReadPosition()
	if !before.IsZero() && at.Sub(before) > outageAfter && at.Sub(k.returned) > outageAfter {
		k.returned = at
	}
}

// learn follows news with what depends on it. The lock must be held.
func (k *knowledge) learn(news []replica.Record, source string, now time.Time) {
	k.noteReturn(now)
	for _, r := range news {
		switch r.Topic {
		case replica.Operator:
			k.learnOperator(r, source)
		case replica.Targets:
			k.learnTarget(r, source, now)
		}
	}
}

func (k *knowledge) learnOperator(r replica.Record, source string) {
	if z, ok := k.decoder.WithdrawnZone(r.Key); ok {
		event.ZoneOutOfService.Log(k.logger, zap.String("zone", string(z)), zap.Bool("out", !r.Deleted), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
		return
	}
	if !k.decoder.IsPlanKey(r.Key) || r.Deleted {
		return
	}
	plan, err := k.decoder.DecodePlan(r.Value)
	if err != nil {
		event.PlanUnreadable.Log(k.logger, zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source), zap.Error(err))
		return
	}
	if k.plan != nil && plan.Version <= k.plan.Version {
		event.PlanOutdated.Log(k.logger, zap.Int64("version", int64(plan.Version)), zap.Int64("in-force", int64(k.plan.Version)), zap.Uint64("offset", uint64(r.Offset)))
		return
	}
	k.plan, k.planAt = plan, r.Offset
	event.PlanInForce.Log(k.logger, zap.Int64("version", int64(plan.Version)), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
}

func (k *knowledge) learnTarget(r replica.Record, source string, now time.Time) {
	delete(k.lapsed, r.Key)
	state := "gone"
	if r.Deleted {
		k.learnGone(r.Key, now)
	} else if t, ok := k.decoder.DecodeTarget(r.Key, r.Value); ok {
		k.targets[r.Key] = t
		state = string(t.VM.State)
	} else {
		delete(k.targets, r.Key)
		state = "unreadable"
	}
	event.TargetListed.Log(k.logger, zap.String("target", r.Key), zap.String("state", state), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
}

// learnGone notes that a target's entry went. The lock must be held.
func (k *knowledge) learnGone(key string, now time.Time) {
	if k.returned.IsZero() || now.Sub(k.returned) >= returnGrace {
		return
	}
	if t, ok := k.targets[key]; ok && t.VM.State == vm.StateLive {
		k.lapsed[key] = k.returned.Add(returnGrace)
	}
}

// view is what a node acts on.
type view struct {
	plan      *Plan
	targets   []vm.VM
	withdrawn withdrawnZones
	// again is when something changes by itself; zero if nothing does.
	again time.Time
}

// view returns what is in force at an instant.
func (k *knowledge) view(now time.Time) (v view) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v = view{plan: k.plan, withdrawn: withdrawnZones{}}
	for r := range k.copies[replica.Operator].Each {
		if z, ok := k.decoder.WithdrawnZone(r.Key); ok && !r.Deleted {
			v.withdrawn[z] = true
		}
	}
	// The order by key stays, so that of two targets on one address, of which a table
	// keeps the later, it is the same one each time.
	for _, r := range k.copies[replica.Targets].All() {
		if r.Deleted && !k.stillTaken(r.Key, now, &v) {
			continue
		}
		if t, ok := k.targets[r.Key]; ok {
			v.targets = append(v.targets, t.VM)
		}
	}
	return v
}

// stillTaken reports whether a target whose entry lapsed during an outage is
// still taken for alive. The lock must be held.
func (k *knowledge) stillTaken(key string, now time.Time, v *view) bool {
	until, lapsed := k.lapsed[key]
	if !lapsed || !now.Before(until) {
		delete(k.lapsed, key)
		return false
	}
	if v.again.IsZero() || until.Before(v.again) {
		v.again = until
	}
	return true
}

// all returns all records that this node holds.
func (k *knowledge) all() (records []replica.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for t := range replica.TopicCount {
		records = append(records, k.copies[t].All()...)
	}
	return records
}

// marks returns how far and when the store was read, for topics that this node holds
// whole: nobody can learn from it that something is missing. The lock must be held.
func (k *knowledge) marks(now time.Time) (marks []replica.ReadMark) {
	for t := range replica.TopicCount {
		end, at := k.copies[t].ReadPosition()
		if !at.IsZero() && k.copies[t].HasBeenComplete() {
			marks = append(marks, replica.ReadMark{Topic: t, EndOffset: end, AgeMillis: peer.Milliseconds(now.Sub(at)), Reader: k.copies[t].LastReader(), Digest: k.copies[t].Digest()})
		}
	}
	return marks
}

// marksNow returns how far and when the store was read.
func (k *knowledge) marksNow(now time.Time) []replica.ReadMark {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.marks(now)
}

// end returns where a topic is to be read from, and when it was read last.
func (k *knowledge) end(topic replica.Topic) (end replica.Offset, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[topic].ReadPosition()
}

// readerBefore reports whether a node with a lower number read last.
func (k *knowledge) readerBefore(self replica.ReaderID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[replica.Targets].LastReader() < self
}

// heardAt is since when one of the topics has not been read.
func (k *knowledge) heardAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := time.Now()
	for t := range replica.TopicCount {
		if _, at := k.copies[t].ReadPosition(); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// confirm notes that nothing was added to a topic until an instant.
func (k *knowledge) confirm(topic replica.Topic, by replica.ReaderID, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	end, _ := k.copies[topic].ReadPosition()
	k.copies[topic].AdvanceReadMark(end, at, by)
}

// wholePatience is how long a node that has heard of a reader waits for all that this
// one held before it serves by what it has.
const wholePatience = time.Second

// known reports whether the node knows enough to serve: a plan, and all targets and
// zones out of service.
func (k *knowledge) known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan == nil || k.heardSince.IsZero() {
		return false
	}
	whole := k.copies[replica.Targets].HasBeenComplete() && k.copies[replica.Operator].HasBeenComplete()
	return whole || time.Since(k.heardSince) > wholePatience
}

// isWhole reports whether the node has once held all of a topic.
func (k *knowledge) isWhole(topic replica.Topic) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies[topic].HasBeenComplete()
}

// takeNodes notes the nodes of the fleet; it reports whether some were new.
func (k *knowledge) takeNodes(nodes []vm.VM, now time.Time) (news bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range nodes {
		if _, known := k.nodes[n.ID]; !known {
			news = true
		}
		k.nodes[n.ID] = listedNode{node: n, at: now}
	}
	return news
}

// nodesLocked returns the nodes listed lately. The lock must be held.
func (k *knowledge) nodesLocked(now time.Time) (nodes []vm.VM) {
	for id, n := range k.nodes {
		if now.Sub(n.at) > rememberNodes {
			delete(k.nodes, id)
			continue
		}
		nodes = append(nodes, n.node)
	}
	return nodes
}

// fleet returns the nodes listed lately, this one included.
func (k *knowledge) fleet(now time.Time) []vm.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	nodes := k.nodesLocked(now)
	for _, n := range nodes {
		if n.ID == k.self.ID {
			return nodes
		}
	}
	return append(nodes, k.self)
}
