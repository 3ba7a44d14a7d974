package inventory

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/replica"
)

// carryOverPeriods are how long after the start of an epoch the records that the store
// still lacks are kept. Targets write their records again
// within two heartbeats. A zone out of service must not return before the operator
// says so, so its record has longer.
var carryOverPeriods = [replica.TopicCount]time.Duration{replica.Operator: 30 * time.Second, replica.Targets: 3 * time.Second}

// isCarryOverExpired reports whether the period for writing records again is over. s.mu
// must be held.
func (s *State) isCarryOverExpired(topic replica.Topic, now time.Time) bool {
	return now.Sub(s.epochBeganAt[topic]) > carryOverPeriods[topic]
}

// beginEpoch notes the epoch of a read of the store, or of a peer's read. s.mu must be
// held.
func (s *State) beginEpoch(topic replica.Topic, e replica.Epoch, now time.Time) {
	c := &s.copies[topic]
	before := c.Epoch()
	if e <= before {
		return
	}
	c.BeginEpoch(e)
	s.epochBeganAt[topic] = now
	if before != 0 {
		event.StoreRestored.Log(s.logger, zap.Stringer("topic", topic), zap.Uint64("epoch", uint64(e)))
	}
}

// NeedsListing reports whether the next read of a topic must list it: its offsets are
// unknown, or records of an earlier epoch were not written again in time.
func (s *State) NeedsListing(topic replica.Topic, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.copies[topic]
	return c.NeedsListing() || s.isCarryOverExpired(topic, now) && c.HasCarriedOver()
}

// Epoch returns the newest epoch of the store that a topic was read in; zero if none.
func (s *State) Epoch(topic replica.Topic) replica.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].Epoch()
}
