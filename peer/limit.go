package peer

import (
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// NewTargetLimit returns the message about a change of a target's rate limit.
func NewTargetLimit(c target.LimitChange) TargetLimit {
	return TargetLimit{
		Service: c.Ref.Service, ID: c.Ref.ID, Incarnation: c.Incarnation, PerSecond: c.Limit.PerSecond, Ended: c.Limit.Status == target.LimitAbsent,
		OnLoadQueries: c.OnLoadQueries, AgeMillis: Milliseconds(time.Since(c.ToldAt)),
	}
}

// PeerLimit returns what a table of targets records of a message that was received at the given
// time.
func (l TargetLimit) PeerLimit(receivedAt time.Time) target.PeerLimit {
	limit := target.PeerLimit{
		ID: l.ID, Incarnation: l.Incarnation, OnLoadQueries: l.OnLoadQueries,
		ToldAt: receivedAt.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
	}
	if !l.Ended {
		limit.Limit = target.RateLimit{Status: target.LimitNamed, PerSecond: l.PerSecond}
	}
	return limit
}
