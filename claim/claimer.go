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

// Settings configures a Claimer. Zero values select the defaults.
type Settings struct {
	// FleetAppendsPerSecond is the maximum rate of appends for claims by all
	// nodes together. Default 150.
	FleetAppendsPerSecond float64
	// AppendTimeout is the timeout of one append. Default 1 s.
	AppendTimeout time.Duration
	// MaxBatchEntries is the maximum number of requests, and of releases, in
	// one record. Default 512.
	MaxBatchEntries int
	// AcquireTimeout is the maximum time that a call waits for a decision on
	// its claim. Default 2 s.
	AcquireTimeout time.Duration
}

const (
	defaultFleetAppendsPerSecond = 150
	defaultAppendTimeout         = time.Second
	defaultMaxBatchEntries       = 512
	defaultAcquireTimeout        = 2 * time.Second
	// appendBurst is the capacity of the token bucket for appends: the number
	// that an idle node may make at once.
	appendBurst = 4
)

func (s Settings) withDefaults() Settings {
	if s.FleetAppendsPerSecond == 0 {
		s.FleetAppendsPerSecond = defaultFleetAppendsPerSecond
	}
	if s.AppendTimeout == 0 {
		s.AppendTimeout = defaultAppendTimeout
	}
	if s.MaxBatchEntries == 0 {
		s.MaxBatchEntries = defaultMaxBatchEntries
	}
	if s.AcquireTimeout == 0 {
		s.AcquireTimeout = defaultAcquireTimeout
	}
	return s
}

// Claimer appends the requests and releases of one node to the log and passes
// each decision to its call.
type Claimer struct {
	Log      stream.Log
	Holder   member.Incarnation
	Settings Settings
	// IsCaughtUp reports whether State has applied the stream up to its end.
	IsCaughtUp func() bool
	// FleetSize returns the number of nodes that share FleetAppendsPerSecond;
	// nil means one.
	FleetSize func() int
	// OnAppendError, if set, is called with the error of the first of consecutive
	// appends that were not acknowledged.
	OnAppendError func(err error)
	Checks        *invariant.Checker
	// State holds the grants; Init sets its OnDecision.
	State *State

	mu             sync.Mutex
	lastSeq        SequenceNumber
	pending        map[SequenceNumber]*Claim // claims without a decision
	requests       []Request                 // queued for an append
	releases       []Release                 // queued for an append
	wake           chan struct{}
	tokens         float64 // of the token bucket for appends
	refilledAt     time.Time
	logUnavailable bool
	// lastTriedAt is when the latest append ended, or when failFast last
	// permitted a claim while the log was unavailable.
	lastTriedAt time.Time
}

// Init prepares the claimer; it must be called before Run and the first claim.
func (c *Claimer) Init() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = map[SequenceNumber]*Claim{}
	c.wake = make(chan struct{}, 1)
	c.State.OnDecision = c.handleDecision
}

// Run appends the queued requests and releases in batches until ctx ends.
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

// appendNext waits for the rate limit and appends one batch. It reports whether
// more may be queued.
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
	if changed && err != nil && c.OnAppendError != nil {
		c.OnAppendError(err)
	}
	return true
}

// waitForToken waits until the rate limit permits an append or nothing is
// queued. It returns false if ctx ends first.
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

// takeToken takes a token for an append from the token bucket and returns 0, or
// returns how long to wait before the next try. If nothing is queued, it
// returns 0 without taking a token.
func (c *Claimer) takeToken(now time.Time) time.Duration {
	fleetSize := 1
	if c.FleetSize != nil {
		fleetSize = max(1, c.FleetSize())
	}
	rate := c.Settings.withDefaults().FleetAppendsPerSecond / float64(fleetSize)
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

// takeBatch removes the next batch from the queues; it returns false if both
// are empty.
func (c *Claimer) takeBatch() (b Batch, ok bool) {
	maxRequests := c.Settings.withDefaults().MaxBatchEntries
	c.mu.Lock()
	defer c.mu.Unlock()
	b = Batch{Holder: c.Holder}
	n := min(len(c.requests), maxRequests)
	b.Requests, c.requests = c.requests[:n:n], c.requests[n:]
	n = min(len(c.releases), maxRequests)
	b.Releases, c.releases = c.releases[:n:n], c.releases[n:]
	return b, len(b.Requests)+len(b.Releases) > 0
}

// handleFailedAppend requeues the releases of an unacknowledged append;
// applying a release twice has no effect. Requests are not repeated. They are
// granted if the record is read from the stream within lostAckTimeout, after
// which their calls stop waiting.
func (c *Claimer) handleFailedAppend(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range b.Requests {
		if claim := c.pending[r.SequenceNumber]; claim != nil {
			time.AfterFunc(lostAckTimeout, claim.cancelWait)
			time.AfterFunc(time.Duration(r.WindowSeconds)*time.Second, func() { c.forget(r.SequenceNumber) })
		}
	}
	c.releases = append(b.Releases, c.releases...)
	if excess := len(c.releases) - maxQueuedReleases; excess > 0 {
		c.releases = c.releases[excess:]
	}
}

// forget drops a claim whose record may never appear. Until the window of its key is over
// the claim stays known: a record that appears late must be released.
func (c *Claimer) forget(n SequenceNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, n)
}

// lostAckTimeout is how long calls wait for the record of an unacknowledged
// append to appear in the stream.
const lostAckTimeout = 300 * time.Millisecond

// maxQueuedReleases is the number of releases to which a failed append trims
// the queue, the oldest first. Their keys stay claimed until their windows end.
const maxQueuedReleases = 1 << 14

// logRetryInterval is the minimum time between claims that try the log while it
// is unavailable. Other claims are refused immediately.
const logRetryInterval = 500 * time.Millisecond

// setLogUnavailable records whether the latest append failed and reports
// whether that changed.
func (c *Claimer) setLogUnavailable(unavailable bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.logUnavailable != unavailable
	c.logUnavailable = unavailable
	c.lastTriedAt = time.Now()
	return changed
}

// failFast reports whether a claim must be refused immediately, because the
// latest append failed and the next try is not due yet. If it is due, the claim
// becomes that try.
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

// handleDecision passes a decision to its claim. It is called with c.State.mu
// held.
func (c *Claimer) handleDecision(d Decision) {
	if d.Holder != c.Holder {
		return
	}
	c.mu.Lock()
	claim := c.pending[d.Request.SequenceNumber]
	delete(c.pending, d.Request.SequenceNumber)
	c.mu.Unlock()
	if claim != nil {
		claim.applyDecision(d.Granted)
	}
}

// enqueueRequest assigns a sequence number to the claim and queues its request.
func (c *Claimer) enqueueRequest(claim *Claim) {
	c.mu.Lock()
	c.lastSeq++
	claim.request.SequenceNumber = c.lastSeq
	c.pending[c.lastSeq] = claim
	c.requests = append(c.requests, claim.request)
	c.mu.Unlock()
	c.notifyRun()
}

func (c *Claimer) enqueueRelease(r Release) {
	c.mu.Lock()
	c.releases = append(c.releases, r)
	c.mu.Unlock()
	c.notifyRun()
}

// dequeueRequest removes a request that is still queued. It returns false if
// the request may be in the stream.
func (c *Claimer) dequeueRequest(n SequenceNumber) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, r := range c.requests {
		if r.SequenceNumber == n {
			c.requests = append(c.requests[:i:i], c.requests[i+1:]...)
			delete(c.pending, n)
			return true
		}
	}
	return false
}

// notifyRun wakes Run without blocking.
func (c *Claimer) notifyRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
