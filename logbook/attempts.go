package logbook

import (
	"fmt"
	"slices"
	"strings"

	"github.com/apricotmount/apricotmount/event"
)

// attempt is an attempt of a call at a target, made by a node.
type attempt struct {
	node   Node
	target string
}

// possibleRuns returns the attempts of a call that may have run at their targets, in the order
// of the lines: all but those that were refused or of which nothing was written.
func possibleRuns(steps []Step) (runs []attempt) {
	for _, step := range steps {
		l := step.Line
		a := attempt{node: l.Node, target: l.Target}
		switch l.EventNumber {
		case event.CallPlaced.Number, event.CallHedged.Number:
			runs = append(runs, a)
		case event.CallFailed.Number:
			if i := slices.Index(runs, a); i >= 0 && (!l.IsWritten || l.Result == "refused") {
				runs = slices.Delete(runs, i, i+1)
			}
		}
	}
	return runs
}

// hops returns a text for each time that a call was sent through another node: both nodes, and
// what was left of its attempts.
func hops(steps []Step) (texts []string) {
	for _, step := range steps {
		if l := step.Line; l.EventNumber == event.CallForwarded.Number {
			texts = append(texts, fmt.Sprintf("%s via %s (extra-left=%d)", l.Node, l.Via, l.ExtraLeft))
		}
	}
	return texts
}

// summary returns how many targets may have run a call, at which nodes, and through which nodes
// it went.
func summary(steps []Step) string {
	runs := possibleRuns(steps)
	names := make([]string, len(runs))
	targets := map[string]bool{}
	for i, a := range runs {
		names[i] = fmt.Sprintf("%s from %s", a.target, a.node)
		targets[a.target] = true
	}
	text := fmt.Sprintf("targets that may have run it: %d", len(targets))
	if len(names) > 0 {
		text += ": " + strings.Join(names, ", ")
	}
	if h := hops(steps); len(h) > 0 {
		text += "; through other nodes: " + strings.Join(h, ", ")
	}
	return text
}
