package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// newLimitedFixture returns a fixture whose target names a rate limit of 5 calls a second
// and serves a call in 20 ms.
func newLimitedFixture() *capacityFixture {
	f := newCapacityFixture(&retry.Budget{})
	f.serviceTime = 20 * time.Millisecond
	f.target.limit = target.RateLimit{Status: target.LimitNamed, PerSecond: 5}
	return f
}

// urgentProfile returns a profile with an urgency and a latency objective.
func urgentProfile(u profile.Urgency, objective time.Duration) profile.Profile {
	p := objectiveProfile()
	p.Urgency, p.LatencyObjective = u, objective
	return p
}

// All targets of a service name limits far below what callers send. The target must get
// what it named, and the rest must be refused at once and truly, with a time to return
// that grows with the calls that wait.
func TestCallsBeyondLimitAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFixture()
		const seconds = 10
		ends := f.offerLoad(t, 20*time.Millisecond, seconds*time.Second)
		served, longest := 0, time.Duration(0)
		for _, e := range ends {
			if e.failure == nil {
				served++
				continue
			}
			if e.failure.Outcome != outcome.NotRun || e.failure.Reason != outcome.TargetsLimited || e.failure.EarliestRetry <= 0 {
				t.Fatalf("failure: got %+v, want not run because of the limit, with a time to return", e.failure)
			}
			if e.duration > 700*time.Millisecond {
				t.Errorf("refused after %s, want sooner", e.duration)
			}
			longest = max(longest, e.failure.EarliestRetry)
		}
		if min, max := 8*5*seconds/10, 5*(seconds+1); served < min || served > max {
			t.Errorf("calls served: got %d, want %d to %d", served, min, max)
		}
		if longest < 400*time.Millisecond {
			t.Errorf("longest time to return: got %s, want one that counts the waiting calls", longest)
		}
	})
}

// Of the calls that wait for a turn the urgent ones go first, and patient calls are not
// kept waiting for ever.
func TestUrgentCallsTakeTurnsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFixture()
		served := f.offerMixed(t, 100*time.Millisecond, 10*time.Second)
		if served[profile.Urgent] < 2*served[profile.Patient] {
			t.Errorf("calls served: got %d urgent and %d patient, want urgent ones first", served[profile.Urgent], served[profile.Patient])
		}
		if served[profile.Patient] == 0 {
			t.Error("patient calls served: got none, want some")
		}
	})
}

// offerMixed sends urgent and patient calls in turn and counts those served.
func (f *capacityFixture) offerMixed(t *testing.T, interval, duration time.Duration) (served [profile.UrgencyCount]int) {
	results := make(chan profile.Urgency, 1024)
	sent := 0
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		for _, u := range []profile.Urgency{profile.Urgent, profile.Patient} {
			sent++
			go func() {
				resp, _ := f.Do(t.Context(), f.svc, newCall(urgentProfile(u, time.Second)), f)
				if resp == nil {
					results <- profile.UrgencyCount
					return
				}
				resp.Finish(target.Answered)
				results <- u
			}()
		}
	}
	for range sent {
		if u := <-results; u < profile.UrgencyCount {
			served[u]++
		}
	}
	return served
}

// A call that waits for a turn takes no more time than its objective allows, and leaves the
// queue of its service empty.
func TestTurnQueueIsEmptyAfterCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFixture()
		f.offerLoad(t, 10*time.Millisecond, 3*time.Second)
		if got := f.svc.turnQueue.countAhead(profile.Patient); got != 0 {
			t.Errorf("waiting calls: got %d, want none", got)
		}
	})
}

// A new call must leave the turns to those that wait and are at least as urgent. One that
// waits must leave them to more urgent ones only, and for half of its objective only.
func TestCallYieldsTurnToMoreUrgentOnes(t *testing.T) {
	const objective = time.Second
	tests := []struct {
		name    string
		urgency profile.Urgency
		// isWaiting reports whether the call waits itself, for the given time.
		isWaiting bool
		waitedFor time.Duration
		others    []profile.Urgency
		want      bool
	}{
		{"new, nobody waits", profile.Patient, false, 0, nil, false},
		{"new, as urgent ones wait", profile.Patient, false, 0, []profile.Urgency{profile.Patient}, true},
		{"new, less urgent ones wait", profile.Urgent, false, 0, []profile.Urgency{profile.Patient}, false},
		{"waiting, more urgent ones wait", profile.Patient, true, 0, []profile.Urgency{profile.Urgent}, true},
		{"waiting, as urgent ones wait", profile.Urgent, true, 0, []profile.Urgency{profile.Urgent}, false},
		{"waiting, less urgent ones wait", profile.Urgent, true, 0, []profile.Urgency{profile.Patient}, false},
		{"waiting for long, more urgent ones wait", profile.Patient, true, objective * 6 / 10, []profile.Urgency{profile.Urgent}, false},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			p := urgentProfile(tt.urgency, objective)
			r := &run{service: &Service{}, call: newCall(p)}
			for _, u := range tt.others {
				r.service.turnQueue.add(u, 1)
			}
			if tt.isWaiting {
				r.turnPlace = &turnPlace{urgency: tt.urgency, joinedAt: time.Now()}
				r.service.turnQueue.add(tt.urgency, 1)
			}
			time.Sleep(tt.waitedFor)
			if got := r.mustYieldTurn(); got != tt.want {
				t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
			}
		})
	}
}
