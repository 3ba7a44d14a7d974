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

// The users' targets, by their sheets.
const (
	slots      = 6
	queueLength      = 12
	meanServiceTime       = 220 * time.Millisecond
	serviceTimeSigma = 0.3
	slowProbability  = 0.25
	slowSlowdown = 4.0
	meanSlowdownPeriod  = 300 * time.Millisecond
	kneeUtilisation       = 0.8
	kneeSlowdown = 1.7
	latencyObjective  = 600 * time.Millisecond
	callTimeout   = 1200 * time.Millisecond
	// sameZoneDelay is one way within a zone, and farTravel between zones.
	sameZoneDelay    = 200 * time.Microsecond
	crossZoneDelay = 500 * time.Microsecond
	// A target in cold start takes coldFactor times as long, bears coldPerSecond calls
	// a second, and starts anew if more than coldMost come in one.
	coldPeriod       = 3 * time.Second
	coldSlowdown    = 2.0
	coldCallsPerSecond = 6.2
	coldCallLimit      = coldCallsPerSecond*1.5 + 5
)

// fakeTarget is one fake target.
type fakeTarget struct {
	freeSlots chan struct{}

	mu               sync.Mutex
	rng              *rand.Rand
	slowdown             float64
	running, waiting int
	arrivalCount, queryCount  int
	// coldUntil is when the cold start ends, windowStart when the windowStart began in which
	// burst calls have come, and overruns how often a cold start began anew.
	coldUntil, windowStart time.Time
	windowCalls, overrunCount   int
}

func newFakeTarget(seed uint64, cold bool) *fakeTarget {
	m := &fakeTarget{freeSlots: make(chan struct{}, slots), rng: rand.New(rand.NewPCG(seed, 7)), slowdown: 1}
	if cold {
		m.coldUntil = time.Now().Add(coldPeriod)
	}
	for range slots {
		m.freeSlots <- struct{}{}
	}
	return m
}

// varySlowdown draws the machine's pace anew, now and then, until ctx ends.
func (m *fakeTarget) varySlowdown(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.slowdown = 1
		if m.rng.Float64() < slowProbability {
			m.slowdown = slowSlowdown
		}
		span := time.Duration(m.rng.ExpFloat64() * float64(meanSlowdownPeriod))
		m.mu.Unlock()
		pause.For(ctx, span)
	}
}

func (m *fakeTarget) report() target.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := target.Report{IsPresent: true, IsDetailed: true, State: target.Live, RunningCount: m.running, WaitingCount: m.waiting,
		Slots: slots, SlowdownFactor: m.slowdown, InFlight: m.running + m.waiting}
	if left := time.Until(m.coldUntil); left > 0 {
		r.State, r.ColdStartRemaining = target.Cold, left
	}
	return r
}

// overrunsColdStart reports whether a call is one too many for a cold start, which then
// begins anew. The lock must be held.
func (m *fakeTarget) overrunsColdStart() bool {
	now := time.Now()
	if !now.Before(m.coldUntil) {
		return false
	}
	if now.Sub(m.windowStart) >= time.Second {
		m.windowStart, m.windowCalls = now, 0
	}
	m.windowCalls++
	if float64(m.windowCalls) <= coldCallLimit {
		return false
	}
	m.overrunCount++
	m.coldUntil = now.Add(coldPeriod)
	return true
}

// enqueue takes a call into the queue, or reports that it is full.
func (m *fakeTarget) enqueue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivalCount++
	if m.overrunsColdStart() || m.waiting >= queueLength {
		return false
	}
	m.waiting++
	return true
}

// startCall turns a waiting call into a running one and returns how long it takes.
func (m *fakeTarget) startCall() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting--
	m.running++
	// A lognormal time of the given mean.
	d := float64(meanServiceTime) * math.Exp(serviceTimeSigma*m.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2) * m.slowdown
	if float64(m.running) > kneeUtilisation*slots {
		d *= kneeSlowdown
	}
	if time.Now().Before(m.coldUntil) {
		d *= coldSlowdown
	}
	return time.Duration(d)
}

func (m *fakeTarget) finishCall(running bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running {
		m.running--
		m.freeSlots <- struct{}{}
		return
	}
	m.waiting--
}

// serve runs one call.
func (m *fakeTarget) serve(ctx context.Context) (dispatch.Response, *dispatch.AttemptFailure) {
	if !m.enqueue() {
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true, Report: m.report()}
	}
	select {
	case <-m.freeSlots:
	case <-ctx.Done():
		m.finishCall(false)
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
	took := m.startCall()
	timer := time.NewTimer(took)
	defer timer.Stop()
	defer m.finishCall(true)
	select {
	case <-timer.C:
		return response{m.report()}, nil
	case <-ctx.Done():
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
}

// answerLoadQuery answers a question; a full target answers when a slot is free.
func (m *fakeTarget) answerLoadQuery(ctx context.Context) (target.Report, bool) {
	m.mu.Lock()
	m.queryCount++
	m.mu.Unlock()
	select {
	case <-m.freeSlots:
		m.freeSlots <- struct{}{}
		return m.report(), true
	case <-ctx.Done():
		return target.Report{}, false
	}
}

type response struct{ report target.Report }

func (response) IsServerError() bool     { return false }
func (a response) Report() target.Report { return a.report }
func (response) ExtraAttempts() int      { return 0 }
func (response) Discard()                {}
