package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Step is the kind of a decision on a call.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Placed: an attempt was sent to a target.
	Placed DecisionKind = iota
	// Hedged: a second attempt was sent while the first one was open.
	Hedged
	// Waiting: no target had capacity in time, and the call waits in this node.
	Waiting
	// Failed: an attempt ended without a response.
	Failed
)

var decisionNames = [...]string{"placed", "hedged", "waiting", "failed"}

// String returns the step's name, as used in logs.
func (s DecisionKind) String() string {
	return decisionNames[s]
}

// Decision is one decision on a call, with the data that it was based on.
type Decision struct {
	Kind   DecisionKind
	Target target.Ref
	// Forecast is the predicted time to the response, and Limit the longest
	// forecast with which the call could be sent; each is zero if there was none.
	Forecast, ForecastLimit time.Duration
	// Seen is the load report behind the forecast, and SeenAge its age; Seen is not
	// Detailed if there was no fresh report.
	LoadReport    target.Report
	LoadReportAge time.Duration
	// Late reports whether the call could no longer meet its latency objective.
	IsLate bool
	// Since is the time since the call arrived.
	SinceArrival time.Duration
	// Result is how a failed attempt ended, and Written reports whether a byte of
	// it may have reached the target.
	Result  target.Result
	Written bool
}

// Decisions receives the decisions on calls. Decided must not block.
type DecisionObserver interface {
	ObserveDecision(c *Call, d Decision)
}

// notifyDecision passes a decision to Dispatcher.Decisions, if it is set. f is the
// failure of the attempt, or nil.
func (r *run) notifyDecision(step DecisionKind, reservation target.Reservation, f *AttemptFailure) {
	if r.dispatcher.Observer == nil {
		return
	}
	now := time.Now()
	d := Decision{
		Kind: step, Target: reservation.Ref, Forecast: reservation.Forecast, ForecastLimit: r.forecastLimit(),
		LoadReport: reservation.Report, LoadReportAge: reservation.ReportAge, IsLate: r.isLate, SinceArrival: now.Sub(r.arrivedAt),
	}
	if f != nil {
		d.Result, d.Written = f.Result, f.Written
	}
	r.dispatcher.Observer.ObserveDecision(r.call, d)
}
