package dispatch

import (
	"context"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/target"
)

// Quarantine decides about requests that may end the targets that run them. Its methods
// are safe for concurrent use.
type Quarantine interface {
	// IsEmpty reports whether no request is suspected. Digests are not needed then.
	IsEmpty() bool
	// Admit decides on a copy of a request that has arrived. Unless it is refused, Leave
	// is called when it has ended.
	Admit(d quarantine.Digest) quarantine.Admission
	Leave(d quarantine.Digest)
	Verdict(d quarantine.Digest) quarantine.Verdict
	// RecordLoss is called when the connection of an attempt broke after the request was
	// written. It returns once it is known whether the target's process has ended.
	RecordLoss(ctx context.Context, d quarantine.Digest, r target.Reservation)
	// RecordUnfinished is called when a call has ended without a response after RecordLoss.
	RecordUnfinished(d quarantine.Digest)
	// RecordCompletion is called for each request that a target has completed.
	RecordCompletion(d quarantine.Digest)
}

// suspect is the part of a call's state that belongs to the quarantine. Its zero value is
// that of a call without one.
type suspect struct {
	quarantine Quarantine
	identity   Identity
	admission  quarantine.Admission
	// hasLoss reports whether a loss was recorded and no response since.
	hasLoss bool
	// mustLeave reports whether Quarantine.Leave is due.
	mustLeave bool
}

// admitSuspect decides whether a call that has arrived may be sent at all.
func (d *Dispatcher) admitSuspect(c *Call) (s suspect, fail *CallFailure) {
	if d.Quarantine == nil || c.Identity == nil {
		return suspect{}, nil
	}
	s = suspect{quarantine: d.Quarantine, identity: c.Identity}
	if d.Quarantine.IsEmpty() {
		return s, nil
	}
	digest, ok := c.Identity.Digest(true)
	if !ok {
		return s, nil
	}
	s.admission = d.Quarantine.Admit(digest)
	if s.admission.IsRefused {
		return s, &CallFailure{Outcome: outcome.NotRun, Reason: outcome.Quarantined, EarliestRetry: s.admission.RetryAfter}
	}
	s.mustLeave = true
	return s, nil
}

// digest returns the digest of the request, if there is a quarantine and it is known.
func (s *suspect) digest() (d quarantine.Digest, ok bool) {
	if s.quarantine == nil {
		return quarantine.Digest{}, false
	}
	return s.identity.Digest(false)
}

// verdict returns the current verdict on the request.
func (s *suspect) verdict() quarantine.Verdict {
	if s.quarantine == nil || s.quarantine.IsEmpty() {
		return quarantine.Free
	}
	d, ok := s.digest()
	if !ok {
		return quarantine.Free
	}
	return s.quarantine.Verdict(d)
}

// isHeld reports whether the request is held and this call is not its trial.
func (s *suspect) isHeld() bool {
	return !s.admission.IsTrial && s.verdict() == quarantine.Held
}

// mayHedge reports whether a second copy may be sent beside the first.
func (s *suspect) mayHedge() bool {
	return !s.admission.IsTrial && s.verdict() == quarantine.Free
}

// mayRepeat reports whether the call may be sent again after one copy was lost.
func (s *suspect) mayRepeat() bool {
	return !s.admission.IsTrial && s.verdict() < quarantine.Suspected
}

// recordLoss records that the connection of an attempt broke after it was written.
func (s *suspect) recordLoss(ctx context.Context, r target.Reservation) {
	if d, ok := s.digest(); ok {
		s.quarantine.RecordLoss(ctx, d, r)
		s.hasLoss = true
	}
}

// recordCompletion records that a target completed the request.
func (s *suspect) recordCompletion() {
	if s.quarantine == nil || s.quarantine.IsEmpty() {
		return
	}
	if d, ok := s.digest(); ok {
		s.quarantine.RecordCompletion(d)
		s.hasLoss = false
	}
}

// leave ends the call's part in the quarantine.
func (s *suspect) leave() {
	if s.hasLoss {
		s.hasLoss = false
		if d, ok := s.digest(); ok {
			s.quarantine.RecordUnfinished(d)
		}
	}
	if !s.mustLeave {
		return
	}
	s.mustLeave = false
	if d, ok := s.digest(); ok {
		s.quarantine.Leave(d)
	}
}
