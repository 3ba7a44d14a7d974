package logbook

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cause is why a call was not served within its latency objective.
type Cause string

// The causes. NoCapacity is the part of RefusedAtOnce, HeldThenRefused and ServedLate that no
// node could have served.
const (
	NoCapacity      Cause = "no-capacity"
	RefusedAtOnce   Cause = "refused-at-once"
	HeldThenRefused Cause = "held-then-refused"
	ServedLate      Cause = "served-late"
	TargetsRefused  Cause = "targets-refused"
	ResponseLost    Cause = "response-lost"
	NodeNotReady    Cause = "node-not-ready"
	CallerGone      Cause = "caller-gone"
)

// Causes lists all causes in the order in which they are printed.
var Causes = []Cause{NoCapacity, RefusedAtOnce, HeldThenRefused, ServedLate, TargetsRefused, ResponseLost, NodeNotReady, CallerGone}

// scarceCauses are the causes that NoCapacity takes its part of.
var scarceCauses = []Cause{RefusedAtOnce, HeldThenRefused, ServedLate}

// causeByReason maps the reason in the line of a call's end to its cause.
var causeByReason = map[string]Cause{
	"targets-refused": TargetsRefused, "caller-gone": CallerGone, "caller-gone-after-send": CallerGone,
	"answer-lost": ResponseLost, "attempt-timeout": ResponseLost, "answer-unframed": ResponseLost, "connect-failed": ResponseLost, "path-lost": ResponseLost,
	"no-plan": NodeNotReady, "no-target-list": NodeNotReady, "no-service": NodeNotReady, "no-target": NodeNotReady, "node-stopping": NodeNotReady,
}

// heldShare is the share of a call's objective from which a refused call counts as held.
const heldShare = 1.0 / 8

// Window is what happened to the calls of a service that ended within one second.
type Window struct {
	Start time.Time
	Calls int
	// InTime is the number of calls served within their objective, and Lost counts the
	// others by cause; together they are Calls.
	InTime int
	Lost   map[Cause]float64
	// Capacity is an upper bound of the calls that the targets could serve.
	Capacity int
}

// Losses splits the calls of each service that were not served within their objective by
// cause, second by second. It bounds the capacity from above: each target that completed a
// call in the second, or in the one before or after it, counts with the most calls that any
// target of the service completed in one second. What is left of the other causes then lies
// with the nodes or with faults. Its zero value is ready to use.
//
// The calls are those that the nodes received: a call that returns after a refusal counts
// again.
type Losses struct {
	services   map[string]*serviceLosses
	objectives map[callKey]time.Duration
}

// callKey identifies a call at a node.
type callKey struct {
	node Node
	id   string
}

// serviceLosses holds the ends of the calls of one service by second.
type serviceLosses struct {
	windows map[int64]*Window
	// completed counts the calls that each target completed by second.
	completed map[string]map[int64]int
}

// Apply adds a line.
func (l *Losses) Apply(line Line) {
	key := callKey{line.Node, line.RequestID}
	switch line.EventName {
	case "call-placed", "call-waits":
		if l.objectives == nil {
			l.objectives = map[callKey]time.Duration{}
		}
		if _, ok := l.objectives[key]; !ok && !line.IsLate {
			l.objectives[key] = milliseconds(line.SinceMillis) + milliseconds(int64(line.LimitMillis))
		}
	case "call-done", "call-not-run", "call-unknown":
		if line.Service != "" {
			l.addEnd(line, l.objectives[key])
		}
		delete(l.objectives, key)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// addEnd adds the end of a call.
func (l *Losses) addEnd(line Line, objective time.Duration) {
	if l.services == nil {
		l.services = map[string]*serviceLosses{}
	}
	s := l.services[line.Service]
	if s == nil {
		s = &serviceLosses{windows: map[int64]*Window{}, completed: map[string]map[int64]int{}}
		l.services[line.Service] = s
	}
	second := line.Time.Unix()
	w := s.windows[second]
	if w == nil {
		w = &Window{Start: time.Unix(second, 0).UTC(), Lost: map[Cause]float64{}}
		s.windows[second] = w
	}
	w.Calls++
	took := milliseconds(line.TookMillis)
	isServed := line.EventName == "call-done" && line.Status < 500
	if isServed {
		s.countCompleted(line.Target, second)
	}
	if isServed && (objective == 0 || took <= objective) {
		w.InTime++
		return
	}
	w.Lost[causeOf(line, isServed, took, objective)]++
}

func (s *serviceLosses) countCompleted(target string, second int64) {
	if s.completed[target] == nil {
		s.completed[target] = map[int64]int{}
	}
	s.completed[target][second]++
}

// causeOf returns the cause by which a call was lost.
func causeOf(line Line, isServed bool, took, objective time.Duration) Cause {
	if isServed {
		return ServedLate
	}
	if cause, ok := causeByReason[line.Reason]; ok {
		return cause
	}
	switch {
	case line.EventName != "call-not-run":
		return ResponseLost
	case took > time.Duration(heldShare*float64(objective)):
		return HeldThenRefused
	default:
		return RefusedAtOnce
	}
}

// Services returns the names of the services, sorted.
func (l *Losses) Services() []string {
	return slices.Sorted(maps.Keys(l.services))
}

// Windows returns the windows of a service in the order of time.
func (l *Losses) Windows(service string) (windows []Window) {
	s := l.services[service]
	if s == nil {
		return nil
	}
	best := s.bestRate()
	for second, w := range s.windows {
		out := *w
		out.Capacity = best * s.activeTargets(second)
		out.Lost = splitCapacity(out)
		windows = append(windows, out)
	}
	slices.SortFunc(windows, func(a, b Window) int { return cmp.Compare(a.Start.Unix(), b.Start.Unix()) })
	return windows
}

// bestRate returns the most calls that any target completed in a second.
func (s *serviceLosses) bestRate() (best int) {
	for _, bySecond := range s.completed {
		for _, n := range bySecond {
			best = max(best, n)
		}
	}
	return best
}

// activeTargets returns the number of targets that completed a call within a second of the
// given one.
func (s *serviceLosses) activeTargets(second int64) (n int) {
	for _, bySecond := range s.completed {
		if bySecond[second-1]+bySecond[second]+bySecond[second+1] > 0 {
			n++
		}
	}
	return n
}

// splitCapacity returns the losses of a window, with the part of the scarce ones that exceeds
// the capacity as NoCapacity.
func splitCapacity(w Window) map[Cause]float64 {
	lost := maps.Clone(w.Lost)
	scarce := 0.0
	for _, c := range scarceCauses {
		scarce += lost[c]
	}
	excess := min(scarce, float64(max(0, w.Calls-w.Capacity)))
	if excess == 0 {
		return lost
	}
	for _, c := range scarceCauses {
		lost[c] -= excess * lost[c] / scarce
	}
	lost[NoCapacity] = excess
	return lost
}
