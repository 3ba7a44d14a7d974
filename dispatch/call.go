package dispatch

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/reply"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// Attempt is one attempt to send a call to one target.
type Attempt struct {
	Target target.Ref
	// HeaderDeadline is the deadline for receiving the response's headers.
	HeaderDeadline time.Time
	// Deadline is the call's own deadline, less the overhead of this layer.
	Deadline time.Time
	// MaxExtraAttempts is the number of extra attempts that the layers below may
	// make.
	MaxExtraAttempts int
	// IsRepeat reports whether an earlier copy of the call may have run.
	IsRepeat bool
	// RequireRecentRead requires a connection that is new or has just received
	// data. It is set for a call that cannot be retried after a lost response.
	RequireRecentRead bool
	// MaySend is called right before the first byte is written; if it returns
	// false, nothing may be written.
	MaySend func() bool
}

// Response is a response whose headers have been received.
type Response interface {
	// IsServerError reports whether the response is a server error (5xx).
	IsServerError() bool
	// Report returns the load report in the response.
	Report() target.Report
	// ExtraAttempts returns the number of extra attempts made by the layers below.
	ExtraAttempts() int
	// Discard closes a response that is not used.
	Discard()
}

// AttemptFailure is an attempt that ended without a response.
type AttemptFailure struct {
	Result target.Result
	// Written reports whether a byte of the call may have reached the target.
	Written bool
	// BodyConsumed reports whether the body cannot be sent again.
	BodyConsumed bool
	// Report is the load report that the target sent with a refusal, if any.
	Report target.Report
	// Reason is why another node has refused the call; empty for targets.
	Reason outcome.Reason
	// Broken is why the bytes that were received are no response; empty if none were.
	Broken reply.Broken
	// ExtraAttempts is the number of extra attempts charged for the layers below:
	// without a response, all that they may have made.
	ExtraAttempts int
}

// Sender makes attempts.
type Sender interface {
	// Send makes one attempt. It returns a response once its headers have been
	// received, or a failure. If ctx is done, it cancels the attempt at the target.
	Send(ctx context.Context, a Attempt) (Response, *AttemptFailure)
}

// Claim is the right to send a call with an idempotency key once.
type Claim interface {
	// Acquire obtains the claim, or returns the reason why it was not granted.
	Acquire(ctx context.Context) outcome.Failure
	// Use spends the claim right before a send. It returns false if the claim has
	// expired or was used already.
	Use() bool
	// UndoUse makes the claim usable again after an attempt that certainly did not
	// run.
	UndoUse()
	// Release frees the key for other calls after a call that certainly did not
	// run.
	Release()
}

// Identity identifies the request of a call among those that callers send again.
type Identity interface {
	// Digest returns the digest of the request; ok is false if it is not known yet. With
	// mayRead, it waits for the beginning of the body, and no attempt may have started.
	Digest(mayRead bool) (d quarantine.Digest, ok bool)
}

// Call is one call to execute.
type Call struct {
	// ID identifies the call in logs; it may be empty.
	ID string
	// Identity, if set, identifies the request.
	Identity Identity
	Profile  *profile.Profile
	Caller   admission.Caller
	Deadline time.Time
	// Age is the time since the caller first sent the call, as far as it is known, when it
	// arrived: a call that was refused before is older than its arrival.
	Age time.Duration
	// Allowance is the number of extra attempts remaining for the call over the
	// whole chain of layers.
	Allowance retry.Allowance
	// BodyReplayable reports whether the body can be sent again.
	BodyReplayable bool
	// Claim guards a call with an idempotency key; it is nil without one.
	Claim Claim
	// IsRelayed reports whether another node has sent the call, which is not sent through a
	// third one.
	IsRelayed bool
	// IsCounted reports whether the call has added its tokens to the budgets of another node.
	IsCounted bool
	// RepeatBudget, if set, pays for copies after one that may have run, in place of the
	// budget of the service.
	RepeatBudget *retry.Budget
}

// Digest returns the digest of the call's request; ok is false if it is not known yet.
func (c *Call) Digest() (d quarantine.Digest, ok bool) {
	if c.Identity == nil {
		return quarantine.Digest{}, false
	}
	return c.Identity.Digest(false)
}
