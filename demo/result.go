package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/zone"
)

// Result is what the demonstration counted.
type Result struct {
	Seed    uint64 `json:"seed"`
	Nodes   int    `json:"nodes"`
	Calls   int    `json:"calls"`
	Done    int    `json:"done"`
	NotRun  int    `json:"not-run"`
	Unknown int    `json:"unknown"`
	// Lost counts calls told done that no target finished.
	Lost int `json:"lost"`
	// Doubled counts keyed calls that targets started more than once.
	Doubled int `json:"doubled"`
	// UntrueNotRun counts calls told not-run that a target started.
	UntrueNotRun int `json:"untrue-not-run"`
	// Truncated counts answers that looked whole and were not.
	Truncated int `json:"truncated"`
	// CutByPlannedStop counts calls whose connection broke at a node that was
	// being stopped as planned.
	CutByPlannedStop int `json:"cut-by-planned-stop"`
	// NewWorkAfterZoneOut counts calls that targets of a withdrawn availability
	// zone started later than the promised time after it.
	NewWorkAfterZoneOut int `json:"new-work-after-zone-out"`
	ConfigReverted      int `json:"config-reverted"`
	ColdOverruns        int `json:"cold-overruns"`
	PromisesBroken      int `json:"promises-broken"`
	// DuplicatesSent counts second sendings of keyed calls, which are not calls.
	DuplicatesSent int     `json:"duplicates-sent"`
	P50            float64 `json:"p50-ms"`
	P99            float64 `json:"p99-ms"`
	P999           float64 `json:"p99-9-ms"`
	AddedP50       float64 `json:"added-p50-ms"`
	AddedP99       float64 `json:"added-p99-ms"`
	// LoadCost is the target time that measuring load took, in percent of all.
	LoadCost float64 `json:"load-cost-percent"`

	byService map[service.Name]*hdrhistogram.Histogram
	reasons   map[string]int
}

// measuringLimit is the most that measuring load may cost, in percent of target
// time.
const measuringLimit = 1.0

// Held reports whether every promise held.
func (r *Result) Held() bool {
	broken := r.Lost + r.Doubled + r.UntrueNotRun + r.Truncated + r.CutByPlannedStop +
		r.NewWorkAfterZoneOut + r.ConfigReverted + r.ColdOverruns + r.PromisesBroken
	return broken == 0 && r.LoadCost <= measuringLimit && r.Done > 0
}

// countCalls holds the callers' account against the targets' ledgers.
func (r *Result) countCalls(records []record, started map[string][]standin.Started) {
	r.reasons = map[string]int{}
	for _, rec := range records {
		ran := started[rec.id]
		if rec.keyed && !rec.duplicate && len(ran) > 1 {
			r.Doubled++
		}
		if rec.truncated {
			r.Truncated++
		}
		if rec.outcome == outcome.Done && !anyFinished(ran) {
			r.Lost++
		}
		if rec.duplicate {
			r.DuplicatesSent++
			continue
		}
		r.countOutcome(rec, ran)
	}
}

func (r *Result) countOutcome(rec record, ran []standin.Started) {
	r.Calls++
	switch rec.outcome {
	case outcome.Done:
		r.Done++
		return
	case outcome.NotRun:
		r.NotRun++
		if len(ran) > 0 && !rec.keyed {
			r.UntrueNotRun++
		}
	default:
		r.Unknown++
	}
	r.reasons[string(rec.outcome)+" "+rec.reason]++
}

func anyFinished(ran []standin.Started) bool {
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
		for _, s := range t.Ledger() {
			if s.At.After(out.from.Add(zoneOutPromise)) && s.At.Before(out.until) {
				r.NewWorkAfterZoneOut++
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
	for _, t := range targets {
		totals := t.Totals()
		r.ColdOverruns += totals.ColdOverruns
		probes += totals.ProbeTime
	}
	const slots = 6
	all := float64(len(targets)*slots) * ran.Seconds()
	r.LoadCost = 100 * probes.Seconds() / all
}

func (r *Result) takeLatencies(c *callers) {
	all := newHistogram()
	for _, h := range c.latency {
		all.Merge(h)
	}
	r.byService = c.latency
	r.P50, r.P99, r.P999 = millis(all, 50), millis(all, 99), millis(all, 99.9)
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// WriteTable writes the result for a person.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\ncalls\t%d\tdone %d, not run %d, unknown %d\n", r.Calls, r.Done, r.NotRun, r.Unknown)
	for reason, n := range r.reasons {
		fmt.Fprintf(t, "\t%d\t%s\n", n, reason)
	}
	for _, k := range kinds {
		h := r.byService[k.service]
		fmt.Fprintf(t, "%s\t%d\tp50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", k.service, h.TotalCount(), millis(h, 50), millis(h, 99), millis(h, 99.9))
	}
	fmt.Fprintf(t, "added by the system\t\tp50 %.2f ms, p99 %.2f ms\n", r.AddedP50, r.AddedP99)
	for _, p := range r.promises() {
		verdict := "held"
		if p.count > 0 {
			verdict = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", p.text, p.count, verdict)
	}
	fmt.Fprintf(t, "measuring load\t%.3f %%\tof target time; at most %.1f %%\n", r.LoadCost, measuringLimit)
	return t.Flush()
}

type promise struct {
	text  string
	count int
}

func (r *Result) promises() []promise {
	return []promise{
		{"told done, but no target finished it", r.Lost},
		{"keyed call started more than once", r.Doubled},
		{"told not run, but a target started it", r.UntrueNotRun},
		{"short answer that looked whole", r.Truncated},
		{"cut by a planned stop", r.CutByPlannedStop},
		{"new work in a zone 2 s after it went out", r.NewWorkAfterZoneOut},
		{"configuration reverted", r.ConfigReverted},
		{"cold target given more than it bears", r.ColdOverruns},
		{"promises broken inside the program", r.PromisesBroken},
	}
}

// WriteJSON writes the result as one line.
func (r *Result) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}
