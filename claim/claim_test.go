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

// startClaimer runs the claims of one node until the test's bubble ends.
func startClaimer(t *testing.T, log stream.Log, holder member.Incarnation, fleet int) *Claimer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	c := &Claimer{Log: log, Holder: holder, Book: &Book{}, Checks: &invariant.Checks{}, Fleet: func() int { return fleet }}
	f := &stream.Follower{Log: log, Name: Stream, Fold: c.Book}
	c.Ready = f.CaughtUp
	c.Start()
	go f.Run(ctx)
	go c.Run(ctx)
	time.Sleep(time.Second)
	return c
}

func newClaim(t *testing.T, c *Claimer, key, body string) *Claim {
	t.Helper()
	claim, refusal := c.New("khata", key, keyWindow, []byte(body+"--------"))
	if refusal.Reason != "" {
		t.Fatalf("refused: %v", refusal)
	}
	return claim
}

func acquire(t *testing.T, c *Claimer, key, body string) (*Claim, outcome.Refusal) {
	t.Helper()
	claim := newClaim(t, c, key, body)
	return claim, claim.Acquire(t.Context())
}

func checkRefusal(t *testing.T, what string, got outcome.Refusal, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	if got != (outcome.Refusal{Outcome: o, Reason: r}) {
		t.Errorf("%s: got %v, want %s %s", what, got, o, r)
	}
}

// TestTwoNodesOneKey races claims of two nodes on the same keys.
func TestTwoNodesOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		log.SetSlow(3 * time.Millisecond)
		nodes := []*Claimer{startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)}
		for i := range 50 {
			key := fmt.Sprint("key-", i)
			results := make(chan bool, len(nodes))
			for _, n := range nodes {
				go func() {
					c, refusal := acquire(t, n, key, "body")
					results <- refusal.Reason == "" && c.Use()
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

func TestKeyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)
		if _, refusal := acquire(t, a, "k", "body"); refusal.Reason != "" {
			t.Fatalf("first: got %v, want the claim", refusal)
		}
		time.Sleep(time.Second)
		_, refusal := acquire(t, b, "k", "body")
		checkRefusal(t, "same call again", refusal, outcome.Unknown, outcome.KeyClaimed)
		_, refusal = acquire(t, b, "k", "other")
		checkRefusal(t, "another call", refusal, outcome.NotRun, outcome.KeyReused)
		time.Sleep(keyWindow + time.Minute)
		if _, refusal := acquire(t, b, "other", "body"); refusal.Reason != "" {
			t.Fatal(refusal)
		}
		if _, refusal := acquire(t, b, "k", "other"); refusal.Reason != "" {
			t.Errorf("after the window: got %v, want the claim", refusal)
		}
	})
}

func TestReleaseLetsOthersClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := startClaimer(t, log, 1, 2), startClaimer(t, log, 2, 2)
		c, _ := acquire(t, a, "k", "body")
		c.Release()
		time.Sleep(time.Second)
		if _, refusal := acquire(t, b, "k", "body"); refusal.Reason != "" {
			t.Errorf("after a release: got %v, want the claim", refusal)
		}
		if c.Use() {
			t.Error("use after release: got true, want false")
		}
	})
}

// TestLogAway refuses truthfully while claims cannot be had, and frees keys
// whose record turns out to be in the log.
func TestLogAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := startClaimer(t, log, 1, 1)
		log.SetDown(true)
		c, refusal := acquire(t, a, "k", "body")
		checkRefusal(t, "log down", refusal, outcome.NotRun, outcome.ClaimUnavailable)
		if c.Use() {
			t.Error("use without a claim: got true, want false")
		}
		began := time.Now()
		_, refusal = acquire(t, a, "another", "body")
		checkRefusal(t, "log known to be down", refusal, outcome.NotRun, outcome.ClaimUnavailable)
		if took := time.Since(began); took != 0 {
			t.Errorf("refused after %s, want at once", took)
		}
		log.SetDown(false)
		time.Sleep(5 * time.Second)
		if _, refusal := acquire(t, a, "k", "body"); refusal.Reason != "" {
			t.Errorf("log back: got %v, want the claim", refusal)
		}
	})
}

// TestLostAck loses the acknowledgement; reading the log back settles it.
func TestLostAck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := startClaimer(t, log, 1, 1)
		log.LoseAcks(1)
		c, refusal := acquire(t, a, "k", "body")
		if refusal.Reason != "" || !c.Use() {
			t.Errorf("lost acknowledgement: got %v, want the claim", refusal)
		}
		if got, want := log.Appends(), 1; got != want {
			t.Errorf("appends: got %d, want %d", got, want)
		}
	})
}

// delayedLog lets appends take effect long after their callers gave up.
type delayedLog struct {
	*standin.Log
	delay atomic.Int64
}

func (l *delayedLog) Append(ctx context.Context, name stream.Name, payload []byte) (stream.Offset, error) {
	late := time.Duration(l.delay.Load())
	if late == 0 {
		return l.Log.Append(ctx, name, payload)
	}
	go func() {
		time.Sleep(late)
		l.Log.Append(context.Background(), name, payload)
	}()
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestLateAppend lets a claim appear after its call was refused; nobody sends
// under it, and the key becomes free again.
func TestLateAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &delayedLog{Log: &standin.Log{}}
		log.delay.Store(int64(10 * time.Second))
		a := startClaimer(t, log, 1, 1)
		c, refusal := acquire(t, a, "k", "body")
		checkRefusal(t, "late append", refusal, outcome.NotRun, outcome.ClaimUnavailable)
		log.delay.Store(0)
		time.Sleep(time.Minute)
		if c.Use() {
			t.Error("use of an abandoned claim: got true, want false")
		}
		if _, held := a.Book.Holder(DigestOf("khata", "k")); held {
			t.Error("the key is still held; want it released")
		}
	})
}

// TestPause lets the holder stand still between the claim and the send.
func TestPause(t *testing.T) {
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

func TestKeys(t *testing.T) {
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
			if _, refusal := a.New("khata", key, keyWindow, nil); refusal.Reason != reason {
				t.Errorf("key %.20q: got %q, want %q", key, refusal.Reason, reason)
			}
		}
	})
}

// TestAppendShare keeps a busy node within its share of the log's appends.
func TestAppendShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		const fleet = 15
		a := startClaimer(t, log, 1, fleet)
		const length = 20 * time.Second
		began := time.Now()
		for i := 0; time.Since(began) < length; i++ {
			go acquire(t, a, fmt.Sprint(i), "body")
			time.Sleep(time.Millisecond)
		}
		most := int(length.Seconds()*defaultFleetAppendsPerSecond/fleet) + appendBurst + 1
		if got := log.Appends(); got > most {
			t.Errorf("appends in %s: got %d, want at most %d", length, got, most)
		}
		time.Sleep(5 * time.Second)
		if got, want := a.Book.Len(), 20000; got < want*9/10 {
			t.Errorf("claims granted: got %d, want about %d", got, want)
		}
	})
}

// TestUseTwiceIsCaught shows that the invariant sees a second use.
func TestUseTwiceIsCaught(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startClaimer(t, &standin.Log{}, 1, 1)
		c, _ := acquire(t, a, "k", "body")
		c.Use()
		c.Use()
		if got := a.Checks.Count(invariant.ClaimSendsOnce); got != 1 {
			t.Errorf("breaches: got %d, want 1", got)
		}
	})
}
