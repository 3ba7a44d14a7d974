package routingtest

import (
	"math/rand/v2"
	"testing"

	"github.com/apricotmount/apricotmount/routing"
)

// TestChooser runs the tests against a method.
func TestChooser(t *testing.T, newChooser func() routing.Chooser) {
	t.Run("stays within the candidates", func(t *testing.T) { testBounds(t, newChooser()) })
	t.Run("uses all of equal ones", func(t *testing.T) { testSpread(t, newChooser()) })
	t.Run("allocates nothing", func(t *testing.T) { testAllocs(t, newChooser()) })
}

func equal(n int) (out []routing.Candidate) {
	for range n {
		out = append(out, routing.Candidate{Slots: 6, SlownessFactor: 1})
	}
	return out
}

func source() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func testBounds(t *testing.T, c routing.Chooser) {
	r := source()
	for n := 1; n <= 20; n++ {
		for range 50 {
			if got := c.Choose(equal(n), r); got < 0 || got >= n {
				t.Fatalf("index among %d: got %d", n, got)
			}
		}
	}
}

func testSpread(t *testing.T, c routing.Chooser) {
	const n, draws = 10, 2000
	r := source()
	counts := make([]int, n)
	list := equal(n)
	for range draws {
		counts[c.Choose(list, r)]++
	}
	for i, got := range counts {
		if got < draws/n/2 || got > draws/n*2 {
			t.Errorf("draws of candidate %d among %d equal ones: got %d of %d", i, n, got, draws)
		}
	}
}

func testAllocs(t *testing.T, c routing.Chooser) {
	r, list := source(), equal(13)
	if got := testing.AllocsPerRun(100, func() { c.Choose(list, r) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}
