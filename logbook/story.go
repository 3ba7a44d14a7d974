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
	Line   Line   `json:"line"`
	Plan   int64  `json:"plan"`
	Target string `json:"believed-of-target,omitempty"`
	Store  string `json:"believed-of-store,omitempty"`
	Text   string `json:"text"`
}

// Story gathers what the logs say of one request.
type Story struct {
	ID string

	states Beliefs
	steps  []Step
}

// maxSteps bounds the lines kept of one request.
const maxSteps = 1000

// Take follows one line of any node.
func (s *Story) Take(l Line) {
	s.states.Take(l)
	if l.ID != s.ID || len(s.steps) >= maxSteps {
		return
	}
	step := Step{Line: l, Text: l.Text}
	if b, ok := s.states.Of(l.Node); ok {
		step.Plan = b.Plan
		step.Store = b.Store.Name
		if t, ok := b.Targets[l.Target]; ok {
			step.Target = fmt.Sprintf("%s %s, %s before", t.Name, t.State, l.At.Sub(t.At).Round(timeResolution))
		}
	}
	s.steps = append(s.steps, step)
}

// Steps returns the request's lines in the order of time.
func (s *Story) Steps() []Step {
	slices.SortStableFunc(s.steps, func(a, b Step) int { return a.Line.At.Compare(b.Line.At) })
	return s.steps
}

// Write tells the story as a person reads it.
func (s *Story) Write(w io.Writer) error {
	steps := s.Steps()
	if len(steps) == 0 {
		_, err := fmt.Fprintf(w, "no line names the request %s: it did not reach these nodes, or its lines were left out (event lines-cut)\n", s.ID)
		return err
	}
	began := steps[0].Line.At
	for _, step := range steps {
		if _, err := fmt.Fprintf(w, "%9s  %s  %s", "+"+step.Line.At.Sub(began).Round(timeResolution).String(), step.Line.Node, step.Line.Name); err != nil {
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
	var known []string
	if s.Plan != 0 {
		known = append(known, "plan "+formatVersion(s.Plan))
	}
	if s.Target != "" {
		known = append(known, "target: "+s.Target)
	}
	if s.Store != "" {
		known = append(known, "store: "+s.Store)
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
