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
	queue      = 12
	work       = 220 * time.Millisecond
	workSpread = 0.3
	slowShare  = 0.25
	slowFactor = 4.0
	slowEvery  = 300 * time.Millisecond
	knee       = 0.8
	kneeFactor = 1.7
	objective  = 600 * time.Millisecond
	deadline   = 1200 * time.Millisecond
	// travel is one way within a zone, and farTravel between zones.
	travel    = 200 * time.Microsecond
	farTravel = 500 * time.Microsecond
	// A target in cold start takes coldFactor times as long, bears coldPerSecond calls
	// a second, and starts anew if more than coldMost come in one.
	coldFor       = 3 * time.Second
	coldFactor    = 2.0
	coldPerSecond = 6.2
	coldMost      = coldPerSecond*1.5 + 5
)

// machine is one fake target.
type machine struct {
	free chan struct{}

	mu               sync.Mutex
	rng              *rand.Rand
	pace             float64
	running, waiting int
	arrivals, looks  int
	// coldUntil is when the cold start ends, second when the second began in which
	// burst calls have come, and overruns how often a cold start began anew.
	coldUntil, second time.Time
	burst, overruns   int
}

func newMachine(seed uint64, cold bool) *machine {
	m := &machine{free: make(chan struct{}, slots), rng: rand.New(rand.NewPCG(seed, 7)), pace: 1}
	if cold {
		m.coldUntil = time.Now().Add(coldFor)
	}
	for range slots {
		m.free <- struct{}{}
	}
	return m
}

// shift draws the machine's pace anew, now and then, until ctx ends.
func (m *machine) shift(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.pace = 1
		if m.rng.Float64() < slowShare {
			m.pace = slowFactor
		}
		span := time.Duration(m.rng.ExpFloat64() * float64(slowEvery))
		m.mu.Unlock()
		pause.For(ctx, span)
	}
}

func (m *machine) report() target.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := target.Report{IsPresent: true, IsDetailed: true, State: target.Live, RunningCount: m.running, WaitingCount: m.waiting,
		Slots: slots, SlowdownFactor: m.pace, InFlight: m.running + m.waiting}
	if left := time.Until(m.coldUntil); left > 0 {
		r.State, r.ColdStartRemaining = target.Cold, left
	}
	return r
}

// overrun reports whether a call is one too many for a cold start, which then
// begins anew. The lock must be held.
func (m *machine) overrun() bool {
	now := time.Now()
	if !now.Before(m.coldUntil) {
		return false
	}
	if now.Sub(m.second) >= time.Second {
		m.second, m.burst = now, 0
	}
	m.burst++
	if float64(m.burst) <= coldMost {
		return false
	}
	m.overruns++
	m.coldUntil = now.Add(coldFor)
	return true
}

// arrive takes a call into the queue, or reports that it is full.
func (m *machine) arrive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals++
	if m.overrun() || m.waiting >= queue {
		return false
	}
	m.waiting++
	return true
}

// begin turns a waiting call into a running one and returns how long it takes.
func (m *machine) begin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting--
	m.running++
	// A lognormal time of the given mean.
	d := float64(work) * math.Exp(workSpread*m.rng.NormFloat64()-workSpread*workSpread/2) * m.pace
	if float64(m.running) > knee*slots {
		d *= kneeFactor
	}
	if time.Now().Before(m.coldUntil) {
		d *= coldFactor
	}
	return time.Duration(d)
}

func (m *machine) leave(running bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if running {
		m.running--
		m.free <- struct{}{}
		return
	}
	m.waiting--
}

// serve runs one call.
func (m *machine) serve(ctx context.Context) (dispatch.Response, *dispatch.AttemptFailure) {
	if !m.arrive() {
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true, Report: m.report()}
	}
	select {
	case <-m.free:
	case <-ctx.Done():
		m.leave(false)
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
	took := m.begin()
	timer := time.NewTimer(took)
	defer timer.Stop()
	defer m.leave(true)
	select {
	case <-timer.C:
		return answer{m.report()}, nil
	case <-ctx.Done():
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
	}
}

// look answers a question; a full target answers when a slot is free.
func (m *machine) look(ctx context.Context) (target.Report, bool) {
	m.mu.Lock()
	m.looks++
	m.mu.Unlock()
	select {
	case <-m.free:
		m.free <- struct{}{}
		return m.report(), true
	case <-ctx.Done():
		return target.Report{}, false
	}
}

type answer struct{ report target.Report }

func (answer) IsServerError() bool     { return false }
func (a answer) Report() target.Report { return a.report }
func (answer) ExtraAttempts() int      { return 0 }
func (answer) Discard()                {}
