package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/apricotmount/apricotmount/load"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/zone"
)

// Result holds the counts of a demonstration.
type Result struct {
	Seed      uint64 `json:"seed"`
	NodeCount int    `json:"nodes"`
	load.Summary
	// DoneNotFinished counts calls with outcome done that no target finished.
	DoneNotFinished int `json:"lost"`
	// KeyedStartedTwice counts keyed calls that targets started more than once.
	KeyedStartedTwice int `json:"doubled"`
	// FalseNotRun counts calls with outcome not-run that a target started.
	FalseNotRun int `json:"untrue-not-run"`
	// CutByPlannedStop counts calls whose connection failed at the node of the
	// planned stop.
	CutByPlannedStop int `json:"cut-by-planned-stop"`
	// LateZoneStarts counts calls that targets of a withdrawn availability zone
	// started more than zoneDrainLimit after the withdrawal and before the return.
	LateZoneStarts      int `json:"new-work-after-zone-out"`
	ConfigReverts       int `json:"config-reverted"`
	ColdOverruns        int `json:"cold-overruns"`
	InvariantViolations int `json:"invariants-broken"`
	// UnbudgetedProbes counts probes that targets received beyond those in the
	// nodes' probe budgets.
	UnbudgetedProbes  int     `json:"unbooked-probes"`
	OverheadP50Millis float64 `json:"added-p50-ms"`
	OverheadP99Millis float64 `json:"added-p99-ms"`
	// ProbeCostPercent is the share of target time spent on load probes, in percent.
	ProbeCostPercent float64 `json:"load-cost-percent"`
}

// maxProbeCostPercent is the upper limit of Result.ProbeCostPercent.
const maxProbeCostPercent = 1.0

// Passed reports whether every guarantee held, probes cost at most
// maxProbeCostPercent, and at least one call was done.
func (r *Result) Passed() bool {
	for _, c := range r.checks() {
		if c.count > 0 {
			return false
		}
	}
	return r.ProbeCostPercent <= maxProbeCostPercent && r.Done > 0
}

// compareCalls compares the callers' records with the calls that targets started.
func (r *Result) compareCalls(records []load.Record, started map[string][]standin.StartedCall) {
	r.Summary = load.Summarise(records)
	duplicated := map[string]bool{}
	for _, rec := range records {
		duplicated[rec.ID] = duplicated[rec.ID] || rec.IsDuplicate
	}
	for _, rec := range records {
		calls := started[rec.ID]
		if rec.Keyed && !rec.IsDuplicate && len(calls) > 1 {
			r.KeyedStartedTwice++
		}
		if rec.Outcome == outcome.Done && !anyFinished(calls) {
			r.DoneNotFinished++
		}
		// If the call was sent twice, the other copy may have run.
		if rec.Outcome == outcome.NotRun && len(calls) > 0 && !duplicated[rec.ID] {
			r.FalseNotRun++
		}
	}
}

func anyFinished(calls []standin.StartedCall) bool {
	for _, s := range calls {
		if s.Finished {
			return true
		}
	}
	return false
}

// countLateZoneStarts counts calls that targets of a withdrawn zone started more
// than zoneDrainLimit after its withdrawal and before its return.
func (r *Result) countLateZoneStarts(targets []*standin.Target, withdrawal zoneWithdrawal) {
	for _, t := range targets {
		if t.VM().Zone != withdrawal.zone {
			continue
		}
		for _, s := range t.StartedCalls() {
			if s.StartedAt.After(withdrawal.from.Add(zoneDrainLimit)) && s.StartedAt.Before(withdrawal.until) {
				r.LateZoneStarts++
			}
		}
	}
}

// zoneWithdrawal is the interval during which an availability zone was withdrawn.
type zoneWithdrawal struct {
	zone        zone.Name
	from, until time.Time
}

// zoneDrainLimit is the time after its withdrawal from which a zone must get no
// new calls.
const zoneDrainLimit = 2 * time.Second

// countTargets sums the cold overruns of the targets and computes
// ProbeCostPercent for a run of the given duration.
func (r *Result) countTargets(targets []*standin.Target, duration time.Duration) {
	var probes time.Duration
	slots := 0
	for _, t := range targets {
		totals := t.Totals()
		r.ColdOverruns += totals.ColdOverruns
		probes += totals.ProbeTime
		slots += t.Slots()
	}
	r.ProbeCostPercent = 100 * probes.Seconds() / (float64(slots) * duration.Seconds())
}

// WriteTable writes the result as a table for the terminal.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t)
	r.Summary.Write(t)
	fmt.Fprintf(t, "keyed calls sent twice on purpose\t%d\t\n", r.Duplicates)
	fmt.Fprintf(t, "added by the system\t\tp50 %.2f ms, p99 %.2f ms\n", r.OverheadP50Millis, r.OverheadP99Millis)
	for _, c := range r.checks() {
		status := "held"
		if c.count > 0 {
			status = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", c.text, c.count, status)
	}
	fmt.Fprintf(t, "measuring load\t%.3f %%\tof target time; at most %.1f %%\n", r.ProbeCostPercent, maxProbeCostPercent)
	return t.Flush()
}

// check is one guarantee with the number of its violations.
type check struct {
	text  string
	count int
}

func (r *Result) checks() []check {
	return []check{
		{"told done, but no target finished it", r.DoneNotFinished},
		{"keyed call started more than once", r.KeyedStartedTwice},
		{"told not run, but a target started it", r.FalseNotRun},
		{"short answer that looked whole", r.Truncated},
		{"cut by a planned stop", r.CutByPlannedStop},
		{"new work in a zone 2 s after it went out", r.LateZoneStarts},
		{"configuration reverted", r.ConfigReverts},
		{"cold target given more than it bears", r.ColdOverruns},
		{"probes that no measuring budget granted", r.UnbudgetedProbes},
		{"invariants broken inside the program", r.InvariantViolations},
	}
}

// WriteJSON writes the result as one line of JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}
