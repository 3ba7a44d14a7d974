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

// Result is what the demonstration counted.
type Result struct {
	Seed      uint64 `json:"seed"`
	NodeCount int    `json:"nodes"`
	load.Summary
	// Lost counts calls told done that no target finished.
	DoneNotFinished int `json:"lost"`
	// Doubled counts keyed calls that targets started more than once.
	KeyedStartedTwice int `json:"doubled"`
	// UntrueNotRun counts calls told not-run that a target started.
	FalseNotRun int `json:"untrue-not-run"`
	// CutByPlannedStop counts calls whose connection broke at a node that was
	// being stopped as planned.
	CutByPlannedStop int `json:"cut-by-planned-stop"`
	// NewWorkAfterZoneOut counts calls that targets of a withdrawn availability
	// zone started later than the promised time after it.
	LateZoneStarts      int `json:"new-work-after-zone-out"`
	ConfigReverts       int `json:"config-reverted"`
	ColdOverruns        int `json:"cold-overruns"`
	InvariantViolations int `json:"invariants-broken"`
	// UnbookedProbes counts probes that targets saw beyond those in the nodes'
	// measuring ledgers.
	UnbudgetedProbes  int     `json:"unbooked-probes"`
	OverheadP50Millis float64 `json:"added-p50-ms"`
	OverheadP99Millis float64 `json:"added-p99-ms"`
	// LoadCost is the target time that measuring load took, in percent of all.
	ProbeCostPercent float64 `json:"load-cost-percent"`
}

// measuringLimit is the most that measuring load may cost, in percent of target
// time.
const measuringLimit = 1.0

// Held reports whether every promise held.
func (r *Result) Passed() bool {
	for _, p := range r.promises() {
		if p.count > 0 {
			return false
		}
	}
	return r.ProbeCostPercent <= measuringLimit && r.Done > 0
}

// countCalls holds the callers' account against the targets' ledgers.
func (r *Result) countCalls(records []load.Record, started map[string][]standin.StartedCall) {
	r.Summary = load.Summarise(records)
	duplicated := map[string]bool{}
	for _, rec := range records {
		duplicated[rec.ID] = duplicated[rec.ID] || rec.IsDuplicate
	}
	for _, rec := range records {
		ran := started[rec.ID]
		if rec.Keyed && !rec.IsDuplicate && len(ran) > 1 {
			r.KeyedStartedTwice++
		}
		if rec.Outcome == outcome.Done && !anyFinished(ran) {
			r.DoneNotFinished++
		}
		// Where a call was sent twice the other sending may have run.
		if rec.Outcome == outcome.NotRun && len(ran) > 0 && !duplicated[rec.ID] {
			r.FalseNotRun++
		}
	}
}

func anyFinished(ran []standin.StartedCall) bool {
	for _, s := range ran {
		if s.Finished {
			return true
		}
	}
	return false
}

// countZoneOut counts what targets of a zone started while it was out, later
// than the promised time after it went.
func (r *Result) countZoneOut(targets []*standin.Target, out zoneOut) {
	for _, t := range targets {
		if t.VM().Zone != out.zone {
			continue
		}
		for _, s := range t.StartedCalls() {
			if s.StartedAt.After(out.from.Add(zoneOutPromise)) && s.StartedAt.Before(out.until) {
				r.LateZoneStarts++
			}
		}
	}
}

// zoneOut is when an availability zone was out of service.
type zoneOut struct {
	zone        zone.Name
	from, until time.Time
}

// zoneOutPromise is the time within which a zone gets no new work.
const zoneOutPromise = 2 * time.Second

// countTargets sums up the targets' counts over the length of the run.
func (r *Result) countTargets(targets []*standin.Target, ran time.Duration) {
	var probes time.Duration
	slots := 0
	for _, t := range targets {
		totals := t.Totals()
		r.ColdOverruns += totals.ColdOverruns
		probes += totals.ProbeTime
		slots += t.Slots()
	}
	r.ProbeCostPercent = 100 * probes.Seconds() / (float64(slots) * ran.Seconds())
}

// WriteTable writes the result for a person.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t)
	r.Summary.Write(t)
	fmt.Fprintf(t, "keyed calls sent twice on purpose\t%d\t\n", r.Duplicates)
	fmt.Fprintf(t, "added by the system\t\tp50 %.2f ms, p99 %.2f ms\n", r.OverheadP50Millis, r.OverheadP99Millis)
	for _, p := range r.promises() {
		verdict := "held"
		if p.count > 0 {
			verdict = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", p.text, p.count, verdict)
	}
	fmt.Fprintf(t, "measuring load\t%.3f %%\tof target time; at most %.1f %%\n", r.ProbeCostPercent, measuringLimit)
	return t.Flush()
}

type promise struct {
	text  string
	count int
}

func (r *Result) promises() []promise {
	return []promise{
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

// WriteJSON writes the result as one line.
func (r *Result) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}
