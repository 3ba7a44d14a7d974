package dispatch

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/profile"
)

// A node that stops as planned sends a call only if its response surely arrives before the
// node ends: the call's deadline comes before, or calls of its profile have taken far less
// than what is left. Any other call is refused before it is sent, since other nodes serve it.
// The node waits for a call that was sent. The deadline that its target receives is before the
// end of the node, so that the target responds in time in any case.
const (
	// longestResponseFactor and forecastFactor are how much longer than the longest recent
	// response, and than its forecast, an attempt is assumed to take.
	longestResponseFactor = 1.5
	forecastFactor        = 2
	// minResponses is the number of recent responses from which the longest is used as a
	// bound.
	minResponses = 4
	// responsePeriod is the time over which responses are recent, at least; at most it is
	// twice as long.
	responsePeriod = 10 * time.Second
	// stopOverhead is how much earlier the deadline for targets is than the end of the stop,
	// so that the response still reaches the node.
	stopOverhead = 100 * time.Millisecond
	// stopRetryAfter is the delay after which a caller is asked to try another node.
	stopRetryAfter = 40 * time.Millisecond
)

// BeginStop makes the Dispatcher send only calls whose responses arrive before end, the time
// at which calls are cut off. Calls that wait are refused as soon as that is not sure.
func (d *Dispatcher) BeginStop(end time.Time) {
	d.stopEnd.Store(&end)
}

// stopLimit returns the end of the planned stop; ok is false if the node does not stop.
func (d *Dispatcher) stopLimit() (end time.Time, ok bool) {
	if p := d.stopEnd.Load(); p != nil {
		return *p, true
	}
	return time.Time{}, false
}

// endsBeforeStop reports whether an attempt that is sent now surely gets its response before the
// node ends. The forecast is that of its target, or zero before one is chosen.
func (r *run) endsBeforeStop(now time.Time, forecast time.Duration) bool {
	end, isStopping := r.dispatcher.stopLimit()
	if !isStopping {
		return true
	}
	end = end.Add(-stopOverhead)
	if !r.call.Deadline.After(end) {
		return true
	}
	longest, ok := r.service.responseTimes.longest(now, r.call.Profile.Name)
	if !ok {
		// The duration of the call has no bound but its deadline.
		return false
	}
	bound := max(time.Duration(longestResponseFactor*float64(longest)), forecastFactor*forecast)
	return !now.Add(bound).After(end)
}

// attemptDeadlines returns the deadline of an attempt in this node and the one that its target
// receives.
func (r *run) attemptDeadlines() (own, target time.Time) {
	own, target = r.call.Deadline, r.call.Deadline.Add(-layerOverhead)
	if end, ok := r.dispatcher.stopLimit(); ok {
		own, target = earliest(own, end), earliest(target, end.Add(-stopOverhead))
	}
	return own, target
}

// responseTimes records the longest recent response times of calls by profile. Its zero value
// is ready to use.
type responseTimes struct {
	mu        sync.Mutex
	byProfile map[profile.Name]*responsePeriods
}

// responsePeriods holds the response times of the current and the previous responsePeriod.
type responsePeriods struct {
	current, previous responseSample
	rotatedAt         time.Time
}

// responseSample is a number of responses and the longest time of one.
type responseSample struct {
	count   int
	longest time.Duration
}

// observe records the time that a call of a profile took from its sending, with the rest of its
// body, to the end of its response.
func (t *responseTimes) observe(now time.Time, name profile.Name, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byProfile == nil {
		t.byProfile = map[profile.Name]*responsePeriods{}
	}
	p := t.byProfile[name]
	if p == nil {
		p = &responsePeriods{rotatedAt: now}
		t.byProfile[name] = p
	}
	p.rotate(now)
	p.current.count++
	p.current.longest = max(p.current.longest, d)
}

// longest returns the longest recent response time of calls of a profile; ok is false if there
// are fewer than minResponses.
func (t *responseTimes) longest(now time.Time, name profile.Name) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byProfile[name]
	if p == nil {
		return 0, false
	}
	p.rotate(now)
	return max(p.current.longest, p.previous.longest), p.current.count+p.previous.count >= minResponses
}

// rotate begins a new period when the current one is over.
func (p *responsePeriods) rotate(now time.Time) {
	elapsed := now.Sub(p.rotatedAt)
	if elapsed < responsePeriod {
		return
	}
	p.previous = p.current
	if elapsed >= 2*responsePeriod {
		p.previous = responseSample{}
	}
	p.current = responseSample{}
	p.rotatedAt = now
}
