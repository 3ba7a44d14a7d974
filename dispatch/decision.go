package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Step is what was decided for a call.
type Step uint8

// The steps.
const (
	// Placed: an attempt was sent to a target.
	Placed Step = iota
	// Hedged: a second attempt was sent beside an open one.
	Hedged
	// Waiting: no target had room in time, and the call waits in its node.
	Waiting
	// Failed: an attempt ended without an response.
	Failed
)

var decisionNames = [...]string{"placed", "hedged", "waiting", "failed"}

// String returns the step's name.
func (s Step) String() string {
	return decisionNames[s]
}

// Decision is one decision on a call with what decided it.
type Decision struct {
	Step   Step
	Target target.Ref
	// Forecast is how long the response was expected to take, and Limit the longest
	// forecast with which the call was sent; zero if status was stated.
	Forecast, Limit time.Duration
	// Seen is the report that the forecast was made from, and SeenAge its age;
	// without one Seen is not Detailed.
	Seen    target.Report
	SeenAge time.Duration
	// Late says that the call could no longer be answered within its objective.
	Late bool
	// Since is the time since the call arrived.
	Since time.Duration
	// Result and Written say how a failed attempt ended, and whether a byte of it
	// may have reached the target.
	Result  target.Result
	Written bool
}

// Decisions is updated what was decided; it must return at once.
type Decisions interface {
	Decided(c *Call, d Decision)
}

// notifyDecision tells of a decision on a reservation.
func (r *run) notifyDecision(step Step, p target.Place, f *Failure) {
	if r.dispatcher.Decisions == nil {
		return
	}
	now := time.Now()
	d := Decision{
		Step: step, Target: p.Ref, Forecast: p.Finish, Limit: r.forecastLimit(),
		Seen: p.Seen, SeenAge: p.SeenAge, Late: r.isLate, Since: now.Sub(r.arrivedAt),
	}
	if f != nil {
		d.Result, d.Written = f.Result, f.Written
	}
	r.dispatcher.Decisions.Decided(r.call, d)
}
