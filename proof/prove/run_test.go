package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/standin"
)

// run is one seeded run of a scenario.
type run struct {
	seed uint64
	rng  *rand.Rand

	mu         sync.Mutex
	faults     map[string]int
	violations []string
	// checkedHistories is the number of histories checked for linearizability.
	checkedHistories int
}

func newRun(seed uint64) *run {
	return &run{seed: seed, rng: rand.New(rand.NewPCG(seed, 17)), faults: map[string]int{}}
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *run) countFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// durationBetween returns a random duration between low and high, both included.
func (r *run) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Int64N(int64(high-low)+1))
}

// chance returns true with probability p.
func (r *run) chance(p float64) bool {
	return r.rng.Float64() < p
}

// mutation names a deliberate defect; "" is none.
type mutation string

// scenario is a randomised test with fault injection.
type scenario struct {
	name string
	run  func(r *run, m mutation)
	// mutations lists the defects that the scenario must detect.
	mutations []mutation
}

var scenarios = []scenario{
	configuration, claims, coldStartLeases, calls, membership,
}

// runScenario runs a scenario in its own synctest bubble.
func runScenario(t *testing.T, s scenario, seed uint64, m mutation) (r *run) {
	t.Helper()
	r = newRun(seed)
	synctest.Test(t, func(*testing.T) { s.run(r, m) })
	return r
}

// injectLogFaults repeatedly injects one or two faults into the log, until ctx is
// done, and then restores the log. The healthy and faulty periods last at most
// maxHealthy and maxFaulty.
func (r *run) injectLogFaults(ctx context.Context, log *standin.Log, maxHealthy, maxFaulty time.Duration) {
	rng := rand.New(rand.NewPCG(r.seed, 23))
	draw := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit)) + 1) }
	for ctx.Err() == nil {
		time.Sleep(draw(maxHealthy))
		for range 1 + rng.IntN(2) {
			switch rng.IntN(3) {
			case 0:
				r.countFault("log-down")
				log.SetDown(true)
			case 1:
				r.countFault("log-slow")
				log.SetLatency(draw(2 * time.Second))
			case 2:
				r.countFault("acknowledgement-lost")
				log.LoseAcks(1 + rng.IntN(3))
			}
		}
		time.Sleep(draw(maxFaulty))
		log.SetDown(false)
		log.SetLatency(0)
	}
}
