package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
)

const keyWindow = time.Hour

// startClaimer runs a claimer and the follower of its stream until the test
// ends. It sleeps so that the follower catches up.
func startClaimer(t *testing.T, log stream.Log, holder member.Incarnation, fleetSize int) *Claimer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	c := &Claimer{Log: log, Holder: holder, State: &State{}, Checks: &invariant.Checker{}, FleetSize: func() int { return fleetSize }}
	f := &stream.Follower{Log: log, Name: Stream, Applier: c.State}
	c.IsCaughtUp = f.HasCaughtUp
	c.Init()
	go f.Run(ctx)
	go c.Run(ctx)
	time.Sleep(time.Second)
	return c
}

func newClaim(t *testing.T, c *Claimer, key, body string) *Claim {
	t.Helper()
	claim, failure := c.NewClaim("khata", key, keyWindow, []byte(body+"--------"))
	if failure.Reason != "" {
		t.Fatalf("new claim: got %v, want no failure", failure)
	}
	return claim
}

func acquire(t *testing.T, c *Claimer, key, body string) (*Claim, outcome.Failure) {
	t.Helper()
	claim := newClaim(t, c, key, body)
	return claim, claim.Acquire(t.Context())
}

// checkFailure reports an error unless got has the outcome o and the reason r.
func checkFailure(t *testing.T, what string, got outcome.Failure, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	if got != (outcome.Failure{Outcome: o, Reason: r}) {
		t.Errorf("%s: got %v, want %s %s", what, got, o, r)
	}
}

// TestConcurrentClaimsSendOnce checks that exactly one of two nodes may send
// when both claim the same key at the same time.
func TestConcurrentClaimsSendOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		log.SetLatency(3 * time.Millisecond)
		nodes := []*Claimer{startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)}
		for i := range 50 {
			key := fmt.Sprint("key-", i)
			results := make(chan bool, len(nodes))
			for _, n := range nodes {
				go func() {
					c, failure := acquire(t, n, key, "body")
					results <- failure.Reason == "" && c.Use()
				}()
			}
			sends := 0
			for range nodes {
				if <-results {
					sends++
				}
			}
			if sends != 1 {
				t.Errorf("sends of %s: got %d, want 1", key, sends)
			}
		}
	})
}

// A key whose window is over must be free at once, also if no other record reaches the stream.
func TestKeyIsFreeAfterItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startClaimer(t, &standin.Log{}, 1, 1)
		for range 2 {
			if _, failure := acquire(t, c, "k", "body"); failure.Reason != "" {
				t.Fatalf("call with a free key: got %v, want the claim granted", failure)
			}
			time.Sleep(keyWindow + time.Second)
		}
	})
}

func TestClaimedKeyIsRefusedWithinWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)
		if _, failure := acquire(t, a, "k", "body"); failure.Reason != "" {
			t.Fatalf("first call: got %v, want the claim granted", failure)
		}
		time.Sleep(time.Second)
		_, failure := acquire(t, b, "k", "body")
		checkFailure(t, "same call with the key", failure, outcome.Unknown, outcome.KeyClaimed)
		_, failure = acquire(t, b, "k", "other")
		checkFailure(t, "another call with the key", failure, outcome.NotRun, outcome.KeyReused)
		time.Sleep(keyWindow + time.Minute)
		if _, failure := acquire(t, b, "other", "body"); failure.Reason != "" {
			t.Fatal(failure)
		}
		if _, failure := acquire(t, b, "k", "other"); failure.Reason != "" {
			t.Errorf("after the window: got %v, want the claim granted", failure)
		}
	})
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)
		c, _ := acquire(t, a, "k", "body")
		c.Release()
		time.Sleep(time.Second)
		if _, failure := acquire(t, b, "k", "body"); failure.Reason != "" {
			t.Errorf("after a release: got %v, want the claim granted", failure)
		}
		if c.Use() {
			t.Error("use after release: got true, want false")
		}
	})
}

// TestAcquireWhileLogUnavailable checks that claims are refused as not run
// while the log is unavailable, immediately once an append has failed, and that
// the key can be claimed when the log is available again.
func TestAcquireWhileLogUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := startClaimer(t, log, 1, 1)
		log.SetDown(true)
		c, failure := acquire(t, a, "k", "body")
		checkFailure(t, "log unavailable", failure, outcome.NotRun, outcome.ClaimUnavailable)
		if c.Use() {
			t.Error("use without a claim: got true, want false")
		}
		startedAt := time.Now()
		_, failure = acquire(t, a, "another", "body")
		checkFailure(t, "log unavailable after a failed append", failure, outcome.NotRun, outcome.ClaimUnavailable)
		if took := time.Since(startedAt); took != 0 {
			t.Errorf("time to refusal: got %s, want 0s", took)
		}
		log.SetDown(false)
		time.Sleep(5 * time.Second)
		if _, failure := acquire(t, a, "k", "body"); failure.Reason != "" {
			t.Errorf("log available again: got %v, want the claim granted", failure)
		}
	})
}

// TestLostAckIsResolvedByReading checks that a claim is granted by reading the
// stream, without a second append, if the acknowledgement of its append is
// lost.
func TestLostAckIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := startClaimer(t, log, 1, 1)
		log.LoseAcks(1)
		c, failure := acquire(t, a, "k", "body")
		if failure.Reason != "" || !c.Use() {
			t.Errorf("lost acknowledgement: got %v, want the claim granted and usable", failure)
		}
		if got, want := log.AppendCount(), 1; got != want {
			t.Errorf("appends: got %d, want %d", got, want)
		}
	})
}

// delayedLog is a log whose appends take effect after delay and, unless it is
// zero, return only when their context ends.
type delayedLog struct {
	*standin.Log
	delay atomic.Int64 // in nanoseconds
}

func (l *delayedLog) Append(ctx context.Context, name stream.Name, payload []byte) (stream.Offset, error) {
	delay := time.Duration(l.delay.Load())
	if delay == 0 {
		return l.Log.Append(ctx, name, payload)
	}
	go func() {
		time.Sleep(delay)
		l.Log.Append(context.Background(), name, payload)
	}()
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestLateAppendReleasesKey checks that a claim whose record appears after its
// call was refused is not used for a send and that its key is released.
func TestLateAppendReleasesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &delayedLog{Log: &standin.Log{}}
		log.delay.Store(int64(10 * time.Second))
		a := startClaimer(t, log, 1, 1)
		c, failure := acquire(t, a, "k", "body")
		checkFailure(t, "late append", failure, outcome.NotRun, outcome.ClaimUnavailable)
		log.delay.Store(0)
		time.Sleep(time.Minute)
		if c.Use() {
			t.Error("use of an abandoned claim: got true, want false")
		}
		if _, held := a.State.GrantOf(HashKey("khata", "k")); held {
			t.Error("key: got held, want released")
		}
	})
}

// TestUseAfterPause checks that a claim can be used after a pause shorter than
// half its window, but only once, and not after a pause of the whole window.
func TestUseAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startClaimer(t, &standin.Log{}, 1, 1)
		short, _ := acquire(t, a, "short", "body")
		time.Sleep(keyWindow / 4)
		if !short.Use() {
			t.Error("use after a pause within the window: got false, want true")
		}
		if short.Use() {
			t.Error("second use: got true, want false")
		}
		long, _ := acquire(t, a, "long", "body")
		time.Sleep(keyWindow)
		if long.Use() {
			t.Error("use after a pause of the whole window: got true, want false")
		}
	})
}

func TestNewClaimValidatesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startClaimer(t, &standin.Log{}, 1, 1)
		old := uuid.Must(uuid.NewV7()).String()
		time.Sleep(2 * keyWindow)
		for key, reason := range map[string]outcome.Reason{
			"":                        outcome.KeyInvalid,
			string(make([]byte, 300)): outcome.KeyInvalid,
			old:                       outcome.KeyTooOld,
			uuid.NewString():          "",
			"any text":                "",
		} {
			if _, failure := a.NewClaim("khata", key, keyWindow, nil); failure.Reason != reason {
				t.Errorf("key %.20q: got %q, want %q", key, failure.Reason, reason)
			}
		}
	})
}

// TestAppendRateLimit checks that a node with many claims stays within its
// share of the appends of all nodes and still gets the claims granted.
func TestAppendRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		const fleet = 15
		a := startClaimer(t, log, 1, fleet)
		const duration = 20 * time.Second
		startedAt := time.Now()
		for i := 0; time.Since(startedAt) < duration; i++ {
			go acquire(t, a, fmt.Sprint(i), "body")
			time.Sleep(time.Millisecond)
		}
		maxAppends := int(duration.Seconds()*defaultFleetAppendsPerSecond/fleet) + appendBurst + 1
		if got := log.AppendCount(); got > maxAppends {
			t.Errorf("appends in %s: got %d, want at most %d", duration, got, maxAppends)
		}
		time.Sleep(5 * time.Second)
		if got, want := a.State.Len(), 20000; got < want*9/10 {
			t.Errorf("claims granted: got %d, want about %d", got, want)
		}
	})
}

// TestSecondUseViolatesInvariant checks that a second use of a claim is counted
// as a violation of invariant.ClaimSendsOnce.
func TestSecondUseViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startClaimer(t, &standin.Log{}, 1, 1)
		c, _ := acquire(t, a, "k", "body")
		c.Use()
		c.Use()
		if got := a.Checks.Violations(invariant.ClaimSendsOnce); got != 1 {
			t.Errorf("violations: got %d, want 1", got)
		}
	})
}

// While the log is unavailable the oldest releases must be dropped: the windows of their keys
// end first.
func TestOldestReleasesAreDropped(t *testing.T) {
	const excess = 3
	c := &Claimer{State: &State{}}
	c.Init()
	for n := range SequenceNumber(maxQueuedReleases + excess) {
		c.enqueueRelease(Release{SequenceNumber: n})
	}
	b, _ := c.takeBatch()
	c.handleFailedAppend(b)
	if got := len(c.releases); got != maxQueuedReleases {
		t.Fatalf("queued releases: got %d, want %d", got, maxQueuedReleases)
	}
	if first, last := c.releases[0].SequenceNumber, c.releases[maxQueuedReleases-1].SequenceNumber; first != excess || last != maxQueuedReleases+excess-1 {
		t.Errorf("queued releases: got %d to %d, want the newest, %d to %d", first, last, excess, maxQueuedReleases+excess-1)
	}
}

// A claim whose append failed has no decision ever. It must not be kept for longer than its
// key could be claimed.
func TestClaimWithoutDecisionIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		c := startClaimer(t, log, 1, 1)
		log.SetDown(true)
		if _, failure := acquire(t, c, "k", "body"); failure.Reason != outcome.ClaimUnavailable {
			t.Fatalf("claim without the log: got %v, want it unavailable", failure)
		}
		time.Sleep(keyWindow + time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := len(c.pending); got != 0 {
			t.Errorf("claims without a decision: got %d, want none after the window", got)
		}
	})
}
