package prove

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

var (
	proveFlag    = flag.Bool("prove", false, "run as many seeds as asked")
	seedsFlag    = flag.Int("seeds", 1, "how many seeds each scenario runs with")
	seedFlag     = flag.Uint64("seed", 0, "repeat one seed of the scenario that -scenario names")
	scenarioFlag = flag.String("scenario", "", "the scenario to repeat")
)

const (
	// fixedSeeds is how many seeds CI runs of each scenario.
	fixedSeeds = 12
	// mutationSeeds is how many seeds a mutation has to be caught within.
	mutationSeeds = 1500
	// shownBreaches bounds what is printed of a failing seed.
	shownBreaches = 5
)

// Result is the last line of a proof.
type Result struct {
	Seeds               int            `json:"seeds"`
	Violations          int            `json:"breaches"`
	Faults              map[string]int `json:"faults"`
	MutationsCaught     int            `json:"mutations-caught"`
	MutationsMissed     int            `json:"mutations-missed"`
	SeedsByScenario     map[string]int `json:"seeds-by-scenario"`
	CheckedHistories    int            `json:"histories-checked"`
	FailingSeedCommands []string       `json:"failing-seeds,omitempty"`

	mu sync.Mutex
}

func (res *Result) take(t *testing.T, s scenario, r *run) {
	t.Helper()
	res.mu.Lock()
	defer res.mu.Unlock()
	res.Seeds++
	res.SeedsByScenario[s.name]++
	res.CheckedHistories += r.checked
	for kind, n := range r.faults {
		res.Faults[kind] += n
	}
	if len(r.breaches) == 0 {
		return
	}
	res.Violations += len(r.breaches)
	repeat := fmt.Sprintf("go test ./prove -run TestRepeat -scenario %s -seed %d", s.name, r.seed)
	res.FailingSeedCommands = append(res.FailingSeedCommands, repeat)
	t.Errorf("%s: %v\nrepeat in proof/: %s", s.name, r.breaches[:min(len(r.breaches), shownBreaches)], repeat)
}

// runSeeds runs every scenario with seeds from 1 on.
func runSeeds(t *testing.T, seeds int) *Result {
	res := &Result{Faults: map[string]int{}, SeedsByScenario: map[string]int{}}
	const parts = 4
	t.Run("seeds", func(t *testing.T) {
		for _, s := range scenarios {
			for part := range parts {
				t.Run(fmt.Sprint(s.name, "-", part), func(t *testing.T) {
					t.Parallel()
					for seed := part; seed < seeds; seed += parts {
						res.take(t, s, play(t, s, uint64(seed+1), ""))
					}
				})
			}
		}
	})
	return res
}

// runMutations breaks each part on purpose and looks whether it is caught.
func runMutations(t *testing.T, res *Result) {
	t.Run("mutations", func(t *testing.T) {
		for _, s := range scenarios {
			for _, m := range s.mutations {
				t.Run(string(m), func(t *testing.T) {
					t.Parallel()
					caught := false
					for seed := uint64(1); seed <= mutationSeeds && !caught; seed++ {
						caught = len(play(t, s, seed, m).breaches) > 0
					}
					res.mu.Lock()
					defer res.mu.Unlock()
					if caught {
						res.MutationsCaught++
						return
					}
					res.MutationsMissed++
					t.Errorf("got no breach in %d seeds, want the check to catch it", mutationSeeds)
				})
			}
		}
	})
}

// TestFixedSeeds is what CI runs.
func TestFixedSeeds(t *testing.T) {
	res := runSeeds(t, fixedSeeds)
	if res.CheckedHistories == 0 {
		t.Error("histories checked: got 0, want some")
	}
}

// TestMutations shows that each check can fail.
func TestMutations(t *testing.T) {
	runMutations(t, &Result{})
}

// TestProve runs as many seeds as asked and writes one JSON line.
func TestProve(t *testing.T) {
	if !*proveFlag {
		t.Skip("a long run; run with -prove -seeds N")
	}
	res := runSeeds(t, *seedsFlag)
	runMutations(t, res)
	b, err := json.Marshal(res)
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join("..", "..", "out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(out, "prove.json"), append(b, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

// repeats is how often a seed is repeated: the product's own jitter is not
// seeded, so a failure may take a few tries to come again.
const repeats = 50

// TestRepeat repeats one seed until it fails.
func TestRepeat(t *testing.T) {
	if *seedFlag == 0 {
		t.Skip("name a scenario and a seed")
	}
	for _, s := range scenarios {
		if s.name != *scenarioFlag {
			continue
		}
		for try := 0; try < repeats && !t.Failed(); try++ {
			for _, b := range play(t, s, *seedFlag, "").breaches {
				t.Error(b)
			}
		}
	}
}
