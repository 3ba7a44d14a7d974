package admission

import (
	"math"
	"time"
)

// drainWindow is the time constant with which older observations of a drainRate lose their
// weight.
const drainWindow = 500 * time.Millisecond

// drainRate estimates the rate at which waiting calls are sent, by the calls sent while any
// call waited. Its zero value has no observations.
type drainRate struct {
	// sentCount and waitSeconds are the number of calls sent and the time during which
	// calls waited, both with exponentially decreasing weight of older observations.
	sentCount   float64
	waitSeconds float64
	updatedAt   time.Time
}

// advance moves the estimate to now; isWaiting reports whether calls have waited since the
// last update.
func (d *drainRate) advance(now time.Time, isWaiting bool) {
	elapsed := now.Sub(d.updatedAt)
	d.updatedAt = now
	if elapsed <= 0 {
		return
	}
	weight := math.Exp(-elapsed.Seconds() / drainWindow.Seconds())
	d.sentCount *= weight
	d.waitSeconds *= weight
	if isWaiting {
		d.waitSeconds += min(elapsed, drainWindow).Seconds()
	}
}

// timeToSend estimates how long it takes until n waiting calls have been sent.
func (d *drainRate) timeToSend(n int) time.Duration {
	return time.Duration(float64(n) * d.waitSeconds / max(1, d.sentCount) * float64(time.Second))
}
