package coldstart

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// Settings configures a Manager. Zero values select the defaults.
type Settings struct {
	// MinLeaseDuration is the shortest duration of a lease. Default 30 s.
	MinLeaseDuration time.Duration
	// LeaseDurationPerNode times the number of live nodes is the duration of a
	// lease if that is longer than MinLeaseDuration. It keeps the rate of
	// renewals appended by all nodes together independent of their number.
	// Default 1.2 s.
	LeaseDurationPerNode time.Duration
	// AppendTimeout is the timeout of one append. Default 2 s.
	AppendTimeout time.Duration
	// HoldDuration is how long this node takes over no shard after it granted a
	// hold; see RequestExtension. Default 45 s: by then a failed node is
	// removed from the list of members, so its missing response does not end
	// the leases of other nodes.
	HoldDuration time.Duration
	// TakeoverDelay is how long a new node takes over no shard that another
	// node may be using. By its end, every extension requested by a holder
	// whose view lacked the new node must have ended. Such a holder may have
	// sent requests until the platform's list of nodes contained the new one;
	// the list lags by up to 30 s, and the holder may have read it some time
	// before. Default HoldDuration plus 40 s.
	TakeoverDelay time.Duration
}

const (
	defaultMinLeaseDuration     = 30 * time.Second
	defaultLeaseDurationPerNode = 1200 * time.Millisecond
	defaultAppendTimeout        = 2 * time.Second
	defaultHoldDuration         = 45 * time.Second
	// maxDiscoveryDelay is the longest time for which a new node may be missing
	// in a holder's view of the membership.
	maxDiscoveryDelay = 40 * time.Second
	// renewalsPerLease is the number of times that a lease is renewed during
	// its duration, at least.
	renewalsPerLease = 3
	// marginDivisor sets the part of a lease, 1/marginDivisor, that its holder
	// does not use. That part is the largest clock drift between a holder and
	// the log that is tolerated.
	marginDivisor = 10
)

func (s Settings) withDefaults() Settings {
	if s.MinLeaseDuration == 0 {
		s.MinLeaseDuration = defaultMinLeaseDuration
	}
	if s.LeaseDurationPerNode == 0 {
		s.LeaseDurationPerNode = defaultLeaseDurationPerNode
	}
	if s.HoldDuration == 0 {
		s.HoldDuration = defaultHoldDuration
	}
	if s.TakeoverDelay == 0 {
		s.TakeoverDelay = s.HoldDuration + maxDiscoveryDelay
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = defaultAppendTimeout
	}
	return s
}

// dualTime is a point in time on both clocks of the machine. The monotonic
// clock stops while a VM is suspended; the wall clock may be adjusted.
type dualTime struct {
	mono, wall time.Time
}

func dualTimeOf(t time.Time) dualTime {
	return dualTime{mono: t, wall: t.Round(0)}
}

// elapsed returns the longer of the times that the two clocks measured.
func (t dualTime) elapsed(now time.Time) time.Duration {
	return max(now.Sub(t.mono), now.Round(0).Sub(t.wall))
}

// localLease is this node's lease on one shard: when its record was sent, and
// how long it may be used from then on.
type localLease struct {
	sentAt    dualTime
	usableFor time.Duration
}

// remaining returns how long the lease may still be used. It is not positive if
// the lease has expired.
func (l localLease) remaining(now time.Time) time.Duration {
	if l.usableFor == 0 {
		return 0
	}
	return l.usableFor - l.sentAt.elapsed(now)
}

// laterLease returns the lease that expires later.
func (l localLease) laterLease(other localLease, now time.Time) localLease {
	if other.remaining(now) > l.remaining(now) {
		return other
	}
	return l
}

// Manager renews the leases on the shards assigned to one node. It implements
// target.ColdStartLeases.
type Manager struct {
	Log      stream.Log
	Holder   member.Incarnation
	Settings Settings
	State    *State
	// LiveMembers returns the live members, including this node.
	LiveMembers func() []member.Entry
	// CaughtUp reports whether State has been replayed to the end of the
	// stream. Nil means that it always has.
	CaughtUp func() bool
	// OnAppendError, if set, is called with the error of each append that was
	// not acknowledged.
	OnAppendError func(err error)

	mu           sync.Mutex
	lastSequence uint64
	// sentAt stores, by sequence number, when the records whose results are
	// pending were sent.
	sentAt map[uint64]dualTime
	leases [ShardCount]localLease
	// stopping is true once the leases were cleared; none is requested anymore.
	stopping  bool
	startedAt dualTime
	// holdGrantedAt is when this node last granted a hold.
	holdGrantedAt dualTime
	extension     extensionRequest
}

// Start prepares the Manager. It must be called before Run.
func (m *Manager) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sentAt = map[uint64]dualTime{}
	m.startedAt = dualTimeOf(time.Now())
	m.State.OnResult = m.applyGrant
}

// Run requests and renews leases until ctx ends. It does not release them; see
// ReleaseShards.
func (m *Manager) Run(ctx context.Context) {
	// The delay lets nodes that start together discover each other.
	pause.For(ctx, initialDelay/2+rand.N(initialDelay))
	for ctx.Err() == nil {
		m.appendRecord(ctx, LeaseRecord{Shards: m.shardsToRequest()})
		wait := m.leaseDuration() / renewalsPerLease
		pause.For(ctx, wait/2+rand.N(wait/2))
	}
}

// initialDelay is the mean delay before a new node requests leases.
const initialDelay = 2 * time.Second

// ReleaseShards releases all shards, and the Manager requests none afterwards.
// The caller must have ended all calls to cold targets.
func (m *Manager) ReleaseShards(ctx context.Context) {
	m.appendRecord(ctx, LeaseRecord{Released: m.clearLeases()})
}

// leaseDuration returns the duration of a lease for the current size of the
// fleet.
func (m *Manager) leaseDuration() time.Duration {
	cfg := m.Settings.withDefaults()
	return max(cfg.MinLeaseDuration, time.Duration(len(m.LiveMembers()))*cfg.LeaseDurationPerNode)
}

// shardsToRequest returns the shards that this node holds or may acquire, out
// of those assigned to it. The live members determine the assignment.
func (m *Manager) shardsToRequest() (s ShardSet) {
	if m.CaughtUp != nil && !m.CaughtUp() {
		return s
	}
	live := m.LiveMembers()
	now := dualTimeOf(time.Now())
	for i := range ShardCount {
		n := Shard(i)
		if member.Owner(live, uint64(i)) != m.Holder {
			continue
		}
		unused := m.State.IsUnused(n)
		m.mu.Lock()
		if m.stopping {
			m.mu.Unlock()
			return ShardSet{}
		}
		if m.leases[i].remaining(now.mono) > 0 || m.mayAcquire(now, unused) {
			s.Add(n)
		}
		m.mu.Unlock()
	}
	return s
}

// mayAcquire reports whether a record sent at the given time may acquire a
// shard that this node does not hold. It may not while a hold that this node
// granted is active; before TakeoverDelay has passed since the node's start, it
// may acquire only shards that no node can be using. m.mu must be held.
func (m *Manager) mayAcquire(sentAt dualTime, unused bool) bool {
	cfg := m.Settings.withDefaults()
	if m.holdGrantedAt != (dualTime{}) && sentAt.mono.Sub(m.holdGrantedAt.mono) < cfg.HoldDuration {
		return false
	}
	return unused || sentAt.mono.Sub(m.startedAt.mono) >= cfg.TakeoverDelay
}

// appendRecord appends one record. Its result comes from the stream, through
// applyGrant.
func (m *Manager) appendRecord(ctx context.Context, r LeaseRecord) {
	cfg := m.Settings.withDefaults()
	r.Holder = m.Holder
	r.Sequence = m.assignSequence()
	r.DurationMillis = uint32(m.leaseDuration().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, cfg.AppendTimeout)
	defer cancel()
	if _, err := m.Log.Append(ctx, StreamName, codec.Encode(r)); err != nil && m.OnAppendError != nil {
		m.OnAppendError(err)
	}
}

// assignSequence returns the next sequence number and stores the current time
// as the time at which its record is sent. It must be called before the append.
func (m *Manager) assignSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSequence++
	m.sentAt[m.lastSequence] = dualTimeOf(time.Now())
	delete(m.sentAt, m.lastSequence-maxPendingRecords)
	return m.lastSequence
}

// maxPendingRecords is the number of records whose results may be pending. The
// results of older ones are ignored.
const maxPendingRecords = 16

// clearLeases permanently stops the use of all shards and returns those that
// were held, including those whose lease has expired.
func (m *Manager) clearLeases() (s ShardSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	for i := range m.leases {
		if m.leases[i].usableFor > 0 {
			s.Add(Shard(i))
		}
		m.leases[i] = localLease{}
	}
	return s
}

// applyGrant applies the result of a record. It is called while State.mu is
// held, so m.mu must not be held when a method of State is called.
func (m *Manager) applyGrant(g GrantResult) {
	if g.Record.Holder != m.Holder {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sentAt, ok := m.sentAt[g.Record.Sequence]
	if !ok {
		return
	}
	delete(m.sentAt, g.Record.Sequence)
	duration := time.Duration(g.Record.DurationMillis) * time.Millisecond
	now := time.Now()
	for i := range m.leases {
		n := Shard(i)
		if !g.Granted.Has(n) || m.stopping {
			continue
		}
		if m.leases[i].remaining(now) > 0 || m.mayAcquire(sentAt, g.Unused.Has(n)) {
			m.leases[i] = m.leases[i].laterLease(localLease{sentAt: sentAt, usableFor: duration - duration/marginDivisor}, now)
		}
	}
}

// LeaseDeadline returns the expiry of this node's lease on a target's shard; ok
// is false if it holds none.
func (m *Manager) LeaseDeadline(id vm.ID, now time.Time) (end time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := m.leases[ShardOf(id)].remaining(now)
	return now.Add(remaining), remaining > 0
}

// Allow returns true: a lease bounds the open attempts at a target, not their rate.
func (m *Manager) Allow(vm.ID, time.Time) bool {
	return true
}

// HeldShardCount returns the number of shards that this node holds.
func (m *Manager) HeldShardCount(now time.Time) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		if l.remaining(now) > 0 {
			n++
		}
	}
	return n
}
