package quarantine

import (
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Process identifies one process of a target, by the same values at every node.
type Process struct {
	Target   vm.ID
	Instance target.Instance
}

// End is the end of a process while a copy of a request was open at it.
type End struct {
	Process
	At time.Time
	// Witness is the node whose copy was open.
	Witness vm.ID
}

// Case is the evidence of the fleet on one suspected request.
type Case struct {
	Digest Digest
	// Ends are the ends of distinct processes that no completion has refuted, in the order
	// in which this node learned of them.
	Ends []End
	// Refuted are processes whose ends do not count: a copy was completed since, or an
	// operator released the request. Ends are refuted by process, not by time: ages in
	// messages are late by as long as these wait.
	Refuted []Process
	// TrialCount is the number of trials that were taken since the request was first held.
	TrialCount int
}

// Verdict states how copies of a request may be sent.
type Verdict uint8

// The verdicts, by the number of processes that ended.
const (
	// Free: as any call.
	Free Verdict = iota
	// Watched: without a hedge, which would be a second copy at a time.
	Watched
	// Suspected: one copy at a time at each node, which is not sent again.
	Suspected
	// Held: not at all, except for trials.
	Held
)

var verdictNames = [...]string{"free", "watched", "suspected", "held"}

// String returns the name of the verdict, as used in logs.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Verdict returns the verdict on the request.
func (c *Case) Verdict() Verdict {
	return Verdict(min(len(c.Ends), int(Held)))
}

// maxEnds is the number of ends and of refuted processes that a case keeps. The verdict needs
// fewer; the others are kept for operators.
const maxEnds = 16

// addEnd adds an end, unless it is known, refuted or beyond maxEnds.
func (c *Case) addEnd(e End) (added bool) {
	isKnown := slices.ContainsFunc(c.Ends, func(known End) bool { return known.Process == e.Process })
	if isKnown || slices.Contains(c.Refuted, e.Process) || len(c.Ends) >= maxEnds {
		return false
	}
	c.Ends = append(c.Ends, e)
	return true
}

// refute makes the end of a process not count, and reports whether that was not known.
func (c *Case) refute(p Process) (isNews bool) {
	if slices.Contains(c.Refuted, p) {
		return false
	}
	c.Refuted = append(c.Refuted, p)
	if len(c.Refuted) > maxEnds {
		c.Refuted = slices.Delete(c.Refuted, 0, 1)
	}
	c.Ends = slices.DeleteFunc(c.Ends, func(e End) bool { return e.Process == p })
	return true
}

// complete refutes all ends, and reports whether there were any.
func (c *Case) complete() (hadEnds bool) {
	for _, e := range slices.Clone(c.Ends) {
		c.refute(e.Process)
		hadEnds = true
	}
	return hadEnds
}

// lastEndAt returns when the last process ended.
func (c *Case) lastEndAt() (last time.Time) {
	for _, e := range c.Ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

const (
	// suspicionRetention is how long ends are kept that are too few to hold a request, and
	// what refutes them.
	suspicionRetention = 10 * time.Minute
	// heldRetention is how long a request is held after the last process ended.
	heldRetention = 24 * time.Hour
)

// retention returns how long the case is kept after it last changed.
func (c *Case) retention() time.Duration {
	if c.Verdict() == Held {
		return heldRetention
	}
	return suspicionRetention
}

// IsOnTrial reports whether the last thing that happened to a held request is that a trial was
// taken.
func (c *Case) IsOnTrial() bool {
	return c.TrialCount > 0 && len(c.Ends) < int(Held)+c.TrialCount
}

// clone returns a copy that shares no memory with the case.
func (c *Case) clone() Case {
	copied := *c
	copied.Ends = slices.Clone(c.Ends)
	copied.Refuted = slices.Clone(c.Refuted)
	return copied
}
