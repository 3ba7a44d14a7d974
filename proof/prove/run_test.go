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

	mu       sync.Mutex
	faults   map[string]int
	breaches []string
	// checked is how many histories a checker has judged.
	checked int
}

func newRun(seed uint64) *run {
	return &run{seed: seed, rng: rand.New(rand.NewPCG(seed, 17)), faults: map[string]int{}}
}

func (r *run) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

func (r *run) fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// between draws a duration.
func (r *run) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rng.Int64N(int64(high-low)+1))
}

// chance reports true with a probability.
func (r *run) chance(p float64) bool {
	return r.rng.Float64() < p
}

// mutation names a part that is broken on purpose; "" breaks nothing.
type mutation string

// scenario is one kind of run.
type scenario struct {
	name string
	play func(r *run, m mutation)
	// mutations must each be caught by the scenario.
	mutations []mutation
}

var scenarios = []scenario{
	configuration, claims, coldRights, calls, membership,
}

// play runs a scenario in a bubble of its own.
func play(t *testing.T, s scenario, seed uint64, m mutation) (r *run) {
	t.Helper()
	r = newRun(seed)
	synctest.Test(t, func(*testing.T) { s.play(r, m) })
	return r
}

// breakLog breaks the log again and again until ctx ends, sometimes in several
// ways at once, and mends it at last.
func (r *run) breakLog(ctx context.Context, log *standin.Log, calm, trouble time.Duration) {
	rng := rand.New(rand.NewPCG(r.seed, 23))
	draw := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most)) + 1) }
	for ctx.Err() == nil {
		time.Sleep(draw(calm))
		for range 1 + rng.IntN(2) {
			switch rng.IntN(3) {
			case 0:
				r.fault("log-down")
				log.SetDown(true)
			case 1:
				r.fault("log-slow")
				log.SetLatency(draw(2 * time.Second))
			case 2:
				r.fault("acknowledgement-lost")
				log.LoseAcks(1 + rng.IntN(3))
			}
		}
		time.Sleep(draw(trouble))
		log.SetDown(false)
		log.SetLatency(0)
	}
}
