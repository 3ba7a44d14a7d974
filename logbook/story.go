package logbook

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Step is one line on a request, and what its node believed then of the target
// that the line names.
type Step struct {
	Line            Line   `json:"line"`
	PlanVersion     int64  `json:"plan"`
	LastTargetEvent string `json:"believed-of-target,omitempty"`
	LastStoreEvent  string `json:"believed-of-store,omitempty"`
	JSON            string `json:"text"`
}

// Story gathers what the logs say of one request.
type RequestTrace struct {
	ID string

	beliefs NodeStates
	steps   []Step
}

// maxSteps bounds the lines kept of one request.
const maxSteps = 1000

// Take follows one line of any node.
func (s *RequestTrace) Add(l Line) {
	s.beliefs.Apply(l)
	if l.RequestID != s.ID || len(s.steps) >= maxSteps {
		return
	}
	step := Step{Line: l, JSON: l.JSON}
	if b, ok := s.beliefs.State(l.Node); ok {
		step.PlanVersion = b.PlanVersion
		step.LastStoreEvent = b.LastStoreLine.EventName
		if t, ok := b.LastTargetLines[l.Target]; ok {
			step.LastTargetEvent = fmt.Sprintf("%s %s, %s before", t.EventName, t.State, l.Time.Sub(t.Time).Round(millisecond))
		}
	}
	s.steps = append(s.steps, step)
}

// Steps returns the request's lines in the order of time.
func (s *RequestTrace) Steps() []Step {
	slices.SortStableFunc(s.steps, func(a, b Step) int { return a.Line.Time.Compare(b.Line.Time) })
	return s.steps
}

// Write tells the story as a person reads it.
func (s *RequestTrace) WriteText(w io.Writer) error {
	steps := s.Steps()
	if len(steps) == 0 {
		_, err := fmt.Fprintf(w, "no line names the request %s: it did not reach these nodes, or its lines were left out (event lines-cut)\n", s.ID)
		return err
	}
	began := steps[0].Line.Time
	for _, step := range steps {
		if _, err := fmt.Fprintf(w, "%9s  %s  %s", "+"+step.Line.Time.Sub(began).Round(millisecond).String(), step.Line.Node, step.Line.EventName); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "  %s\n", fields(step.JSON)); err != nil {
			return err
		}
		if err := step.writeBelief(w); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) writeBelief(w io.Writer) error {
	var known []string
	if s.PlanVersion != 0 {
		known = append(known, "plan "+formatVersion(s.PlanVersion))
	}
	if s.LastTargetEvent != "" {
		known = append(known, "target: "+s.LastTargetEvent)
	}
	if s.LastStoreEvent != "" {
		known = append(known, "store: "+s.LastStoreEvent)
	}
	if len(known) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%11s%s\n", "", "believed "+strings.Join(known, "; "))
	return err
}

func formatVersion(v int64) string {
	return strconv.FormatInt(v, 10)
}
