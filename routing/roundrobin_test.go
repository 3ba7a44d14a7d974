package routing

import "testing"

// After any number of calls each service has received its share to within one call.
func TestWeightedRoundRobinKeepsShares(t *testing.T) {
	weights := []float64{70, 20, 10}
	var rr WeightedRoundRobin
	got := make([]int, len(weights))
	for n := 1; n <= 1000; n++ {
		got[rr.Next(len(weights), func(i int) float64 { return weights[i] })]++
		for i, weight := range weights {
			want := float64(n) * weight / 100
			if diff := float64(got[i]) - want; diff < -1 || diff > 1 {
				t.Fatalf("after %d calls: service %d got %d, want %.1f within one call", n, i, got[i], want)
			}
		}
	}
}

// In a large fleet each node has had only a few calls after a plan changed the weights.
// Their sum must have the shares of the weights nevertheless.
func TestFleetKeepsSharesWithFewCallsPerNode(t *testing.T) {
	const (
		nodeCount = 103
		maxOff    = 0.1
	)
	for _, weights := range [][]float64{{0.9, 0.1}, {0.7, 0.3}, {1, 1}, {5, 3, 2}} {
		total := 0.0
		for _, w := range weights {
			total += w
		}
		for calls := 1; calls <= 4; calls++ {
			counts := make([]int, len(weights))
			const fleets = 20
			for range fleets * nodeCount {
				rr := StartRoundRobin(len(weights), func(i int) float64 { return weights[i] })
				for range calls {
					counts[rr.Next(len(weights), func(i int) float64 { return weights[i] })]++
				}
			}
			for i, w := range weights {
				got, want := float64(counts[i])/float64(fleets*nodeCount*calls), w/total
				if got < want-maxOff/2 || got > want+maxOff/2 {
					t.Errorf("weights %v, %d calls a node: got share %.3f of service %d, want %.3f", weights, calls, got, i, want)
				}
			}
		}
	}
}
