package target

import (
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// Lane states which calls may be sent to a target while a new version of a service is
// rolled out beside the old one.
type Lane uint8

// The lanes of targets.
const (
	// LaneOpen: all calls.
	LaneOpen Lane = iota
	// LaneCanary: only calls with the target in PickOptions.Only.
	LaneCanary
	// LaneClosed: no calls.
	LaneClosed
)

// SetLanes sets the lane of each target; those without an entry are open.
func (t *Table) SetLanes(lanes map[vm.ID]Lane) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.lane = lanes[e.ref.ID]
	}
}

// admits reports whether a choice with these options may consider the target.
func (o PickOptions) admits(e *entry) bool {
	if len(o.Only) > 0 {
		return e.lane != LaneClosed && slices.Contains(o.Only, e.ref.ID)
	}
	return e.lane == LaneOpen
}

// FinishedAttempt is an attempt that has ended, as Settings.OnFinish receives it.
type FinishedAttempt struct {
	ID vm.ID
	// Route is that of PickOptions.
	Route string
	// Lane is that of the target when the attempt was reserved.
	Lane Lane
	// WasCold reports whether the target was in cold start.
	WasCold bool
	Result  Result
	// Latency is the time from the reservation to the end.
	Latency time.Duration
	// ForecastRatio is the forecast latency divided by the baseline service time: the
	// load and the speed that the target reported. Zero without a fresh report.
	ForecastRatio float64
	EndedAt       time.Time
}

// notifyFinish calls Settings.OnFinish, if set.
func (t *Table) notifyFinish(r Reservation, now time.Time, result Result) {
	if t.settings.OnFinish == nil {
		return
	}
	t.settings.OnFinish(FinishedAttempt{
		ID: r.Ref.ID, Route: r.route, Lane: r.lane, WasCold: r.IsCold, Result: result, Latency: now.Sub(r.StartedAt), ForecastRatio: r.forecastRatio, EndedAt: now,
	})
}

// maxRoomRatio is the longest forecast of a target with room, as a multiple of the baseline
// service time: that of one whose last free slot is taken.
const maxRoomRatio = 2.0

// hasRoom reports whether the last candidate has a fresh report that shows a free slot and no
// slow VM. t.mu must be held.
func (t *Table) hasRoom(now tick) bool {
	if t.settings.LoadQuery == (LoadQuerySettings{}) {
		return true
	}
	last := len(t.candidates) - 1
	return t.hasFreshReport(t.eligible[last], now) && t.candidates[last].ForecastRatio <= maxRoomRatio
}
