package logbook

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one log line of a request, together with the state that its node had
// logged up to then: the version of the plan, and the last events of the line's
// target and of the store.
type Step struct {
	Line        Line  `json:"line"`
	PlanVersion int64 `json:"plan"`
	// PlanOrigin is where the plan came from and how long before the line, as printed text.
	PlanOrigin string `json:"believed-of-plan,omitempty"`
	// LastTargetEvent is the name, the state and the age of the last event of the
	// target, as printed text.
	LastTargetEvent string `json:"believed-of-target,omitempty"`
	// TargetLimit is the rate limit of the target and the age of the line that told it,
	// as printed text; empty without one.
	TargetLimit string `json:"believed-limit,omitempty"`
	// LastStoreEvent is the name, the topic and the age of the last event of each part of
	// the store, as printed text.
	LastStoreEvent string `json:"believed-of-store,omitempty"`
	JSON           string `json:"text"`
}

// RequestTrace collects the log lines of the request with the given ID.
type RequestTrace struct {
	ID string

	states NodeStates
	steps  []Step
}

// maxSteps is the maximum number of lines that are kept of one request. Later
// lines are dropped.
const maxSteps = 1000

// Add processes one line of any node. It keeps the line if it belongs to the
// request.
func (t *RequestTrace) Add(l Line) {
	t.states.Apply(l)
	if l.RequestID != t.ID {
		return
	}
	step := Step{Line: l, JSON: l.JSON}
	if state, ok := t.states.State(l.Node); ok {
		step.PlanVersion = state.PlanVersion
		step.LastStoreEvent = state.formatStore(l.Time)
		if state.PlanVersion != 0 {
			step.PlanOrigin = "from " + state.PlanLine.Source + ", " + formatAge(l.Time, state.PlanLine.Time)
		}
		if limit, ok := state.LimitLines[l.Target]; ok {
			step.TargetLimit = fmt.Sprintf("%g a second, %s", limit.RateLimit, formatAge(l.Time, limit.Time))
		}
		if last, ok := state.LastTargetLines[l.Target]; ok {
			step.LastTargetEvent = fmt.Sprintf("%s %s, %s", last.EventName, last.State, formatAge(l.Time, last.Time))
		}
	}
	t.steps = append(t.steps, step)
	if len(t.steps) >= 2*maxSteps {
		t.Steps()
	}
}

// Steps returns the lines of the request, sorted by time.
func (t *RequestTrace) Steps() []Step {
	slices.SortStableFunc(t.steps, func(a, b Step) int { return a.Line.Time.Compare(b.Line.Time) })
	t.steps = t.steps[:min(len(t.steps), maxSteps)]
	return t.steps
}

// WriteText writes the steps as text, with times relative to the first step.
func (t *RequestTrace) WriteText(w io.Writer) error {
	steps := t.Steps()
	if len(steps) == 0 {
		_, err := fmt.Fprintf(w, "no log line of the request %s: it did not reach these nodes, or its lines were dropped (event lines-cut)\n", t.ID)
		return err
	}
	start := steps[0].Line.Time
	for _, step := range steps {
		if _, err := fmt.Fprintf(w, "%9s  %s  %s", "+"+step.Line.Time.Sub(start).Round(timeResolution).String(), step.Line.Node, step.Line.EventName); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "  %s\n", formatFields(step.JSON)); err != nil {
			return err
		}
		if err := step.writeNodeState(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, summary(steps))
	return err
}

func (s Step) writeNodeState(w io.Writer) error {
	var parts []string
	if s.PlanVersion != 0 {
		parts = append(parts, "plan "+formatVersion(s.PlanVersion)+" "+s.PlanOrigin)
	}
	if s.LastTargetEvent != "" {
		parts = append(parts, "target: "+s.LastTargetEvent)
	}
	if s.TargetLimit != "" {
		parts = append(parts, "limit: "+s.TargetLimit)
	}
	if s.LastStoreEvent != "" {
		parts = append(parts, "store: "+s.LastStoreEvent)
	}
	if len(parts) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%11s%s\n", "", "believed "+strings.Join(parts, "; "))
	return err
}

func formatVersion(v int64) string {
	return strconv.FormatInt(v, 10)
}

// formatAge returns how long before now something was logged.
func formatAge(now, then time.Time) string {
	return now.Sub(then).Round(timeResolution).String() + " before"
}

// formatStore returns the last event of each part of the store that was logged until now.
func (n NodeState) formatStore(now time.Time) string {
	var parts []string
	for _, topic := range slices.Sorted(maps.Keys(n.LastStoreLines)) {
		l := n.LastStoreLines[topic]
		parts = append(parts, strings.Join(strings.Fields(l.EventName+" "+topic+" "+formatAge(now, l.Time)), " "))
	}
	return strings.Join(parts, ", ")
}
