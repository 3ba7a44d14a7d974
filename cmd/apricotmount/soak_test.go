package main

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/soak"
)

// runNodeEnv is the environment variable that makes the test binary run as
// apricotmount.
const runNodeEnv = "APRICOTMOUNT_TEST_RUNS_A_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(runNodeEnv) != "" {
		os.Args = append([]string{"apricotmount", "platform"}, os.Args[1:]...)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// regressionSeeds are the seeds that failed once, each with the cause in a comment.
var regressionSeeds = []uint64{}

// TestSoak runs nodes as separate processes under random faults. The runs are short:
// one seed with faults of the store, one without, and the regressionSeeds. The
// environment variable APRICOTMOUNT_SOAK_SEED selects a single seed instead.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: takes half a minute")
	}
	seeds := append([]uint64{1, 2}, regressionSeeds...)
	if text := os.Getenv("APRICOTMOUNT_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { checkSoakSeed(t, seed) })
	}
}

// checkSoakSeed fails the test if a run violates a guarantee, or if fewer than 100
// calls get status 200.
func checkSoakSeed(t *testing.T, seed uint64) {
	result := runSoak(t, soak.Settings{Seed: seed, NodeCount: 4, TargetCount: 6, CallerCount: 6, FaultDuration: 10 * time.Second})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	if result.OutcomeCounts["200"] < 100 {
		t.Errorf("calls with status 200: got %d, want at least 100", result.OutcomeCounts["200"])
	}
	t.Logf("seed %d: calls %v, faults %v", seed, result.OutcomeCounts, result.FaultCounts)
}

// runSoak runs a soak test whose nodes are processes of the test binary.
func runSoak(t *testing.T, settings soak.Settings) soak.Result {
	t.Helper()
	t.Setenv(runNodeEnv, "yes")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	settings.Program, settings.Dir = program, t.TempDir()
	result, err := soak.Run(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Nodes that end at once instead of finishing their calls must be found. SIGKILL in
// place of SIGTERM at a planned stop aborts the calls in progress.
func TestSoakDetectsAbruptStops(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: takes several seconds")
	}
	result := runSoak(t, soak.Settings{Seed: 1, NodeCount: 3, TargetCount: 4, CallerCount: 12, FaultDuration: 8 * time.Second, FaultNames: []string{"stop"}, StopSignal: syscall.SIGKILL})
	wantFinding(t, result, "planned-stop")
}

// Calls sent to a target after it left must be found. The targets leave without
// updating the store, so nodes keep sending calls to them.
func TestSoakDetectsCallsAfterUnannouncedLeave(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: takes several seconds")
	}
	result := runSoak(t, soak.Settings{Seed: 2, NodeCount: 3, TargetCount: 5, CallerCount: 4, FaultDuration: 14 * time.Second, FaultNames: []string{"target-leaves"}, UnannouncedLeave: true})
	wantFinding(t, result, "no-work-after-drain")
}

// wantFinding fails the test unless the run found a violation of the guarantee.
func wantFinding(t *testing.T, result soak.Result, guarantee string) {
	t.Helper()
	if !slices.ContainsFunc(result.Findings, func(finding string) bool { return strings.HasPrefix(finding, guarantee+":") }) {
		t.Errorf("findings: got %q, want %s", result.Findings, guarantee)
	}
}

// Nodes that take a target's rate limit each for itself must be found. The store names no
// other node to them, so that each takes itself for the whole fleet once it has run for a
// while.
func TestSoakDetectsNodesThatDoNotShareLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: takes half a minute")
	}
	result := runSoak(t, soak.Settings{Seed: 2, NodeCount: 6, TargetCount: 3, CallerCount: 24, FaultDuration: 24 * time.Second, FaultNames: []string{"target-names-limit"}, SoleMembers: true})
	wantFinding(t, result, "rate-limit")
}

// A configuration that a restored store lacks must stay in force, also at nodes that restart.
// With the seed, four of five nodes kept an older one for good.
func TestSoakKeepsConfigurationThatRestoredStoreLacks(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short: takes half a minute")
	}
	result := runSoak(t, soak.Settings{Seed: 28005, NodeCount: 5, TargetCount: 8, CallerCount: 8, FaultDuration: 15 * time.Second, FaultNames: []string{"kill", "store-restored", "targets-topic", "plan"}})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
}

// Copies of a harmful request that no node can identify as one must be reported by the check.
func TestSoakDetectsHarmfulRequestThatIsNotHeldBack(t *testing.T) {
	result := runSoak(t, soak.Settings{Seed: 31001, NodeCount: 3, TargetCount: 6, CallerCount: 4, FaultDuration: 8 * time.Second, FaultNames: []string{"plan"}, Harmful: true, DistinctCopies: true})
	wantFinding(t, result, "harmful-request")
}

// A harmful request is held back by nodes that are killed and stopped, beside other faults.
func TestSoakHoldsBackHarmfulRequest(t *testing.T) {
	result := runSoak(t, soak.Settings{Seed: 31011, NodeCount: 4, TargetCount: 8, CallerCount: 4, FaultDuration: 12 * time.Second, FaultNames: []string{"kill", "stop", "plan", "peer-links"}, Harmful: true})
	if len(result.Findings) > 0 {
		t.Errorf("findings: got %q, want none", result.Findings)
	}
}
