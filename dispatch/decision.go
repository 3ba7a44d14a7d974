package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/reply"
	"github.com/apricotmount/apricotmount/target"
)

// DecisionKind is the kind of a decision on a call.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Placed: a target was reserved for an attempt, which is about to be sent.
	Placed DecisionKind = iota
	// Hedged: a target was reserved for a hedge, a second attempt while the first
	// one is open.
	Hedged
	// Waiting: no target had capacity in time, and the call waits in this node.
	Waiting
	// Failed: an attempt ended without a response.
	Failed
	// HeldBack: the rate limits of the targets leave no capacity now; the call waits for
	// a turn or is refused.
	HeldBack
)

var decisionNames = [...]string{"placed", "hedged", "waiting", "failed", "held-back"}

// String returns the name of the kind, as used in logs.
func (k DecisionKind) String() string {
	return decisionNames[k]
}

// Decision is one decision on a call, with the data that it was based on.
type Decision struct {
	Kind   DecisionKind
	Target target.Ref
	// Forecast is the predicted time to the response, and ForecastLimit the longest
	// forecast with which a first attempt or a retry could be sent at the time of the
	// decision; each is zero if there was none.
	Forecast, ForecastLimit time.Duration
	// LoadReport is the load report behind the forecast, and LoadReportAge its age;
	// LoadReport.IsDetailed is false if there was no fresh report.
	LoadReport    target.Report
	LoadReportAge time.Duration
	// Limit is the rate limit of the target and LimitAge the time since the target
	// named it; both are zero without one.
	Limit    target.RateLimit
	LimitAge time.Duration
	// IsLate reports whether the call could no longer meet its latency objective.
	IsLate bool
	// RunCount is the number of earlier attempts of this node that may have run, and
	// ExtraAttemptsLeft the number of extra attempts that the call may still make. Neither is
	// set for a hedge.
	RunCount, ExtraAttemptsLeft int
	// SinceArrival is the time since the call arrived.
	SinceArrival time.Duration
	// Result is how a failed attempt ended, and Written reports whether a byte of
	// it may have reached the target.
	Result  target.Result
	Written bool
	// Reason is why another node has refused the call; empty for targets.
	Reason outcome.Reason
	// Broken is why the bytes that a failed attempt received are no response.
	Broken reply.Broken
	// Turn is the next turn of a call that is held back, CallsAhead the number of calls
	// that go before it, and IsRefused reports whether it does not wait for the turn.
	Turn       target.Turn
	CallsAhead int
	IsRefused  bool
}

// DecisionObserver receives the decisions on calls. ObserveDecision must not block.
type DecisionObserver interface {
	ObserveDecision(c *Call, d Decision)
}

// notifyHeldBack passes to Dispatcher.Observer, if it is set, that rate limits hold a call
// back.
func (r *run) notifyHeldBack(turn target.Turn, callsAhead int, isRefused bool) {
	if r.dispatcher.Observer == nil {
		return
	}
	r.dispatcher.Observer.ObserveDecision(r.call, Decision{
		Kind: HeldBack, ForecastLimit: r.forecastLimit(), IsLate: r.isLate, SinceArrival: time.Since(r.arrivedAt),
		Turn: turn, CallsAhead: callsAhead, IsRefused: isRefused,
	})
}

// notifyDecision passes a decision to Dispatcher.Observer, if it is set. f is the
// failure of the attempt, or nil.
func (r *run) notifyDecision(kind DecisionKind, reservation target.Reservation, f *AttemptFailure) {
	if r.dispatcher.Observer == nil {
		return
	}
	now := time.Now()
	d := Decision{
		Kind: kind, Target: reservation.Ref, Forecast: reservation.Forecast, ForecastLimit: r.forecastLimit(),
		LoadReport: reservation.Report, LoadReportAge: reservation.ReportAge, Limit: reservation.Limit, LimitAge: reservation.LimitAge, IsLate: r.isLate, SinceArrival: now.Sub(r.arrivedAt),
	}
	if kind != Hedged {
		// A hedge runs beside the attempt that changes these.
		d.RunCount, d.ExtraAttemptsLeft = r.runCount, r.allowance.Remaining()
	}
	if f != nil {
		d.Result, d.Written, d.Reason, d.Broken = f.Result, f.Written, f.Reason, f.Broken
	}
	r.dispatcher.Observer.ObserveDecision(r.call, d)
}
