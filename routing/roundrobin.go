package routing

import (
	"math/rand/v2"
	"sync"
)

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

// RoundRobins holds a WeightedRoundRobin for each key. Its zero value is ready to use. It is safe
// for concurrent use.
type RoundRobins struct {
	mu    sync.Mutex
	byKey map[string]*WeightedRoundRobin
}

// Next returns which of n services of a key, each with a weight, gets the next call.
func (r *RoundRobins) Next(key string, n int, weight func(i int) float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey[key] == nil {
		if r.byKey == nil {
			r.byKey = map[string]*WeightedRoundRobin{}
		}
		r.byKey[key] = StartRoundRobin(n, weight)
	}
	return r.byKey[key].Next(n, weight)
}

// Reset starts anew for all keys, since the weights have changed.
func (r *RoundRobins) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey = nil
}
