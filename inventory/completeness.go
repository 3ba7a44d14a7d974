package inventory

import (
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/replica"
)

// Completeness states which parts of the state a node has received since it started.
type Completeness struct {
	HasPlan bool
	// HasTargetsMark reports whether the node knows how far the targets topic was read.
	HasTargetsMark bool
	// IsComplete reports for each topic whether the copy was complete at some time.
	IsComplete [replica.TopicCount]bool
}

// MissingReason returns the reason why a node with this plan, which may be nil, refuses calls
// before it is able to serve.
func MissingReason(p *Plan) outcome.Reason {
	if p == nil {
		return outcome.NoPlan
	}
	return outcome.NoTargetList
}

// LogFields returns the parts as fields of a log line.
func (c Completeness) LogFields() []zap.Field {
	return []zap.Field{
		zap.Bool("plan", c.HasPlan), zap.Bool("targets-mark", c.HasTargetsMark),
		zap.Bool("operator-complete", c.IsComplete[replica.Operator]), zap.Bool("targets-complete", c.IsComplete[replica.Targets]),
	}
}

// Completeness returns which parts of the state the node has received.
func (s *State) Completeness() Completeness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeness()
}

// completeness is Completeness with s.mu held.
func (s *State) completeness() Completeness {
	c := Completeness{HasPlan: s.plan != nil, HasTargetsMark: !s.firstMarkAt.IsZero()}
	for t := range replica.TopicCount {
		c.IsComplete[t] = s.copies[t].HasBeenComplete()
	}
	return c
}
