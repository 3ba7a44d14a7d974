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

// Case is what the fleet knows of one suspected request.
type Case struct {
	Digest Digest
	// Ends are the ends of distinct processes since the request was last completed, in the
	// order in which this node learned of them.
	Ends []End
	// CompletedAt is when a copy was last completed, or an operator last released the
	// request; zero if never.
	CompletedAt time.Time
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

// maxEnds is the number of ends that a case keeps. The verdict needs fewer; the others are
// kept for operators.
const maxEnds = 16

// addEnd adds an end, unless it is known, older than the last completion or beyond maxEnds.
func (c *Case) addEnd(e End) (added bool) {
	if !e.At.After(c.CompletedAt) || len(c.Ends) >= maxEnds {
		return false
	}
	if slices.ContainsFunc(c.Ends, func(known End) bool { return known.Process == e.Process }) {
		return false
	}
	c.Ends = append(c.Ends, e)
	return true
}

// complete records a completion, which refutes the ends before it.
func (c *Case) complete(at time.Time) (refuted bool) {
	if !at.After(c.CompletedAt) {
		return false
	}
	c.CompletedAt = at
	count := len(c.Ends)
	c.Ends = slices.DeleteFunc(c.Ends, func(e End) bool { return !e.At.After(at) })
	return len(c.Ends) < count
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
	// clearedRetention is how long a completion is kept: longer than messages about ends
	// before it are on their way.
	clearedRetention = 30 * time.Second
	// suspicionRetention is how long ends are kept that are too few to hold a request.
	suspicionRetention = 10 * time.Minute
	// heldRetention is how long a request is held after the last process ended.
	heldRetention = 24 * time.Hour
)

// isExpired reports whether the case can be forgotten.
func (c *Case) isExpired(now time.Time) bool {
	switch c.Verdict() {
	case Free:
		return now.Sub(c.CompletedAt) > clearedRetention
	case Held:
		return now.Sub(c.lastEndAt()) > heldRetention
	default:
		return now.Sub(c.lastEndAt()) > suspicionRetention
	}
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
	return copied
}
