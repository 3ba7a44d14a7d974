package drain

import "time"

const (
	// balancerDetectionTime is how long the external load balancer may keep sending
	// calls after the node became unready: it checks readiness once a second and removes
	// a node after the second failed check.
	balancerDetectionTime = 2700 * time.Millisecond
	// acceptShare is the maximum part of the grace period during which a leaving node
	// accepts calls; the rest is for the calls in progress.
	acceptShare = 0.5
	// stopMargin is the part of the grace period that is reserved for the last steps of a
	// stop, after the calls have ended.
	stopMargin = 300 * time.Millisecond
	// waitEndMargin is the time before the end of the calls in progress at which those that
	// still wait for capacity are refused: each checks ten times a second whether it may be
	// sent.
	waitEndMargin = 300 * time.Millisecond
	// responseMargin is the time before the end of the calls in progress at which an attempt
	// that is still open is given up, so that its caller gets a response.
	responseMargin = 100 * time.Millisecond
)

// Schedule holds the times of a planned stop.
type Schedule struct {
	// AcceptEnd is the time until which the node accepts calls. Then it closes its port and
	// idle connections: a later call might not end in time.
	AcceptEnd time.Time
	// WaitEnd is when calls that still wait for capacity are refused.
	WaitEnd time.Time
	// AttemptEnd is when open attempts are given up.
	AttemptEnd time.Time
	// CutOff is when calls that are still open are cut off.
	CutOff time.Time
}

// ForGrace returns the schedule of a stop that began at start, after which the process is
// killed at the end of the grace period.
func ForGrace(start time.Time, grace time.Duration) Schedule {
	accept := min(balancerDetectionTime, time.Duration(acceptShare*float64(grace)))
	return Within(start, accept, grace-stopMargin)
}

// Within returns the schedule of a stop that began at start, in which the node accepts calls
// for one time and cuts calls off after the other.
func Within(start time.Time, accept, limit time.Duration) Schedule {
	cutOff := start.Add(limit)
	return Schedule{AcceptEnd: start.Add(accept), WaitEnd: cutOff.Add(-waitEndMargin), AttemptEnd: cutOff.Add(-responseMargin), CutOff: cutOff}
}
