package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// stopTrial is a planned stop under drawn load: calls of one profile arrive before and during
// it, and targets respond with an error at the deadline that they receive.
type stopTrial struct {
	// load draws what callers do, by the goroutine of the test only.
	load *rand.Rand
	f    *fixture
	// grace is the time from the begin of the stop to its end, and serviceTime how long calls
	// take; they take slowdown times as long once the stop has begun.
	grace, serviceTime time.Duration
	slowdown           int
	stopBeganAt        time.Time

	mu sync.Mutex
	// targets draws what targets do.
	targets *rand.Rand
	// deadlineErrors counts calls that targets ended at their deadline, cutCount those that were
	// open at the end of the stop, and ownErrors those that the node ended although a target
	// had them.
	deadlineErrors, cutCount, ownErrors int
	sentLate, refusedLate               int
}

// newStopTrial draws a trial.
func newStopTrial(t *testing.T, seed uint64, slowdown int) *stopTrial {
	rng := rand.New(rand.NewPCG(seed, 44))
	s := &stopTrial{load: rng, targets: rand.New(rand.NewPCG(seed, 45)), slowdown: slowdown}
	s.grace = time.Duration(1500+rng.IntN(5000)) * time.Millisecond
	s.serviceTime = time.Duration(20+rng.IntN(1500)) * time.Millisecond
	s.f = newFixture(t, 40, s.respond)
	return s
}

// respond draws how long a target takes for an attempt. It responds at the deadline at the
// latest.
func (s *stopTrial) respond(_ int, a Attempt) action {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(float64(s.serviceTime) * (0.7 + 0.3*s.targets.Float64()))
	now := time.Now()
	if !s.stopBeganAt.IsZero() && !now.Before(s.stopBeganAt) {
		d *= time.Duration(s.slowdown)
		s.sentLate++
	}
	if s.targets.IntN(20) == 0 {
		return action{failure: refusedByTarget}
	}
	if left := a.Deadline.Sub(now); left < d {
		s.deadlineErrors++
		return action{delay: left, isServerError: true}
	}
	return action{delay: d}
}

// call makes one call that may take up to timeout, and counts how it ended.
func (s *stopTrial) call(timeout time.Duration, isIdempotent bool) {
	p := nonIdempotent()
	if isIdempotent {
		p = idempotent()
		p.Hedge, p.HedgePercentile = true, 95
	}
	p.Name, p.CallTimeout, p.AttemptTimeout = "p", timeout, timeout
	resp, fail := s.f.Do(context.Background(), s.f.svc, newCall(p), s.f.sender)
	now := time.Now()
	if fail == nil {
		resp.Finish(target.Answered)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopBeganAt.IsZero() && now.After(s.stopBeganAt.Add(s.grace)) {
		s.cutCount++
	}
	if fail == nil {
		return
	}
	if fail.Outcome == outcome.Unknown {
		s.ownErrors++
	}
	if fail.Reason == outcome.NodeStopping {
		s.refusedLate++
	}
}

// run sends calls for a while, begins the stop and sends calls for half of the grace period.
func (s *stopTrial) run() {
	var calls sync.WaitGroup
	send := func(span time.Duration, timeout func() time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); {
			limit, isIdempotent := timeout(), s.load.IntN(2) == 0
			calls.Go(func() { s.call(limit, isIdempotent) })
			time.Sleep(time.Duration(1+s.load.IntN(60)) * time.Millisecond)
		}
	}
	// The timeouts of calls before the stop fit the grace period.
	send(time.Duration(s.load.IntN(4000))*time.Millisecond, func() time.Duration { return s.grace/2 + time.Duration(s.load.Int64N(int64(s.grace/2))) })
	s.mu.Lock()
	s.stopBeganAt = time.Now()
	s.mu.Unlock()
	s.f.BeginStop(s.stopBeganAt.Add(s.grace))
	send(s.grace/2, func() time.Duration { return time.Duration(200+s.load.IntN(9000)) * time.Millisecond })
	calls.Wait()
}

// Whenever calls arrive, however long they take and may take, a node that stops must have a
// response for each call that it has sent, and that of the target. In calm no target may have
// to end a call sooner because of the stop than its caller allows.
func TestStopHasResponseForEachCallThatWasSent(t *testing.T) {
	const seeds = 400
	sent, refused := 0, 0
	for seed := range uint64(seeds) {
		slowdown := 1 + int(seed%3)
		synctest.Test(t, func(t *testing.T) {
			s := newStopTrial(t, seed, slowdown)
			s.run()
			synctest.Wait()
			if s.cutCount > 0 || s.ownErrors > 0 {
				t.Errorf("seed %d: got %d calls open at the end of the stop and %d ended by the node, want none", seed, s.cutCount, s.ownErrors)
			}
			sent, refused = sent+s.sentLate, refused+s.refusedLate
		})
	}
	if sent < seeds || refused < seeds {
		t.Errorf("calls during stops: got %d sent and %d refused, want many of both", sent, refused)
	}
}

// Calls that take as long during a stop as before must not be sent if they cannot end in time:
// the target would end them with an error that another node's caller does not get.
func TestStopSendsNoCallThatTargetMustEnd(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			s := newStopTrial(t, seed, 1)
			// Callers allow enough time for the call itself.
			s.grace = 2*s.serviceTime + time.Duration(s.load.IntN(4000))*time.Millisecond
			s.f.BeginStop(time.Now().Add(time.Hour))
			var calls sync.WaitGroup
			for range 30 {
				calls.Go(func() { s.call(2*s.serviceTime, true) })
			}
			calls.Wait()
			s.f.BeginStop(time.Now().Add(s.grace))
			for range 30 {
				calls.Go(func() { s.call(time.Hour, true) })
				time.Sleep(s.grace / 40)
			}
			calls.Wait()
			synctest.Wait()
			if s.deadlineErrors > 0 {
				t.Errorf("seed %d: got %d calls that targets ended at the end of the stop, want none", seed, s.deadlineErrors)
			}
		})
	}
}

// Without recent responses the duration of a call has no bound but its deadline: one whose
// deadline is after the end of the stop is refused, and one whose deadline is before is sent.
func TestStopWithoutEvidenceGoesByDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, func(int, Attempt) action { return action{delay: time.Millisecond} })
		f.BeginStop(time.Now().Add(time.Second))
		long, short := idempotent(), idempotent()
		short.CallTimeout = 800 * time.Millisecond
		resp, fail := f.Do(t.Context(), f.svc, newCall(long), f.sender)
		if fail == nil {
			resp.Finish(target.Answered)
			t.Fatal("call with a later deadline: got a response, want a refusal")
		}
		if fail.Outcome != outcome.NotRun || fail.Reason != outcome.NodeStopping || fail.RetryAfter != stopRetryAfter || len(f.sender.attempts) > 0 {
			t.Errorf("call with a later deadline: got %+v after %d attempts, want not run, node-stopping and a short retry delay", fail, len(f.sender.attempts))
		}
		if got := f.do(t.Context(), newCall(short)); got.Outcome != outcome.Done {
			t.Errorf("call with an earlier deadline: got %+v, want done", got)
		}
	})
}

// newStoppingCapacityFixture returns a fixture with evidence of calls of 200 ms, whose target
// then has the given number of calls of others, and which stops as planned.
func newStoppingCapacityFixture(t *testing.T, othersCalls int, stopAfter time.Duration) *capacityFixture {
	f := newCapacityFixture(&retry.Budget{})
	for range 2 * minResponses {
		resp, fail := f.Do(t.Context(), f.svc, newCall(objectiveProfile()), f)
		if fail != nil {
			t.Fatalf("call before the stop: got %+v, want a response", fail)
		}
		resp.Finish(target.Answered)
		time.Sleep(10 * time.Millisecond)
	}
	f.target.add(othersCalls)
	f.BeginStop(time.Now().Add(stopAfter))
	return f
}

// doStopped makes one call that a stopping node must refuse, and returns how long that took.
func (f *capacityFixture) doStopped(t *testing.T, p profile.Profile) (took time.Duration) {
	t.Helper()
	start := time.Now()
	resp, fail := f.Do(t.Context(), f.svc, newCall(p), f)
	if fail == nil {
		resp.Finish(target.Answered)
		t.Fatal("got a response, want a refusal")
	}
	if fail.Outcome != outcome.NotRun || fail.Reason != outcome.NodeStopping {
		t.Errorf("got %s %s, want not run, node-stopping", fail.Outcome, fail.Reason)
	}
	return time.Since(start)
}

// A call that waits for capacity when it can no longer end in time must be refused then, not at
// the end of the stop: another node may serve it.
func TestStopRefusesWaitingCallOnceItCannotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stopAfter = 900 * time.Millisecond
		f := newStoppingCapacityFixture(t, 100, stopAfter)
		p := objectiveProfile()
		p.LatencyObjective = 2 * time.Second
		p.CallTimeout = 9 * time.Second
		latest := stopAfter - stopOverhead - f.serviceTime + 2*maxRecheckDelay
		if got := f.doStopped(t, p); got > latest {
			t.Errorf("refused after %s, want at most %s", got, latest)
		}
	})
}

// Recent calls were short, but the target reports a long queue: by the forecast a call does not
// end in time.
func TestStopSendsNoCallWithLongForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStoppingCapacityFixture(t, 8, 900*time.Millisecond)
		p := objectiveProfile()
		p.LatencyObjective = 5 * time.Second
		p.CallTimeout = 9 * time.Second
		if got := f.doStopped(t, p); got > maxRecheckDelay {
			t.Errorf("refused after %s, want at once", got)
		}
	})
}

// slowConnSender waits for a connection before it may send.
type slowConnSender struct {
	*fakeSender
	wait time.Duration
}

func (s slowConnSender) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	time.Sleep(s.wait)
	return s.fakeSender.Send(ctx, a)
}

// A call that waits too long for a connection to its target must not be sent any more.
func TestStopChecksCallRightBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, func(int, Attempt) action { return action{delay: 100 * time.Millisecond} })
		for range minResponses {
			f.do(t.Context(), newCall(nonIdempotent()))
		}
		sent := len(f.sender.attempts)
		f.BeginStop(time.Now().Add(time.Second))
		p := nonIdempotent()
		p.CallTimeout = 9 * time.Second
		_, fail := f.Do(t.Context(), f.svc, newCall(p), slowConnSender{f.sender, 850 * time.Millisecond})
		if fail == nil || fail.Outcome != outcome.NotRun || fail.Reason != outcome.NodeStopping {
			t.Errorf("got %+v, want not run, node-stopping", fail)
		}
		if got := len(f.sender.attempts) - sent; got > 0 {
			t.Errorf("attempts: got %d, want none", got)
		}
	})
}
