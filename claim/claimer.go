package claim

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/stream"
)

// Settings of a Claimer; zero values mean the defaults.
type Settings struct {
	// FleetAppends is how many appends per second all nodes together may make
	// for claims. Default 150.
	FleetAppends float64
	// AppendTimeout bounds one append. Default 1 s.
	AppendTimeout time.Duration
	// MaxBatch is the most requests of one record. Default 512.
	MaxBatch int
	// Patience is the most time a call waits for its claim. Default 2 s.
	Patience time.Duration
}

const (
	defaultFleetAppendsPerSecond = 150
	defaultAppendTimeout         = time.Second
	defaultMaxBatchRequests      = 512
	defaultAcquireTimeout        = 2 * time.Second
	// appendBurst is how many appends a quiet node may make at once.
	appendBurst = 4
)

func (s Settings) withDefaults() Settings {
	if s.FleetAppends == 0 {
		s.FleetAppends = defaultFleetAppendsPerSecond
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = defaultAppendTimeout
	}
	if s.MaxBatch == 0 {
		s.MaxBatch = defaultMaxBatchRequests
	}
	if s.Patience == 0 {
		s.Patience = defaultAcquireTimeout
	}
	return s
}

// Claimer makes the claims of one node.
type Claimer struct {
	Log      stream.Log
	Holder   member.Incarnation
	Settings Settings
	// Ready reports whether the book has been read to the stream's end.
	Ready func() bool
	// Fleet is how many nodes share the appends; nil means one.
	Fleet func() int
	// Failed, if set, is told of the first append in a row that was not
	// acknowledged.
	Failed func(err error)
	Checks *invariant.Checks
	// Book is the fold of the stream; its Decided is set by Start.
	Book *Book

	mu             sync.Mutex
	lastSeq        Number
	pending        map[Number]*Claim
	requests       []Request
	releases       []Release
	wake           chan struct{}
	tokens         float64
	refilledAt     time.Time
	logUnavailable bool
	// lastTriedAt is when the log was last tried, or its latest append ended.
	lastTriedAt time.Time
}

// Start prepares the claimer; Run appends what gathers until ctx ends.
func (c *Claimer) Start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = map[Number]*Claim{}
	c.wake = make(chan struct{}, 1)
	c.Book.Decided = c.handleDecision
}

// Run appends claims and releases in batches until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.appendNext(ctx) {
		}
	}
}

// appendNext appends one batch, waiting for the node's share of appends; it
// reports whether there may be more.
func (c *Claimer) appendNext(ctx context.Context) bool {
	if !c.waitForToken(ctx) {
		return false
	}
	batch, ok := c.takeBatch()
	if !ok {
		return false
	}
	settings := c.Settings.withDefaults()
	appendCtx, cancel := context.WithTimeout(ctx, settings.AppendTimeout)
	defer cancel()
	_, err := c.Log.Append(appendCtx, Stream, codec.Encode(batch))
	changed := c.setLogUnavailable(err != nil)
	if err != nil {
		c.handleFailedAppend(batch)
	}
	if changed && err != nil && c.Failed != nil {
		c.Failed(err)
	}
	return true
}

// waitForToken waits until the node may append again.
func (c *Claimer) waitForToken(ctx context.Context) bool {
	for {
		wait := c.takeToken(time.Now())
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}

func (c *Claimer) takeToken(now time.Time) time.Duration {
	fleetSize := 1
	if c.Fleet != nil {
		fleetSize = max(1, c.Fleet())
	}
	rate := c.Settings.withDefaults().FleetAppends / float64(fleetSize)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refilledAt.IsZero() {
		c.tokens = appendBurst
	} else {
		c.tokens = min(appendBurst, c.tokens+rate*now.Sub(c.refilledAt).Seconds())
	}
	c.refilledAt = now
	if len(c.requests) == 0 && len(c.releases) == 0 {
		return 0
	}
	if c.tokens >= 1 {
		c.tokens--
		return 0
	}
	return max(time.Millisecond, time.Duration((1-c.tokens)/rate*float64(time.Second)))
}

func (c *Claimer) takeBatch() (b Batch, ok bool) {
	maxBatch := c.Settings.withDefaults().MaxBatch
	c.mu.Lock()
	defer c.mu.Unlock()
	b = Batch{Holder: c.Holder}
	n := min(len(c.requests), maxBatch)
	b.Requests, c.requests = c.requests[:n:n], c.requests[n:]
	n = min(len(c.releases), maxBatch)
	b.Releases, c.releases = c.releases[:n:n], c.releases[n:]
	return b, len(b.Requests)+len(b.Releases) > 0
}

// handleFailedAppend keeps the releases of an append that was not acknowledged, to be made
// again: a release that counts twice does no harm. Requests are not repeated;
// they are granted if the record turns out soon to be in the stream, and their
// calls wait no longer than that.
func (c *Claimer) handleFailedAppend(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range b.Requests {
		if claim := c.pending[r.Number]; claim != nil {
			time.AfterFunc(lostAckTimeout, claim.cancelWait)
		}
	}
	c.releases = append(c.releases, b.Releases...)
	if excess := len(c.releases) - maxQueuedReleases; excess > 0 {
		c.releases = c.releases[excess:]
	}
}

// lostAckTimeout is how long the record of an append that was not acknowledged is
// looked for in the stream.
const lostAckTimeout = 300 * time.Millisecond

// maxQueuedReleases bounds the releases kept while the log is away; those beyond
// it stay claimed until their windows end.
const maxQueuedReleases = 1 << 14

// logRetryInterval is how often a claim is tried while the log is away; calls between
// are refused at once.
const logRetryInterval = 500 * time.Millisecond

// setLogUnavailable notes how the latest append ended and reports whether that changed.
func (c *Claimer) setLogUnavailable(unavailable bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.logUnavailable != unavailable
	c.logUnavailable = unavailable
	c.lastTriedAt = time.Now()
	return changed
}

// failFast reports whether the latest append failed and another try is not
// due yet.
func (c *Claimer) failFast(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logUnavailable {
		return false
	}
	if now.Sub(c.lastTriedAt) < logRetryInterval {
		return true
	}
	c.lastTriedAt = now
	return false
}

// handleDecision takes a decision of the book; it is called with the book's lock held.
func (c *Claimer) handleDecision(d Decision) {
	if d.Holder != c.Holder {
		return
	}
	c.mu.Lock()
	claim := c.pending[d.Request.Number]
	delete(c.pending, d.Request.Number)
	c.mu.Unlock()
	if claim != nil {
		claim.applyDecision(d.Granted)
	}
}

// enqueueRequest queues a claim's request.
func (c *Claimer) enqueueRequest(claim *Claim) {
	c.mu.Lock()
	c.lastSeq++
	claim.request.Number = c.lastSeq
	c.pending[c.lastSeq] = claim
	c.requests = append(c.requests, claim.request)
	c.mu.Unlock()
	c.notifyRun()
}

// enqueueRelease queues a release.
func (c *Claimer) enqueueRelease(r Release) {
	c.mu.Lock()
	c.releases = append(c.releases, r)
	c.mu.Unlock()
	c.notifyRun()
}

// dequeueRequest takes back a request that has not been appended yet; it reports
// false if it may be in the stream.
func (c *Claimer) dequeueRequest(n Number) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range c.requests {
		if r.Number == n {
			c.requests = append(c.requests[:i:i], c.requests[i+1:]...)
			delete(c.pending, n)
			return true
		}
	}
	return false
}

func (c *Claimer) notifyRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
