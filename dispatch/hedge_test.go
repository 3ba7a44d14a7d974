package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// decisionLog records the decisions on calls. It is safe for concurrent use.
type decisionLog struct {
	mu        sync.Mutex
	decisions []Decision
}

func (l *decisionLog) ObserveDecision(_ *Call, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions = append(l.decisions, d)
}

// A hedge that every target refuses must be recorded with the target that refused it last:
// the log names it, and the call excludes it from its next choice.
func TestRefusedHedgeNamesItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHedgingFixture(t, func(n int, _ Attempt) action {
			if n == 1 {
				return action{delay: 30 * time.Millisecond, failure: brokenAfterWrite}
			}
			return action{failure: refusedByTarget}
		})
		log := &decisionLog{}
		f.Observer = log
		p := idempotent()
		p.Hedge, p.HedgePercentile = true, 95
		f.do(t.Context(), newCall(p))
		synctest.Wait()
		failed := 0
		for _, d := range log.decisions {
			if d.Kind != Failed {
				continue
			}
			failed++
			if d.Target.ID == "" {
				t.Errorf("failed attempt %d: got no target, want one", failed)
			}
		}
		if failed < 2 {
			t.Errorf("failed attempts: got %d, want the first one and the hedge at least", failed)
		}
	})
}

// Guards against an idempotent call that waits for its hedge after the path to the targets is
// lost, where its first attempt is given up.
func TestHedgeIsGivenUpOnLostPath(t *testing.T) {
	const lostAfter = 50 * time.Millisecond
	for _, tt := range []struct {
		name     string
		first    action
		attempts int
	}{
		{"both open", action{delay: time.Hour}, 2},
		{"hedge open", action{delay: 20 * time.Millisecond, failure: brokenAfterWrite}, 2},
		{"hedge not started", action{delay: time.Hour}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newHedgingFixture(t, func(n int, _ Attempt) action {
				if n == 1 {
					return tt.first
				}
				return action{delay: time.Hour}
			})
			if tt.attempts == 1 {
				f.svc.HedgeBudget = &retry.Budget{}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f.svc.Path = fakePath{ctx}
			time.AfterFunc(lostAfter, cancel)
			p := idempotent()
			p.Hedge, p.HedgePercentile = true, 95
			start := time.Now()
			_, fail := f.Do(t.Context(), f.svc, newCall(p), f.sender)
			if fail == nil || !fail.CanForward || time.Since(start) != lostAfter {
				t.Errorf("%s: got %+v after %s, want a call that may go through another node after %s", tt.name, fail, time.Since(start), lostAfter)
			}
			if got := len(f.sender.attempts); got != tt.attempts {
				t.Errorf("%s: attempts: got %d, want %d", tt.name, got, tt.attempts)
			}
		})
	}
}

// chargingSender charges each cancelled attempt with all that was granted to it.
type chargingSender struct{ *fakeSender }

func (s chargingSender) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	response, failure := s.fakeSender.Send(ctx, a)
	if failure != nil && failure.Result == target.Cancelled {
		failure.ExtraAttempts = a.MaxExtraAttempts
	}
	return response, failure
}

// Guards against a first attempt whose hedge responded first and which may have been repeated
// below, without a charge to the call.
func TestAttemptsBelowReplacedAttemptAreCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxRetries = 4
		f := newHedgingFixture(t, func(n int, _ Attempt) action {
			if n == 1 {
				return action{delay: 900 * time.Millisecond}
			}
			return action{delay: time.Millisecond, isServerError: true}
		})
		for range 20 {
			f.svc.RetryBudget.Earn()
		}
		p := idempotent()
		p.Hedge, p.HedgePercentile, p.MaxRetries = true, 95, maxRetries
		resp, _ := f.Do(t.Context(), f.svc, newCall(p), chargingSender{f.sender})
		if resp != nil {
			resp.Finish(target.Answered)
		}
		synctest.Wait()
		granted := f.sender.attempts[0].MaxExtraAttempts
		if got := len(f.sender.attempts) + granted; got > maxRetries+1 {
			t.Errorf("attempts, those that the first one may have caused below included: got %d, want at most %d", got, maxRetries+1)
		}
	})
}

// Guards against a call that ends with a panic because its first attempt and its hedge respond at
// the same time, and the response of the hedge is used.
func TestHedgeAndFirstAttemptRespondTogether(t *testing.T) {
	const callCount, duration = 200, 25 * time.Millisecond
	for range callCount {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			f := newHedgingFixture(t, func(int, Attempt) action { return action{delay: time.Until(start.Add(duration))} })
			p := idempotent()
			p.Hedge, p.HedgePercentile = true, 95
			resp, fail := f.Do(t.Context(), f.svc, newCall(p), f.sender)
			if fail != nil || time.Since(start) != duration {
				t.Fatalf("call: got %+v after %s, want a response after %s", fail, time.Since(start), duration)
			}
			resp.Finish(target.Answered)
			synctest.Wait()
		})
	}
}
