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

// Settings of a Keeper; zero values mean the defaults.
type Settings struct {
	// Lease is how long a lease lasts at least. Default 30 s.
	Lease time.Duration
	// LeasePerNode lengthens leases with the fleet, so that what all nodes
	// append for renewals stays the same. Default 1.2 s.
	LeasePerNode time.Duration
	// AppendTimeout bounds one append. Default 2 s.
	AppendTimeout time.Duration
	// Promise is how long a promise to a holder lasts; see Ask. Default 45 s: a node that
	// died is off the list by then, so that its silence does not end the rights of
	// others.
	Promise time.Duration
	// Settle is how long a new node takes nothing over from another. An extension
	// that a holder asked for while it could not know of the node must have ended
	// by then: it may have asked until the platform's list, which lags by up to
	// 30 s and may have been read a while ago, showed the node. Default 40 s more
	// than Promise.
	Settle time.Duration
}

const (
	defaultLease         = 30 * time.Second
	defaultLeasePerNode  = 1200 * time.Millisecond
	defaultAppendTimeout = 2 * time.Second
	defaultPromise       = 45 * time.Second
	// unlistedFor is the most time for which a holder may not know of a node.
	unlistedFor = 40 * time.Second
	// renewals is how often a lease is renewed while it lasts.
	renewals = 3
	// marginShare is the part of a lease, as a divisor, that its holder does not
	// use: clocks may run apart by so much and no more.
	marginShare = 10
)

func (s Settings) withDefaults() Settings {
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.LeasePerNode == 0 {
		s.LeasePerNode = defaultLeasePerNode
	}
	if s.Promise == 0 {
		s.Promise = defaultPromise
	}
	if s.Settle == 0 {
		s.Settle = s.Promise + unlistedFor
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = defaultAppendTimeout
	}
	return s
}

// instant is a point in time on both clocks of the machine: the monotonic one
// stands still while a VM is suspended, the wall clock may be set.
type instant struct {
	mono, wall time.Time
}

func instantOf(t time.Time) instant {
	return instant{mono: t, wall: t.Round(0)}
}

// elapsed is the longer of the times that the two clocks saw pass.
func (i instant) elapsed(now time.Time) time.Duration {
	return max(now.Sub(i.mono), now.Round(0).Sub(i.wall))
}

// right is a lease on one shard: when its record was sent, and how long it may
// be used from then on.
type right struct {
	sent   instant
	usable time.Duration
}

// left is how long the right may still be used.
func (r right) left(now time.Time) time.Duration {
	if r.usable == 0 {
		return 0
	}
	return r.usable - r.sent.elapsed(now)
}

// later is whichever of two rights lasts longer.
func (r right) later(other right, now time.Time) right {
	if other.left(now) > r.left(now) {
		return other
	}
	return r
}

// Keeper renews the leases that fall to one node. It is a target.Rights.
type Keeper struct {
	Log      stream.Log
	Holder   member.Incarnation
	Settings Settings
	Book     *Book
	// Live returns the live members, the node itself included.
	Live func() []member.Entry
	// Ready reports whether the book has been read to the stream's end; nil
	// means that it has.
	Ready func() bool
	// Failed, if set, is told of appends that were not acknowledged.
	Failed func(err error)

	mu      sync.Mutex
	last    uint64
	sent    map[uint64]instant
	held    [Shards]right
	leaving bool
	started instant
	// promised is when this node last promised to take nothing over.
	promised instant
	ask      ask
}

// Start prepares the keeper; Run renews until ctx ends.
func (k *Keeper) Start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent = map[uint64]instant{}
	k.started = instantOf(time.Now())
	k.Book.Granted = k.granted
}

// Run asks for leases and renews them until ctx ends, then gives them back.
func (k *Keeper) Run(ctx context.Context) {
	// Nodes that start together first get to know each other.
	pause.For(ctx, firstWait/2+rand.N(firstWait))
	for ctx.Err() == nil {
		k.append(ctx, Lease{Shards: k.wanted()})
		wait := k.length() / renewals
		pause.For(ctx, wait/2+rand.N(wait/2))
	}
}

// firstWait is about how long a new node waits before it asks for leases.
const firstWait = 2 * time.Second

// GiveBack frees all shards; the caller must have ended all calls to cold
// targets.
func (k *Keeper) GiveBack(ctx context.Context) {
	k.append(ctx, Lease{Freed: k.dropAll()})
}

// length is how long a lease lasts in a fleet of this size.
func (k *Keeper) length() time.Duration {
	cfg := k.Settings.withDefaults()
	return max(cfg.Lease, time.Duration(len(k.Live()))*cfg.LeasePerNode)
}

// wanted returns the shards to ask for: of those that fall to this node among
// the live members, the ones it holds and the ones it may take.
func (k *Keeper) wanted() (s Set) {
	if k.Ready != nil && !k.Ready() {
		return s
	}
	live := k.Live()
	now := instantOf(time.Now())
	for i := range Shards {
		n := Shard(i)
		if member.Owner(live, uint64(i)) != k.Holder {
			continue
		}
		clean := k.Book.Clean(n)
		k.mu.Lock()
		if k.leaving {
			k.mu.Unlock()
			return Set{}
		}
		if k.held[i].left(now.mono) > 0 || k.mayTake(now, clean) {
			s.Add(n)
		}
		k.mu.Unlock()
	}
	return s
}

// mayTake reports whether a shard that this node does not hold may be taken by
// a record sent at the given instant: not while a promise lasts, and by a new
// node only if nobody can be using it. The lock must be held.
func (k *Keeper) mayTake(sent instant, clean bool) bool {
	cfg := k.Settings.withDefaults()
	if k.promised != (instant{}) && sent.mono.Sub(k.promised.mono) < cfg.Promise {
		return false
	}
	return clean || sent.mono.Sub(k.started.mono) >= cfg.Settle
}

// append sends one record; what it won is learnt from the stream.
func (k *Keeper) append(ctx context.Context, l Lease) {
	cfg := k.Settings.withDefaults()
	l.Holder = k.Holder
	l.Number = k.note()
	l.Length = uint32(k.length().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, cfg.AppendTimeout)
	defer cancel()
	if _, err := k.Log.Append(ctx, Stream, codec.Encode(l)); err != nil && k.Failed != nil {
		k.Failed(err)
	}
}

// note remembers when a record was sent, before it is sent.
func (k *Keeper) note() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	k.sent[k.last] = instantOf(time.Now())
	delete(k.sent, k.last-maxUnseen)
	return k.last
}

// maxUnseen is how many records may be on their way before old ones are given
// up.
const maxUnseen = 16

// dropAll stops using all shards and returns those that were held.
func (k *Keeper) dropAll() (s Set) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	for i := range k.held {
		if k.held[i].usable > 0 {
			s.Add(Shard(i))
		}
		k.held[i] = right{}
	}
	return s
}

// granted takes what a record won; it is called with the book's lock held.
func (k *Keeper) granted(g Granted) {
	if g.Lease.Holder != k.Holder {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	sent, ok := k.sent[g.Lease.Number]
	if !ok {
		return
	}
	delete(k.sent, g.Lease.Number)
	length := time.Duration(g.Lease.Length) * time.Millisecond
	now := time.Now()
	for i := range k.held {
		n := Shard(i)
		if !g.Shards.Has(n) || k.leaving {
			continue
		}
		if k.held[i].left(now) > 0 || k.mayTake(sent, g.Clean.Has(n)) {
			k.held[i] = k.held[i].later(right{sent: sent, usable: length - length/marginShare}, now)
		}
	}
}

// Until returns the end of this node's right to a target, if it has one.
func (k *Keeper) Until(id vm.ID, now time.Time) (end time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	left := k.held[ShardOf(id)].left(now)
	return now.Add(left), left > 0
}

// Held is how many shards this node holds.
func (k *Keeper) Held(now time.Time) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.held {
		if r.left(now) > 0 {
			n++
		}
	}
	return n
}
