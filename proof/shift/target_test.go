package shift

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/target"
)

// The parameters of the users' targets, from their specifications.
const (
	// A target runs up to slots calls and queues up to queueLength calls. Service times
	// are lognormal with the parameter serviceTimeSigma. The slowdown factor is drawn
	// anew at mean intervals of meanSlowdownPeriod: slowTargetFactor with
	// slowProbability, else 1. While the running calls, the new one included, exceed
	// kneeUtilisation of the slots, a new call takes kneeSlowdown times as long.
	slots              = 6
	queueLength        = 12
	meanServiceTime    = 220 * time.Millisecond
	serviceTimeSigma   = 0.3
	slowProbability    = 0.25
	slowTargetFactor   = 4.0
	meanSlowdownPeriod = 300 * time.Millisecond
	kneeUtilisation    = 0.8
	kneeSlowdown       = 1.7
	latencyObjective   = 600 * time.Millisecond
	callTimeout        = 1200 * time.Millisecond
	// sameZoneDelay is the one-way network delay within a zone, crossZoneDelay between
	// zones.
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 500 * time.Microsecond
	// A target in cold start serves calls coldSlowdown times slower and has a rate limit
	// of coldCallsPerSecond. Its cold start begins again if more than coldCallLimit calls
	// arrive within one second.
	coldPeriod         = 3 * time.Second
	coldSlowdown       = 2.0
	coldCallsPerSecond = 6.2
	coldCallLimit      = coldCallsPerSecond*1.5 + 5
)

// fakeTarget is a target with a fixed number of slots, a bounded queue, a varying speed
// and a cold start.
type fakeTarget struct {
	freeSlots chan struct{}

	mu                       sync.Mutex
	rng                      *rand.Rand
	slowdown                 float64
	running, waiting         int
	arrivalCount, queryCount int
	// coldUntil is the end of the cold start, windowStart the start of the current
	// one-second window, windowCalls the calls in it, and overrunCount how often a cold
	// start began again.
	coldUntil, windowStart    time.Time
	windowCalls, overrunCount int
}

func newFakeTarget(seed uint64, startsCold bool) *fakeTarget {
	t := &fakeTarget{freeSlots: make(chan struct{}, slots), rng: rand.New(rand.NewPCG(seed, 7)), slowdown: 1}
	if startsCold {
		t.coldUntil = time.Now().Add(coldPeriod)
	}
	for range slots {
		t.freeSlots <- struct{}{}
	}
	return t
}

// varySlowdown draws a new slowdown factor after exponentially distributed times until
// ctx is done.
func (t *fakeTarget) varySlowdown(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.slowdown = 1
		if t.rng.Float64() < slowProbability {
			t.slowdown = slowTargetFactor
		}
		untilNext := time.Duration(t.rng.ExpFloat64() * float64(meanSlowdownPeriod))
		t.mu.Unlock()
		pause.For(ctx, untilNext)
	}
}

func (t *fakeTarget) report() target.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := target.Report{IsPresent: true, IsDetailed: true, State: target.Live, RunningCount: t.running, WaitingCount: t.waiting,
		Slots: slots, SlowdownFactor: t.slowdown, InFlight: t.running + t.waiting}
	if remaining := time.Until(t.coldUntil); remaining > 0 {
		r.State, r.ColdStartRemaining = target.Cold, remaining
	}
	return r
}

// overrunsColdStart counts a call and reports whether it exceeds coldCallLimit during a
// cold start, which then begins again. t.mu must be held.
func (t *fakeTarget) overrunsColdStart() bool {
	now := time.Now()
	if !now.Before(t.coldUntil) {
		return false
	}
	if now.Sub(t.windowStart) >= time.Second {
		t.windowStart, t.windowCalls = now, 0
	}
	t.windowCalls++
	if float64(t.windowCalls) <= coldCallLimit {
		return false
	}
	t.overrunCount++
	t.coldUntil = now.Add(coldPeriod)
	return true
}

// enqueue adds a call to the queue. It returns false if the queue is full or the call
// exceeds the limit of a cold start.
func (t *fakeTarget) enqueue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivalCount++
	if t.overrunsColdStart() || t.waiting >= queueLength {
		return false
	}
	t.waiting++
	return true
}

// startCall moves a call from waiting to running and returns its service time.
func (t *fakeTarget) startCall() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.running++
	// The service time is lognormal with mean meanServiceTime.
	d := float64(meanServiceTime) * math.Exp(serviceTimeSigma*t.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2) * t.slowdown
	if float64(t.running) > kneeUtilisation*slots {
		d *= kneeSlowdown
	}
	if time.Now().Before(t.coldUntil) {
		d *= coldSlowdown
	}
	return time.Duration(d)
}

// finishCall removes a call. A running call frees its slot; otherwise the call leaves
// the queue.
func (t *fakeTarget) finishCall(isRunning bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isRunning {
		t.running--
		t.freeSlots <- struct{}{}
		return
	}
	t.waiting--
}

// serve runs one call. It refuses the call when the queue is full or a cold start is
// overrun, and cancels it when ctx is done.
func (t *fakeTarget) serve(ctx context.Context) (dispatch.Response, *dispatch.AttemptFailure) {
	if !t.enqueue() {
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true, Report: t.report()}
	}
	select {
	case <-t.freeSlots:
	case <-ctx.Done():
		t.finishCall(false)
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
	serviceTime := t.startCall()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	defer t.finishCall(true)
	select {
	case <-timer.C:
		return response{t.report()}, nil
	case <-ctx.Done():
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
}

// respondToLoadQuery returns the load report. A target without a free slot responds
// only when a slot becomes free; false means that ctx was done first.
func (t *fakeTarget) respondToLoadQuery(ctx context.Context) (target.Report, bool) {
	t.mu.Lock()
	t.queryCount++
	t.mu.Unlock()
	select {
	case <-t.freeSlots:
		t.freeSlots <- struct{}{}
		return t.report(), true
	case <-ctx.Done():
		return target.Report{}, false
	}
}

// response is the successful response of a fakeTarget.
type response struct{ report target.Report }

func (response) IsServerError() bool     { return false }
func (r response) Report() target.Report { return r.report }
func (response) ExtraAttempts() int      { return 0 }
func (response) Discard()                {}
