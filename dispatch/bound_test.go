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

// fakePath is a path that is lost once its context is done.
type fakePath struct{ ctx context.Context }

func (p fakePath) IsLost() bool          { return p.ctx.Err() != nil }
func (p fakePath) IsInDoubt() bool       { return p.IsLost() }
func (p fakePath) Lost() context.Context { return p.ctx }

// runCounter is a Sender that counts the attempts that may have run at a target.
type runCounter struct {
	Sender
	mu               sync.Mutex
	possibleRunCount int
}

func (c *runCounter) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	if ctx.Err() != nil {
		return nil, &AttemptFailure{Result: target.Cancelled}
	}
	response, failure := c.Sender.Send(ctx, a)
	if response != nil || failure.Written && failure.Result != target.Refused {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.possibleRunCount++
	}
	return response, failure
}

func (c *runCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.possibleRunCount
}

// randomAction draws how a target handles an attempt.
func randomAction(rng *rand.Rand) action {
	act := action{delay: time.Duration(rng.IntN(40)) * time.Millisecond}
	switch rng.IntN(7) {
	case 0:
		act.failure = refusedByTarget
	case 1:
		act.failure = connectFailed
	case 2:
		act.failure = brokenAfterWrite
	case 3:
		act.isServerError = true
	case 4:
		act.delay = time.Hour
	}
	return act
}

// randomProfile draws a profile.
func randomProfile(rng *rand.Rand) profile.Profile {
	p := nonIdempotent()
	if rng.IntN(4) > 0 {
		p = idempotent()
	}
	p.Hedge, p.HedgePercentile, p.MaxRetries = rng.IntN(2) == 0, 95, rng.IntN(4)
	p.AttemptTimeout = time.Duration(1+rng.IntN(100)) * time.Millisecond
	return p
}

// Whatever the targets and the path do, a call may run at as many targets as its profile
// allows at most, one that is not idempotent at one; one that was reported as not run has run
// at none, and one that goes through another node leaves that node an attempt.
func TestPossibleRunsOfCallAreBounded(t *testing.T) {
	const seeds = 4000
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var mu sync.Mutex
			f := newHedgingFixture(t, func(int, Attempt) action {
				mu.Lock()
				defer mu.Unlock()
				return randomAction(rng)
			})
			for range 10 {
				f.svc.RetryBudget.Earn()
			}
			if rng.IntN(2) == 0 {
				f.svc.ExtraAttemptBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 10}}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f.svc.Path = fakePath{ctx}
			time.AfterFunc(time.Duration(rng.IntN(200))*time.Millisecond, cancel)
			c := newCall(randomProfile(rng))
			maxRuns := 1
			if c.Profile.Idempotent {
				maxRuns += c.Profile.MaxRetries
			}
			sender := &runCounter{Sender: f.sender}
			resp, fail := f.Do(t.Context(), f.svc, c, sender)
			if fail == nil {
				resp.Finish(target.Answered)
			} else if fail.CanForward {
				maxRuns--
			}
			synctest.Wait()
			got := sender.count()
			if got > maxRuns {
				t.Errorf("seed %d: targets at which the call may have run: got %d, want at most %d", seed, got, maxRuns)
			}
			if fail != nil && fail.Outcome == outcome.NotRun && got > 0 {
				t.Errorf("seed %d: targets at which a call that was not run may have run: got %d, want 0", seed, got)
			}
		})
	}
}
