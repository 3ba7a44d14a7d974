package claim

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
)

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 255

// status is where a claim stands.
type status uint8

const (
	statusNew status = iota
	statusPending
	statusGranted
	statusDenied
	// statusUsed: a send may have happened.
	statusUsed
	// statusAbandoned: the call has ended without a send; there will be none.
	statusAbandoned
)

// Claim is the claim of one call on its key; it is a dispatch.Claim.
type Claim struct {
	claimer *Claimer
	request Request
	// maxUseAge is how long after its request a claim may still be used; it leaves
	// half the key's window as margin.
	maxUseAge time.Duration

	mu            sync.Mutex
	status        status
	requestedAt   time.Time
	decided       chan struct{}
	waitCancelled chan struct{}
	cancelOnce    sync.Once
}

// cancelWait ends the wait for a decision.
func (c *Claim) cancelWait() {
	c.cancelOnce.Do(func() { close(c.waitCancelled) })
}

// New returns the claim of a call that carries a key, not yet acquired, or why
// the key is refused.
func (c *Claimer) New(svc service.Name, key string, window time.Duration, fingerprint []byte) (*Claim, outcome.Refusal) {
	if key == "" || len(key) > maxKeyBytes {
		return nil, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.KeyInvalid}
	}
	if age, ok := KeyAge(key, time.Now()); ok && age >= window {
		return nil, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.KeyTooOld}
	}
	claim := &Claim{claimer: c, maxUseAge: window / 2, decided: make(chan struct{}), waitCancelled: make(chan struct{})}
	claim.request = Request{Key: DigestOf(svc, key), Window: uint32(window / time.Second)}
	copy(claim.request.Fingerprint[:], fingerprint)
	return claim, outcome.Refusal{}
}

// DigestOf returns the hash of a service and a key.
func DigestOf(svc service.Name, key string) (d Digest) {
	h := sha256.New()
	h.Write([]byte(svc))
	h.Write([]byte{0})
	h.Write([]byte(key))
	copy(d[:], h.Sum(nil))
	return d
}

// KeyAge returns how old a key says it is: keys that are UUIDs of version 7
// carry the time they were made.
func KeyAge(key string, now time.Time) (age time.Duration, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	sec, nsec := id.Time().UnixTime()
	return now.Sub(time.Unix(sec, nsec)), true
}

// Acquire makes the claim and waits until the stream has decided it.
func (c *Claim) Acquire(ctx context.Context) outcome.Refusal {
	if !c.claimer.Ready() {
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ClaimsBehind}
	}
	if refusal := c.conflictRefusal(); refusal.Reason != "" {
		return refusal
	}
	now := time.Now()
	if c.claimer.failFast(now) {
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}
	}
	c.mu.Lock()
	c.status = statusPending
	c.requestedAt = now
	c.mu.Unlock()
	c.claimer.enqueueRequest(c)
	ctx, cancel := context.WithTimeout(ctx, c.claimer.Settings.withDefaults().Patience)
	defer cancel()
	select {
	case <-c.decided:
	case <-c.waitCancelled:
	case <-ctx.Done():
	}
	return c.finishWait()
}

// conflictRefusal refuses a key that this node already knows to be held.
func (c *Claim) conflictRefusal() outcome.Refusal {
	g, held := c.claimer.Book.Holder(c.request.Key)
	if !held {
		return outcome.Refusal{}
	}
	if g.Fingerprint != c.request.Fingerprint {
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.KeyReused}
	}
	// The earlier call with this key may have run.
	return outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.KeyClaimed}
}

// finishWait says what the wait has come to.
func (c *Claim) finishWait() outcome.Refusal {
	switch c.abandonPending() {
	case statusGranted:
		return outcome.Refusal{}
	case statusDenied:
		if refusal := c.conflictRefusal(); refusal.Reason != "" {
			return refusal
		}
		return outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.KeyClaimed}
	default:
		return outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}
	}
}

// abandonPending abandons the claim unless it has been decided.
func (c *Claim) abandonPending() status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusPending {
		c.status = statusAbandoned
		c.claimer.dequeueRequest(c.request.Number)
	}
	return c.status
}

// applyDecision takes the stream's decision. An abandoned claim that was granted is
// released.
func (c *Claim) applyDecision(isGranted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.status == statusAbandoned && isGranted:
		c.claimer.enqueueRelease(c.releaseRecord())
	case c.status == statusPending && isGranted:
		c.status = statusGranted
		close(c.decided)
	case c.status == statusPending:
		c.status = statusDenied
		close(c.decided)
	}
}

// Use spends the claim right before a send. It reports false if the claim was
// used or given up, or if so long has passed, by the monotonic clock or by the
// wall clock, that its window may be ending: the node may have been paused.
func (c *Claim) Use() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	elapsed := max(now.Sub(c.requestedAt), now.Round(0).Sub(c.requestedAt.Round(0)))
	if c.status != statusGranted || elapsed >= c.maxUseAge {
		c.claimer.Checks.Hold(c.status != statusUsed, invariant.ClaimSendsOnce)
		return false
	}
	c.status = statusUsed
	return true
}

// Unused gives the right to send back after an attempt that certainly did not
// run.
func (c *Claim) Unused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusUsed {
		c.status = statusGranted
	}
}

// Release lets the key be used again by anyone; the call was certainly not run.
func (c *Claim) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusGranted {
		c.status = statusAbandoned
		c.claimer.enqueueRelease(c.releaseRecord())
	}
}

func (c *Claim) releaseRecord() Release {
	return Release{Key: c.request.Key, Number: c.request.Number}
}
