package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/vm"
)

// A held request may be harmless: its neighbours ended the targets, or their VMs failed.
// A trial shows it. One copy is sent alone, and its completion clears the request at all
// nodes. A trial of a harmful one ends another target, so there are few, for good.

// trialDelays are the times from the last end of a process until each trial.
var trialDelays = [...]time.Duration{5 * time.Second, time.Minute}

const (
	// trialStagger is the time between the first moments at which two nodes may take the
	// same trial: longer than the message that one has taken it is on its way.
	trialStagger = 100 * time.Millisecond
	// maxTrialSpread bounds the stagger in a large fleet.
	maxTrialSpread = 5 * time.Second
)

// TrialTurn returns how much later than the first node this one may take the next trial of
// a request. The fleet is given in any order; each trial has another order of turns.
func TrialTurn(self vm.ID, fleet []vm.ID, d Digest, trialCount int) time.Duration {
	rank := 0
	own := turnHash(self, d, trialCount)
	for _, id := range fleet {
		if id != self && turnHash(id, d, trialCount) < own {
			rank++
		}
	}
	step := min(trialStagger, maxTrialSpread/time.Duration(max(1, len(fleet))))
	return time.Duration(rank) * step
}

func turnHash(id vm.ID, d Digest, trialCount int) uint64 {
	b := binary.BigEndian.AppendUint32(d[:], uint32(trialCount))
	return xxhash.Sum64(append(b, id...))
}

// untilTrial returns the time until the next trial of a held request; ok is false if there
// is none left.
func (c *Case) untilTrial(now time.Time) (d time.Duration, ok bool) {
	if c.TrialCount >= len(trialDelays) {
		return 0, false
	}
	return c.lastEndAt().Add(trialDelays[c.TrialCount]).Sub(now), true
}

// sortCases orders cases by their last end, the latest first.
func sortCases(cases []Case) {
	slices.SortFunc(cases, func(a, b Case) int { return cmp.Compare(b.lastEndAt().UnixNano(), a.lastEndAt().UnixNano()) })
}
