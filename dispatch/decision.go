package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Step is the kind of a decision on a call.
type Step uint8

// The kinds of decisions.
const (
	// Placed: an attempt was sent to a target.
	Placed Step = iota
	// Hedged: a second attempt was sent while the first one was open.
	Hedged
	// Waiting: no target had capacity in time, and the call waits in this node.
	Waiting
	// Failed: an attempt ended without a response.
	Failed
)

var decisionNames = [...]string{"placed", "hedged", "waiting", "failed"}

// String returns the step's name, as used in logs.
func (s Step) String() string {
	return decisionNames[s]
}

// Decision is one decision on a call, with the data that it was based on.
type Decision struct {
	Step   Step
	Target target.Ref
	// Forecast is the predicted time to the response, and Limit the longest
	// forecast with which the call could be sent; each is zero if there was none.
	Forecast, Limit time.Duration
	// Seen is the load report behind the forecast, and SeenAge its age; Seen is not
	// Detailed if there was no fresh report.
	Seen    target.Report
	SeenAge time.Duration
	// Late reports whether the call could no longer meet its latency objective.
	Late bool
	// Since is the time since the call arrived.
	Since time.Duration
	// Result is how a failed attempt ended, and Written reports whether a byte of
	// it may have reached the target.
	Result  target.Result
	Written bool
}

// Decisions receives the decisions on calls. Decided must not block.
type Decisions interface {
	Decided(c *Call, d Decision)
}

// notifyDecision passes a decision to Dispatcher.Decisions, if it is set. f is the
// failure of the attempt, or nil.
func (r *run) notifyDecision(step Step, reservation target.Reservation, f *Failure) {
	if r.dispatcher.Decisions == nil {
		return
	}
	now := time.Now()
	d := Decision{
		Step: step, Target: reservation.Ref, Forecast: reservation.Forecast, Limit: r.forecastLimit(),
		Seen: reservation.Report, SeenAge: reservation.ReportAge, Late: r.isLate, Since: now.Sub(r.arrivedAt),
	}
	if f != nil {
		d.Result, d.Written = f.Result, f.Written
	}
	r.dispatcher.Decisions.Decided(r.call, d)
}
