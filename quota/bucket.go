package quota

import (
	"math"
	"time"
)

// Limit bounds the calls of a tenant over the whole fleet by a token bucket. The zero value
// is no limit.
type Limit struct {
	PerSecond Rate
	// Burst is the number of calls that may be made at once after a pause.
	Burst float64
}

// IsSet reports whether the limit binds.
func (l Limit) IsSet() bool { return l.PerSecond > 0 }

const (
	// initialShare is the content of a new bucket, as a share of the burst, and
	// minInitialTokens its least one: little, since the bucket that it replaces may just
	// have been emptied.
	initialShare     = 0.15
	minInitialTokens = 2.0
	// maxPromised bounds the time ahead that refused calls get for their return, in
	// seconds.
	maxPromised = 3.0
)

// Bucket is a token bucket whose limit may change at any time. The zero value is ready to
// use.
type Bucket struct {
	tokens float64
	// promised is the number of refused calls whose time to return has not passed.
	promised  float64
	updatedAt time.Time
}

// Take takes up to n tokens and returns how many it took. If none, wait is the time after
// which a call may return: each refused call gets a later one.
func (b *Bucket) Take(n int, l Limit, now time.Time) (taken int, wait time.Duration) {
	b.refill(l, now)
	taken = min(n, int(b.tokens))
	if taken > 0 {
		b.tokens -= float64(taken)
		return taken, 0
	}
	b.promised = min(b.promised+1, maxPromised*float64(l.PerSecond)+1)
	return 0, time.Duration((b.promised - b.tokens) / float64(l.PerSecond) * float64(time.Second))
}

// refill adds the tokens since the last call.
func (b *Bucket) refill(l Limit, now time.Time) {
	capacity := max(1, l.Burst)
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = min(max(minInitialTokens, initialShare*capacity), capacity), now
		return
	}
	added := float64(l.PerSecond) * max(0, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens = min(b.tokens+added, capacity)
	b.promised = math.Max(0, b.promised-added)
}

// Return adds tokens that were taken and not used.
func (b *Bucket) Return(n int, l Limit) {
	b.tokens = min(b.tokens+float64(max(n, 0)), max(1, l.Burst))
}
