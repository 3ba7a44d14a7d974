package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Step is what was decided for a call.
type DecisionKind uint8

// The steps.
const (
	// Placed: an attempt was sent to a target.
	Placed DecisionKind = iota
	// Hedged: a second attempt was sent beside an open one.
	Hedged
	// Waiting: no target had room in time, and the call waits in its node.
	Waiting
	// Failed: an attempt ended without an answer.
	Failed
)

var stepNames = [...]string{"placed", "hedged", "waiting", "failed"}

// String returns the step's name.
func (s DecisionKind) String() string {
	return stepNames[s]
}

// Decision is one decision on a call with what decided it.
type Decision struct {
	Kind   DecisionKind
	Target target.Ref
	// Forecast is how long the answer was expected to take, and Limit the longest
	// forecast with which the call was sent; zero if none was stated.
	Forecast, ForecastLimit time.Duration
	// Seen is the report that the forecast was made from, and SeenAge its age;
	// without one Seen is not Detailed.
	LoadReport    target.Report
	LoadReportAge time.Duration
	// Late says that the call could no longer be answered within its objective.
	IsLate bool
	// Since is the time since the call arrived.
	SinceArrival time.Duration
	// Result and Written say how a failed attempt ended, and whether a byte of it
	// may have reached the target.
	Result  target.Result
	Written bool
}

// Decisions is told what was decided; it must return at once.
type DecisionObserver interface {
	ObserveDecision(c *Call, d Decision)
}

// decided tells of a decision on a place.
func (r *run) decided(step DecisionKind, p target.Reservation, f *AttemptFailure) {
	if r.d.Observer == nil {
		return
	}
	now := time.Now()
	d := Decision{
		Kind: step, Target: p.Ref, Forecast: p.Forecast, ForecastLimit: r.limit(),
		LoadReport: p.Report, LoadReportAge: p.ReportAge, IsLate: r.late, SinceArrival: now.Sub(r.arrived),
	}
	if f != nil {
		d.Result, d.Written = f.Result, f.Written
	}
	r.d.Observer.ObserveDecision(r.call, d)
}
