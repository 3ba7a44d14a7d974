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

// maxKeyBytes is the maximum length of an idempotency key, in bytes.
const maxKeyBytes = 255

// status is the state of a claim.
type status uint8

const (
	statusNew status = iota // not requested yet
	statusPending
	statusGranted
	statusDenied
	// statusUsed means that a send may have happened.
	statusUsed
	// statusAbandoned means that there was no send and will be none.
	statusAbandoned
)

// Claim is the claim of one call on its idempotency key. It implements
// dispatch.Claim.
type Claim struct {
	claimer *Claimer
	request Request
	// maxUseAge is how long after its request a claim may still be used. It is
	// half the key's window; the other half is a safety margin.
	maxUseAge time.Duration

	mu            sync.Mutex
	status        status
	requestedAt   time.Time
	decided       chan struct{} // closed when the claim is granted or denied
	waitCancelled chan struct{} // closed by cancelWait
	cancelOnce    sync.Once
}

// cancelWait ends the wait in Acquire, even without a decision.
func (c *Claim) cancelWait() {
	c.cancelOnce.Do(func() { close(c.waitCancelled) })
}

// NewClaim returns a claim, not yet acquired, for a call with an idempotency
// key. It returns a failure if the key is invalid or at least as old as its
// window.
func (c *Claimer) NewClaim(svc service.Name, key string, window time.Duration, fingerprint []byte) (*Claim, outcome.Failure) {
	if key == "" || len(key) > maxKeyBytes {
		return nil, outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.KeyInvalid}
	}
	if age, ok := KeyAge(key, time.Now()); ok && age >= window {
		return nil, outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.KeyTooOld}
	}
	claim := &Claim{claimer: c, maxUseAge: window / 2, decided: make(chan struct{}), waitCancelled: make(chan struct{})}
	claim.request = Request{Key: HashKey(svc, key), WindowSeconds: uint32(window / time.Second)}
	copy(claim.request.Fingerprint[:], fingerprint)
	return claim, outcome.Failure{}
}

// HashKey returns the hash of a service name and an idempotency key.
func HashKey(svc service.Name, key string) (d KeyDigest) {
	h := sha256.New()
	h.Write([]byte(svc))
	h.Write([]byte{0})
	h.Write([]byte(key))
	copy(d[:], h.Sum(nil))
	return d
}

// KeyAge returns the age of a key at the time now. It returns false unless the
// key is a version 7 UUID, which contains its creation time.
func KeyAge(key string, now time.Time) (age time.Duration, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	sec, nsec := id.Time().UnixTime()
	return now.Sub(time.Unix(sec, nsec)), true
}

// Acquire requests the claim and waits until the stream grants or denies it.
// The wait also ends with ctx, after Settings.AcquireTimeout, or lostAckTimeout
// after the append of the request failed. The zero Failure means that the claim
// is granted.
func (c *Claim) Acquire(ctx context.Context) outcome.Failure {
	if !c.claimer.IsCaughtUp() {
		return outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimsBehind}
	}
	now := time.Now()
	if failure := c.conflictFailure(now); failure.Reason != "" {
		return failure
	}
	if c.claimer.failFast(now) {
		return outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}
	}
	c.mu.Lock()
	c.status = statusPending
	c.requestedAt = now
	c.mu.Unlock()
	c.claimer.enqueueRequest(c)
	ctx, cancel := context.WithTimeout(ctx, c.claimer.Settings.withDefaults().AcquireTimeout)
	defer cancel()
	select {
	case <-c.decided:
	case <-c.waitCancelled:
	case <-ctx.Done():
	}
	return c.finishWait()
}

// conflictFailure returns a failure if this node has read a grant on the key that is
// valid at the given time, and the zero Failure otherwise. An expired one may still be
// valid by the log's clock, by which the stream then decides.
func (c *Claim) conflictFailure(now time.Time) outcome.Failure {
	g, held := c.claimer.State.GrantOf(c.request.Key)
	if !held || !g.ExpiresAt.After(now) {
		return outcome.Failure{}
	}
	if g.Fingerprint != c.request.Fingerprint {
		return outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.KeyReused}
	}
	// The earlier call with this key may have been executed.
	return outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.KeyClaimed}
}

// finishWait ends the wait for a decision and returns the failure, or the zero
// Failure if the claim is granted.
func (c *Claim) finishWait() outcome.Failure {
	switch c.abandonPending() {
	case statusGranted:
		return outcome.Failure{}
	case statusDenied:
		if failure := c.conflictFailure(c.requestedAt); failure.Reason != "" {
			return failure
		}
		return outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.KeyClaimed}
	default:
		return outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}
	}
}

// abandonPending abandons the claim if it is still pending and returns the
// resulting status.
func (c *Claim) abandonPending() status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusPending {
		c.status = statusAbandoned
		c.claimer.dequeueRequest(c.request.SequenceNumber)
	}
	return c.status
}

// applyDecision sets the status of a pending claim to the stream's decision. An
// abandoned claim that is granted is released.
func (c *Claim) applyDecision(isGranted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.status == statusAbandoned && isGranted:
		c.claimer.enqueueRelease(c.newRelease())
	case c.status == statusPending && isGranted:
		c.status = statusGranted
		close(c.decided)
	case c.status == statusPending:
		c.status = statusDenied
		close(c.decided)
	}
}

// Use marks the claim as used; it must be called right before the send. It
// returns false if the claim is not granted, is already used or was released.
// It also returns false once maxUseAge has passed by the monotonic or the wall
// clock, since the key's window may be ending if the node was paused.
func (c *Claim) Use() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	elapsed := max(now.Sub(c.requestedAt), now.Round(0).Sub(c.requestedAt.Round(0)))
	if c.status != statusGranted || elapsed >= c.maxUseAge {
		c.claimer.Checks.Check(c.status != statusUsed, invariant.ClaimSendsOnce)
		return false
	}
	c.status = statusUsed
	return true
}

// UndoUse makes a used claim usable again after an attempt that certainly did
// not run.
func (c *Claim) UndoUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusUsed {
		c.status = statusGranted
	}
}

// Release releases an unused claim, so that any node can claim the key again.
// The call must certainly not have run.
func (c *Claim) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == statusGranted {
		c.status = statusAbandoned
		c.claimer.enqueueRelease(c.newRelease())
	}
}

func (c *Claim) newRelease() Release {
	return Release{Key: c.request.Key, SequenceNumber: c.request.SequenceNumber}
}
