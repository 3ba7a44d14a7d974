package routing

import "math/rand/v2"

// WeightedRoundRobin divides calls among several services by smooth weighted round-robin:
// after any number of calls each service is within one call of its share. The zero value is
// ready to use.
type WeightedRoundRobin struct {
	credits []float64
}

// maxStartPicks bounds the number of picks that StartRoundRobin skips. The sum of many
// nodes' shares is as exact as one part in this number.
const maxStartPicks = 256

// StartRoundRobin returns a round-robin that has already made a random number of picks.
// Each service is then the next one with the probability of its share: a fleet in which
// each node has had only a few calls since the weights changed divides them by weight too.
func StartRoundRobin(n int, weight func(i int) float64) *WeightedRoundRobin {
	w := &WeightedRoundRobin{}
	for range rand.N(maxStartPicks) {
		w.Next(n, weight)
	}
	return w
}

// Next returns which of n services, each with a weight, gets the next call.
func (w *WeightedRoundRobin) Next(n int, weight func(i int) float64) int {
	if len(w.credits) != n {
		w.credits = make([]float64, n)
	}
	total, best := 0.0, 0
	for i := range n {
		total += weight(i)
		w.credits[i] += weight(i)
		if w.credits[i] > w.credits[best] {
			best = i
		}
	}
	w.credits[best] -= total
	return best
}
