package grants

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/vm"
)

// modelFaults are what the mutations of the model leave out.
type modelFaults struct {
	// wholeDeputy lets a deputy grant the whole quota at once.
	wholeDeputy bool
	// fullRestart gives a new bucket its whole burst.
	fullRestart bool
}

// busiestWindow plays a hot tenant at nodes of which some reach only the deputy, while the
// owner dies, restarts and comes back, and returns the most calls within one window.
func busiestWindow(seed uint64, l quota.Limit, faults modelFaults) int {
	const (
		step     = 10 * time.Millisecond
		nodes    = 20
		duration = 20 * time.Second
	)
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_000_000, 0)
	var owner, deputy buckets
	var silent silences
	var accounts [nodes]quota.Account
	var parted [nodes]bool
	isAlive := true
	nextChange := time.Duration(0)
	perStep := 4 * float64(l.PerSecond) * step.Seconds()
	counts := make([]int, duration/step)
	for i := range counts {
		at := time.Duration(i) * step
		now := start.Add(at)
		if at >= nextChange {
			nextChange = at + time.Duration(r.IntN(5000))*time.Millisecond
			parted[r.IntN(nodes)] = r.IntN(2) == 0
			wasAlive := isAlive
			isAlive = r.IntN(3) > 0
			if isAlive && !wasAlive {
				owner = buckets{}
				if faults.fullRestart {
					owner.take("a", 1, 0, l, now.Add(-time.Minute))
				}
			}
		}
		if i%int(pingInterval/step) == 0 {
			silent.record(vm.ID("owner"), isAlive, now)
		}
		for n := range nodes {
			for range poisson(r, perStep/nodes) {
				a := &accounts[n]
				if a.Take(now) {
					counts[i]++
					continue
				}
				granted := 0
				switch limit := deputyLimit(l, silent.duration("owner", now)); {
				case isAlive && !parted[n]:
					granted, _ = owner.take("a", 8, a.TakeUnused(now), l, now)
				case faults.wholeDeputy:
					granted, _ = deputy.take("a", 8, 0, l, now)
				default:
					granted, _ = deputy.take("a", 8, 0, limit, now)
				}
				if granted > 0 {
					counts[i]++
					a.Add(granted-1, now)
				}
			}
		}
	}
	most, sum := 0, 0
	for i, n := range counts {
		sum += n
		if past := i - int(window/step); past >= 0 {
			sum -= counts[past]
		}
		most = max(most, sum)
	}
	return most
}

// poisson returns how many calls arrive where mean are expected.
func poisson(r *rand.Rand, mean float64) (n int) {
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// Guards against more calls of a tenant than its quota allows, summed over the nodes, when
// the owner dies and returns and some nodes reach only the deputy. The same check fails for
// a deputy that grants the whole quota, and for a new bucket that is full.
func TestModelKeepsQuotaThroughFaults(t *testing.T) {
	const seeds = 300
	l := quota.Limit{PerSecond: 200, Burst: 200}
	bound := int((float64(l.PerSecond)*window.Seconds()+l.Burst)*1.1 + 20)
	exceeded := func(faults modelFaults) (n int) {
		for seed := range uint64(seeds) {
			if got := busiestWindow(seed, l, faults); got > bound {
				if n == 0 {
					t.Logf("faults %+v, seed %d: %d calls within %s, bound %d", faults, seed, got, window, bound)
				}
				n++
			}
		}
		return n
	}
	if got := exceeded(modelFaults{}); got > 0 {
		t.Errorf("seeds over the bound: got %d of %d, want none", got, seeds)
	}
	for _, mutation := range []modelFaults{{wholeDeputy: true}, {fullRestart: true}} {
		if exceeded(mutation) == 0 {
			t.Errorf("mutation %+v: got no seed over the bound, want some", mutation)
		}
	}
}
