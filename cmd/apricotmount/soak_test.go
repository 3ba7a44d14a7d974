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

// nodeVariable makes the test binary run as the real program.
const nodeVariable = "APRICOTMOUNT_TEST_RUNS_A_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Args = append([]string{"apricotmount", "platform"}, os.Args[1:]...)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// failedSeeds are seeds that found something once, with their causes.
var failedSeeds = []uint64{}

// TestSoak runs nodes as separate processes under random faults: short runs for a
// seed with faults of the store and one without, and every seed that ever failed.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes half a minute")
	}
	seeds := append([]uint64{1, 2}, failedSeeds...)
	if text := os.Getenv("APRICOTMOUNT_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakOnce(t, seed) })
	}
}

func soakOnce(t *testing.T, seed uint64) {
	r := soaked(t, soak.Settings{Seed: seed, NodeCount: 4, TargetCount: 6, CallerCount: 6, FaultDuration: 10 * time.Second})
	for _, f := range r.Findings {
		t.Error(f)
	}
	if r.OutcomeCounts["200"] < 100 {
		t.Errorf("served: got %d, want 100 at least", r.OutcomeCounts["200"])
	}
	t.Logf("seed %d: calls %v, faults %v", seed, r.OutcomeCounts, r.FaultCounts)
}

// soaked runs the test binary as the nodes of a soak.
func soaked(t *testing.T, s soak.Settings) soak.Result {
	t.Helper()
	t.Setenv(nodeVariable, "yes")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	s.Program, s.Dir = program, t.TempDir()
	r, err := soak.Run(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A stop that is just a kill cuts calls, and the soak sees it.
func TestSoakSeesAbruptStops(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes some seconds")
	}
	r := soaked(t, soak.Settings{Seed: 1, NodeCount: 3, TargetCount: 4, CallerCount: 12, FaultDuration: 8 * time.Second, FaultNames: []string{"stop"}, StopSignal: syscall.SIGKILL})
	wantFinding(t, r, "planned-stop")
}

// Targets that leave while nodes go on sending to them are seen.
func TestSoakSeesWorkAtTargetsThatLeft(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes some seconds")
	}
	r := soaked(t, soak.Settings{Seed: 2, NodeCount: 3, TargetCount: 5, CallerCount: 4, FaultDuration: 14 * time.Second, FaultNames: []string{"target-leaves"}, UnannouncedLeave: true})
	wantFinding(t, r, "no-work-after-drain")
}

func wantFinding(t *testing.T, r soak.Result, promise string) {
	t.Helper()
	if !slices.ContainsFunc(r.Findings, func(f string) bool { return strings.HasPrefix(f, promise+":") }) {
		t.Errorf("findings: got %q, want %s", r.Findings, promise)
	}
}
