package routingtest

import (
	"math/rand/v2"
	"testing"

	"github.com/apricotmount/apricotmount/routing"
)

// TestChooser runs each of the tests with a new chooser.
func TestChooser(t *testing.T, newChooser func() routing.Chooser) {
	t.Run("index within the candidates", func(t *testing.T) { testBounds(t, newChooser()) })
	t.Run("even spread over identical candidates", func(t *testing.T) { testSpread(t, newChooser()) })
	t.Run("no allocations", func(t *testing.T) { testAllocs(t, newChooser()) })
}

func identicalCandidates(n int) (out []routing.Candidate) {
	for range n {
		out = append(out, routing.Candidate{Slots: 6, SlownessFactor: 1})
	}
	return out
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func testBounds(t *testing.T, c routing.Chooser) {
	r := newRand()
	for n := 1; n <= 20; n++ {
		for range 50 {
			if got := c.Choose(identicalCandidates(n), r); got < 0 || got >= n {
				t.Fatalf("chosen index among %d candidates: got %d, want one in range", n, got)
			}
		}
	}
}

func testSpread(t *testing.T, c routing.Chooser) {
	const n, draws = 10, 2000
	r := newRand()
	counts := make([]int, n)
	list := identicalCandidates(n)
	for range draws {
		counts[c.Choose(list, r)]++
	}
	for i, got := range counts {
		if got < draws/n/2 || got > draws/n*2 {
			t.Errorf("draws of candidate %d among %d identical ones: got %d of %d, want an even share within a factor of 2", i, n, got, draws)
		}
	}
}

func testAllocs(t *testing.T, c routing.Chooser) {
	r, list := newRand(), identicalCandidates(13)
	if got := testing.AllocsPerRun(100, func() { c.Choose(list, r) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}
