package dispatch

import (
	"context"

	"github.com/apricotmount/apricotmount/outcome"
)

// isPathLost reports whether the node has no path to the targets of the service.
func (s *Service) isPathLost() bool {
	return s.Path != nil && s.Path.IsLost()
}

// cancelOnPathLoss calls cancel when the path to the targets is lost before the returned
// function is called, so that a call does not wait for a response that cannot arrive. A call
// that may run only once waits: its response may still arrive if the path returns.
func (r *run) cancelOnPathLoss(cancel context.CancelFunc) (stop func() bool) {
	if r.service.Path == nil || !r.call.Profile.Idempotent || !r.call.BodyReplayable {
		return func() bool { return true }
	}
	return context.AfterFunc(r.service.Path.Lost(), cancel)
}

// canForward reports whether a call that ends for the given reason may be sent through
// another node. It charges the copy if an earlier one has reached a target, unless a retry was
// paid for that could not be sent.
func (r *run) canForward(reason outcome.Reason) bool {
	// A call that reached none of several targets need not wait until the path is known to
	// be lost.
	isParted := reason == outcome.PathLost || reason == outcome.ConnectFailed && r.service.Path != nil && r.service.Path.IsInDoubt()
	if !isParted || r.call.IsRelayed || !r.call.BodyReplayable && r.hasAttempted {
		return false
	}
	switch {
	case r.isNextPaid:
		return true
	case r.mayHaveRun:
		return r.chargeRetry()
	case r.hasReached:
		return r.spendRepeatToken()
	default:
		return true
	}
}
