package logbook

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Step is one log line of a request, together with the state that its node had
// logged up to then: the version of the plan, and the last events of the line's
// target and of the store.
type Step struct {
	Line   Line   `json:"line"`
	Plan   int64  `json:"plan"`
	Target string `json:"believed-of-target,omitempty"`
	Store  string `json:"believed-of-store,omitempty"`
	Text   string `json:"text"`
}

// Story collects the log lines of one request.
type Story struct {
	ID string

	states Beliefs
	steps  []Step
}

// maxSteps is the maximum number of lines that are kept of one request.
const maxSteps = 1000

// Take processes one line of any node. It keeps the line if it belongs to the
// request.
func (s *Story) Take(l Line) {
	s.states.Take(l)
	if l.ID != s.ID || len(s.steps) >= maxSteps {
		return
	}
	step := Step{Line: l, Text: l.Text}
	if state, ok := s.states.Of(l.Node); ok {
		step.Plan = state.Plan
		step.Store = state.Store.Name
		if t, ok := state.Targets[l.Target]; ok {
			step.Target = fmt.Sprintf("%s %s, %s before", t.Name, t.State, l.At.Sub(t.At).Round(timeResolution))
		}
	}
	s.steps = append(s.steps, step)
}

// Steps returns the lines of the request, sorted by time.
func (s *Story) Steps() []Step {
	slices.SortStableFunc(s.steps, func(a, b Step) int { return a.Line.At.Compare(b.Line.At) })
	return s.steps
}

// Write writes the steps as text, with times relative to the first step.
func (s *Story) Write(w io.Writer) error {
	steps := s.Steps()
	if len(steps) == 0 {
		_, err := fmt.Fprintf(w, "no log line of the request %s: it did not reach these nodes, or its lines were dropped (event lines-cut)\n", s.ID)
		return err
	}
	start := steps[0].Line.At
	for _, step := range steps {
		if _, err := fmt.Fprintf(w, "%9s  %s  %s", "+"+step.Line.At.Sub(start).Round(timeResolution).String(), step.Line.Node, step.Line.Name); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "  %s\n", formatFields(step.Text)); err != nil {
			return err
		}
		if err := step.writeNodeState(w); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) writeNodeState(w io.Writer) error {
	var parts []string
	if s.Plan != 0 {
		parts = append(parts, "plan "+formatVersion(s.Plan))
	}
	if s.Target != "" {
		parts = append(parts, "target: "+s.Target)
	}
	if s.Store != "" {
		parts = append(parts, "store: "+s.Store)
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
