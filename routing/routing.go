package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is what a node knows of one target that may take the next attempt.
type Candidate struct {
	// Own is how many attempts of this node are open there.
	OwnAttempts int
	// Others estimates how many attempts of other nodes are open there.
	OtherAttempts float64
	// Slots is how many calls the target serves at once, at least 1.
	Slots int
	// SameZone says that the target is in the node's availability zone.
	SameZone bool
	// Slowness is how many times slower than its like the target is, at least 1.
	SlownessFactor float64
	// Finish is the forecast of how long an answer takes, and Ratio the same in
	// units of a call's usual time; zero where none is made.
	Forecast      time.Duration
	ForecastRatio float64
	// True is the real number of open calls; only measurements know it.
	ActualOpen int
}

// otherZoneCost is what crossing availability zones counts for, in slots; it
// breaks ties between targets that are about equally loaded.
const otherZoneCost = 0.25

// Load is the expected work in front of a new attempt, in units of the
// target's slots, weighted by slowness. Lower is better.
func (c *Candidate) Load() float64 {
	open := float64(c.OwnAttempts) + c.OtherAttempts + 1
	if !c.SameZone {
		open += otherZoneCost
	}
	return open / float64(c.Slots) * c.SlownessFactor
}

// Free reports whether the target seems to have a slot free.
func (c *Candidate) HasFreeSlot() bool {
	return float64(c.OwnAttempts)+c.OtherAttempts < float64(c.Slots) && c.SlownessFactor < slowFrom
}

// slowFrom is the slowness from which a target is not called free.
const slowFrom = 2

// Chooser chooses among candidates. Choose returns the index of the chosen one;
// there is at least one candidate.
type Chooser interface {
	Choose(candidates []Candidate, r *rand.Rand) int
}

// Random chooses any candidate with equal chance; a baseline.
type Random struct{}

// Choose returns a random index.
func (Random) Choose(candidates []Candidate, r *rand.Rand) int {
	return r.IntN(len(candidates))
}

// RoundRobin takes candidates in turn; a baseline.
type RoundRobin struct {
	last int
}

// Choose returns the next index.
func (m *RoundRobin) Choose(candidates []Candidate, _ *rand.Rand) int {
	m.last = (m.last + 1) % len(candidates)
	return m.last
}

// LeastOwn takes the candidate with the fewest own open attempts; a baseline.
type LeastOwnAttempts struct{}

// Choose returns the index with the fewest own attempts, ties by chance.
func (LeastOwnAttempts) Choose(candidates []Candidate, r *rand.Rand) int {
	return least(candidates, r, func(c *Candidate) float64 { return float64(c.OwnAttempts) })
}

// LeastLoad takes the candidate with the least expected load.
type LeastLoad struct{}

// Choose returns the index with the least load, ties by chance.
func (LeastLoad) Choose(candidates []Candidate, r *rand.Rand) int {
	best, ties := 0, 1
	bestLoad := candidates[0].Load()
	for i := 1; i < len(candidates); i++ {
		load := candidates[i].Load()
		if load > bestLoad {
			continue
		}
		if load < bestLoad {
			best, bestLoad, ties = i, load, 1
			continue
		}
		ties++
		if r.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// Soonest takes the candidate with the least forecast. One in the node's own
// zone goes first while its forecast is at most Within.
type LeastForecast struct {
	SameZoneLimit time.Duration
}

// Choose returns the index with the least forecast, ties by chance.
func (m LeastForecast) Choose(candidates []Candidate, r *rand.Rand) int {
	near := least(candidates, r, func(c *Candidate) float64 {
		if !c.SameZone {
			return math.Inf(1)
		}
		return float64(c.Forecast)
	})
	if c := &candidates[near]; c.SameZone && c.Forecast <= m.SameZoneLimit {
		return near
	}
	return least(candidates, r, func(c *Candidate) float64 { return float64(c.Forecast) })
}

// TwoChoices draws two candidates by chance and takes the one with less load.
type TwoChoices struct{}

// Choose returns the better of two random indices.
func (TwoChoices) Choose(candidates []Candidate, r *rand.Rand) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	i := r.IntN(n)
	j := r.IntN(n - 1)
	if j >= i {
		j++
	}
	if candidates[j].Load() < candidates[i].Load() {
		return j
	}
	return i
}

// Exact takes the candidate with the fewest calls really open, which no node
// can know; the ideal that measurements compare with.
type Oracle struct{}

// Choose returns the index with the fewest real open calls, ties by chance.
func (Oracle) Choose(candidates []Candidate, r *rand.Rand) int {
	return least(candidates, r, func(c *Candidate) float64 { return float64(c.ActualOpen) })
}

// least returns the index of the least cost; among equals each has the same
// chance.
func least(candidates []Candidate, r *rand.Rand, cost func(*Candidate) float64) int {
	best, ties := 0, 1
	bestCost := cost(&candidates[0])
	for i := 1; i < len(candidates); i++ {
		c := cost(&candidates[i])
		if c < bestCost {
			best, bestCost, ties = i, c, 1
			continue
		}
		if c == bestCost {
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
