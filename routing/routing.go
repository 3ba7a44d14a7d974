package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is the node's view of one target that may receive the next attempt.
type Candidate struct {
	// OwnAttempts is the number of this node's open attempts at the target.
	OwnAttempts int
	// OtherAttempts is the estimated number of open attempts of other nodes.
	OtherAttempts float64
	// Slots is the number of calls the target serves concurrently, at least 1.
	Slots int
	// SameZone reports whether the target is in the node's availability zone.
	SameZone bool
	// SlownessFactor is how many times slower the target is than the average target
	// of the service, at least 1.
	SlownessFactor float64
	// Forecast is the forecast of the response time, and ForecastRatio the same as a
	// multiple of the baseline service time; both are zero without a forecast.
	Forecast      time.Duration
	ForecastRatio float64
	// ActualOpen is the actual number of open calls. Only simulations set it; a
	// node cannot observe it.
	ActualOpen int
}

// crossZoneCost is the cost of crossing availability zones, in slots. It breaks
// ties between targets that are about equally loaded.
const crossZoneCost = 0.25

// Load returns the expected load including a new attempt, as a fraction of the
// target's slots, weighted by slowness and with the cost of crossing zones. Lower is
// better.
func (c *Candidate) Load() float64 {
	open := float64(c.OwnAttempts) + c.OtherAttempts + 1
	if !c.SameZone {
		open += crossZoneCost
	}
	return open / float64(c.Slots) * c.SlownessFactor
}

// HasFreeSlot reports whether the target is estimated to have a free slot and is
// not slow.
func (c *Candidate) HasFreeSlot() bool {
	return float64(c.OwnAttempts)+c.OtherAttempts < float64(c.Slots) && c.SlownessFactor < slowThreshold
}

// slowThreshold is the SlownessFactor from which HasFreeSlot reports false.
const slowThreshold = 2

// Chooser is an algorithm that chooses one of several candidates. Choose returns
// the index of the chosen one; candidates must not be empty.
type Chooser interface {
	Choose(candidates []Candidate, r *rand.Rand) int
}

// Random chooses a candidate uniformly at random. It is a baseline.
type Random struct{}

// Choose returns a random index.
func (Random) Choose(candidates []Candidate, r *rand.Rand) int {
	return r.IntN(len(candidates))
}

// RoundRobin chooses candidates in turn. It is a baseline.
type RoundRobin struct {
	lastIndex int
}

// Choose returns the next index.
func (rr *RoundRobin) Choose(candidates []Candidate, _ *rand.Rand) int {
	rr.lastIndex = (rr.lastIndex + 1) % len(candidates)
	return rr.lastIndex
}

// LeastOwnAttempts chooses the candidate with the fewest open attempts of this
// node. It is a baseline.
type LeastOwnAttempts struct{}

// Choose returns the index with the fewest own attempts; ties are broken at
// random.
func (LeastOwnAttempts) Choose(candidates []Candidate, r *rand.Rand) int {
	return leastCost(candidates, r, func(c *Candidate) float64 { return float64(c.OwnAttempts) })
}

// LeastLoad chooses the candidate with the lowest Load.
type LeastLoad struct{}

// Choose returns the index with the lowest load; ties are broken at random.
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

// LeastForecast chooses the candidate with the lowest forecast, but prefers the
// best one of the node's own zone if its forecast is at most SameZoneLimit.
type LeastForecast struct {
	SameZoneLimit time.Duration
}

// Choose returns the index with the lowest forecast; ties are broken at random.
func (lf LeastForecast) Choose(candidates []Candidate, r *rand.Rand) int {
	sameZone := leastCost(candidates, r, func(c *Candidate) float64 {
		if !c.SameZone {
			return math.Inf(1)
		}
		return float64(c.Forecast)
	})
	if c := &candidates[sameZone]; c.SameZone && c.Forecast <= lf.SameZoneLimit {
		return sameZone
	}
	return leastCost(candidates, r, func(c *Candidate) float64 { return float64(c.Forecast) })
}

// TwoChoices draws two candidates at random and chooses the one with the lower
// load (power of two choices).
type TwoChoices struct{}

// Choose returns the index with the lower load of two random ones.
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

// Oracle chooses the candidate with the fewest actual open calls, which no node can
// observe. It is the ideal that simulations compare with.
type Oracle struct{}

// Choose returns the index with the fewest actual open calls; ties are broken at
// random.
func (Oracle) Choose(candidates []Candidate, r *rand.Rand) int {
	return leastCost(candidates, r, func(c *Candidate) float64 { return float64(c.ActualOpen) })
}

// leastCost returns the index with the lowest cost; ties are broken uniformly at
// random.
func leastCost(candidates []Candidate, r *rand.Rand, cost func(*Candidate) float64) int {
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
