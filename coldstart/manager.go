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

// Settings configures a Keeper. Zero values select the defaults.
type Settings struct {
	// MinLeaseDuration is the shortest duration of a lease. Default 30 s.
	MinLeaseDuration time.Duration
	// LeaseDurationPerNode times the number of live nodes is the duration of a lease if
	// that is longer than Lease. It keeps the rate of renewals appended by all
	// nodes together independent of their number. Default 1.2 s.
	LeaseDurationPerNode time.Duration
	// AppendTimeout is the timeout of one append. Default 2 s.
	AppendTimeout time.Duration
	// HoldDuration is how long this node takes over no shard after it granted a
	// hold; see RequestExtension. Default 45 s: by then a failed node is
	// removed from the list of members, so its missing response does not end
	// the leases of other nodes.
	HoldDuration time.Duration
	// TakeoverDelay is how long a new node takes over no shard that another node may
	// be using. By its end, every extension requested by a holder whose view
	// lacked the new node must have ended. Such a holder may have sent requests
	// until the platform's list contained the node; the list lags by up to 30 s,
	// and the holder may have read it some time before. Default Promise plus
	// 40 s.
	TakeoverDelay time.Duration
}

const (
	defaultMinLease      = 30 * time.Second
	defaultLeasePerNode  = 1200 * time.Millisecond
	defaultAppendTimeout = 2 * time.Second
	defaultHoldDuration  = 45 * time.Second
	// maxDiscoveryDelay is the longest time for which a new node may be missing
	// in a holder's view.
	maxDiscoveryDelay = 40 * time.Second
	// renewalsPerLease is the number of times that a lease is renewed during
	// its duration, at least.
	renewalsPerLease = 3
	// marginDivisor sets the part of a lease, 1/marginDivisor, that its holder
	// does not use. It is the largest clock drift between a holder and the log
	// that is tolerated.
	marginDivisor = 10
)

func (s Settings) withDefaults() Settings {
	if s.MinLeaseDuration == 0 {
		s.MinLeaseDuration = defaultMinLease
	}
	if s.LeaseDurationPerNode == 0 {
		s.LeaseDurationPerNode = defaultLeasePerNode
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

// longer returns the lease that expires later.
func (l localLease) longer(other localLease, now time.Time) localLease {
	if other.remaining(now) > l.remaining(now) {
		return other
	}
	return l
}

// Manager renews the leases on the shards assigned to one node. It implements
// target.Rights.
type Manager struct {
	Log      stream.Log
	Holder   member.Incarnation
	Settings Settings
	State    *State
	// LiveMembers returns the live members, including this node.
	LiveMembers func() []member.Entry
	// CaughtUp reports whether Book has been replayed to the end of the stream.
	// Nil means that it always has.
	CaughtUp func() bool
	// OnAppendError, if set, is called with the error of each append that was not
	// acknowledged.
	OnAppendError func(err error)

	mu           sync.Mutex
	lastSequence uint64
	sentAt       map[uint64]dualTime
	leases       [ShardCount]localLease
	stopping     bool
	startedAt    dualTime
	// holdGrantedAt is when this node last granted a hold.
	holdGrantedAt dualTime
	extension     extensionRequest
}

// Start prepares the Keeper. It must be called before Run.
func (k *Manager) Start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sentAt = map[uint64]dualTime{}
	k.startedAt = dualTimeOf(time.Now())
	k.State.OnResult = k.applyGrant
}

// Run requests and renews leases until ctx ends. It does not release them; see
// GiveBack.
func (k *Manager) Run(ctx context.Context) {
	// The delay lets nodes that start together discover each other.
	pause.For(ctx, initialDelay/2+rand.N(initialDelay))
	for ctx.Err() == nil {
		k.appendRecord(ctx, LeaseRecord{Shards: k.shardsToRequest()})
		wait := k.leaseDuration() / renewalsPerLease
		pause.For(ctx, wait/2+rand.N(wait/2))
	}
}

// initialDelay is the mean delay before a new node requests leases.
const initialDelay = 2 * time.Second

// ReleaseShards releases all shards. The caller must have ended all calls to cold
// targets.
func (k *Manager) ReleaseShards(ctx context.Context) {
	k.appendRecord(ctx, LeaseRecord{Released: k.clearLeases()})
}

// leaseDuration returns the duration of a lease for the current size of the
// fleet.
func (k *Manager) leaseDuration() time.Duration {
	cfg := k.Settings.withDefaults()
	return max(cfg.MinLeaseDuration, time.Duration(len(k.LiveMembers()))*cfg.LeaseDurationPerNode)
}

// shardsToRequest returns the shards assigned to this node among the live
// members that it either holds or may acquire.
func (k *Manager) shardsToRequest() (s ShardSet) {
	if k.CaughtUp != nil && !k.CaughtUp() {
		return s
	}
	live := k.LiveMembers()
	now := dualTimeOf(time.Now())
	for i := range ShardCount {
		n := Shard(i)
		if member.Owner(live, uint64(i)) != k.Holder {
			continue
		}
		unused := k.State.IsUnused(n)
		k.mu.Lock()
		if k.stopping {
			k.mu.Unlock()
			return ShardSet{}
		}
		if k.leases[i].remaining(now.mono) > 0 || k.mayAcquire(now, unused) {
			s.Add(n)
		}
		k.mu.Unlock()
	}
	return s
}

// mayAcquire reports whether this node may acquire a shard that it does not
// hold with a record sent at the given time. It may not while a hold is active;
// before Settle has passed since its start, it may acquire only shards that no
// node can be using. k.mu must be held.
func (k *Manager) mayAcquire(sentAt dualTime, unused bool) bool {
	cfg := k.Settings.withDefaults()
	if k.holdGrantedAt != (dualTime{}) && sentAt.mono.Sub(k.holdGrantedAt.mono) < cfg.HoldDuration {
		return false
	}
	return unused || sentAt.mono.Sub(k.startedAt.mono) >= cfg.TakeoverDelay
}

// appendRecord appends one record. Its result comes from the stream, through
// applyGrant.
func (k *Manager) appendRecord(ctx context.Context, l LeaseRecord) {
	cfg := k.Settings.withDefaults()
	l.Holder = k.Holder
	l.Sequence = k.recordSend()
	l.DurationMillis = uint32(k.leaseDuration().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, cfg.AppendTimeout)
	defer cancel()
	if _, err := k.Log.Append(ctx, StreamName, codec.Encode(l)); err != nil && k.OnAppendError != nil {
		k.OnAppendError(err)
	}
}

// recordSend assigns the next sequence number and stores the current time as
// the time at which the record is sent. It must be called before the append.
func (k *Manager) recordSend() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastSequence++
	k.sentAt[k.lastSequence] = dualTimeOf(time.Now())
	delete(k.sentAt, k.lastSequence-maxPendingRecords)
	return k.lastSequence
}

// maxPendingRecords is the number of records whose results may be pending. The
// results of older ones are ignored.
const maxPendingRecords = 16

// clearLeases stops the use of all shards, permanently, and returns those that
// were held.
func (k *Manager) clearLeases() (s ShardSet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopping = true
	for i := range k.leases {
		if k.leases[i].usableFor > 0 {
			s.Add(Shard(i))
		}
		k.leases[i] = localLease{}
	}
	return s
}

// applyGrant applies the result of a record. It is called while Book.mu is
// held.
func (k *Manager) applyGrant(g GrantResult) {
	if g.Record.Holder != k.Holder {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	sentAt, ok := k.sentAt[g.Record.Sequence]
	if !ok {
		return
	}
	delete(k.sentAt, g.Record.Sequence)
	duration := time.Duration(g.Record.DurationMillis) * time.Millisecond
	now := time.Now()
	for i := range k.leases {
		n := Shard(i)
		if !g.Granted.Has(n) || k.stopping {
			continue
		}
		if k.leases[i].remaining(now) > 0 || k.mayAcquire(sentAt, g.Unused.Has(n)) {
			k.leases[i] = k.leases[i].longer(localLease{sentAt: sentAt, usableFor: duration - duration/marginDivisor}, now)
		}
	}
}

// LeaseDeadline returns the expiry of this node's lease on a target's shard; ok is
// false if it holds none.
func (k *Manager) LeaseDeadline(id vm.ID, now time.Time) (end time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	remaining := k.leases[ShardOf(id)].remaining(now)
	return now.Add(remaining), remaining > 0
}

// HeldShardCount returns the number of shards that this node holds.
func (k *Manager) HeldShardCount(now time.Time) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leases {
		if l.remaining(now) > 0 {
			n++
		}
	}
	return n
}
