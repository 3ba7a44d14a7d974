package logbook

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

const logLines = `  1.2 front-1 {"ts":"2026-09-27T16:56:01.000Z","msg":"node-starting","event":100,"node":"n1"}
{"ts":"2026-09-27T16:56:01.100Z","msg":"plan-in-force","event":230,"node":"n1","version":3,"offset":0,"source":"store"}
{"ts":"2026-09-27T16:56:01.100Z","msg":"plan-in-force","event":230,"node":"n2","version":3,"offset":0,"source":"peer"}
{"ts":"2026-09-27T16:56:01.200Z","msg":"target-listed","event":234,"node":"n1","target":"i-1","state":"live","offset":4}
this line is broken
{"ts":"2026-09-27T16:56:02.000Z","msg":"call-placed","event":703,"node":"n1","id":"q","target":"i-1","forecast-ms":200,"running":3}
{"ts":"2026-09-27T16:56:02.100Z","msg":"call-placed","event":703,"node":"n1","id":"other","target":"i-1"}
{"ts":"2026-09-27T16:56:02.200Z","msg":"target-listed","event":234,"node":"n1","target":"i-1","state":"leaving","offset":9}
{"ts":"2026-09-27T16:56:02.300Z","msg":"zone-out-of-service","event":233,"node":"n2","zone":"howrah","out":true,"offset":2}
{"ts":"2026-09-27T16:56:02.700Z","msg":"call-unknown","event":702,"node":"n1","id":"q","target":"","reason":"answer-lost"}
`

func TestRequestTraceShowsRequestLinesAndNodeState(t *testing.T) {
	s := RequestTrace{ID: "q"}
	stats, err := Read(strings.NewReader(logLines), s.Add)
	if err != nil {
		t.Fatal(err)
	}
	if stats.Lines != 10 || stats.MalformedLines != 1 || stats.FirstMalformedLine != 5 {
		t.Errorf("stats: got %+v, want 10 lines, 1 malformed, which is line 5", stats)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	got := b.String()
	for _, want := range []string{"+0s  n1  call-placed  forecast-ms=200 running=3 target=i-1", "believed plan 3 from store, 900ms before; target: target-listed live, 800ms before", "+700ms  n1  call-unknown  reason=answer-lost"} {
		if !strings.Contains(got, want) {
			t.Errorf("trace: got %q, want a part %q", got, want)
		}
	}
	if strings.Contains(got, "other") {
		t.Errorf("trace: got %q, want nothing of another request", got)
	}
}

// The trace of a call must show the rate limit that was in force at its target, until the
// target named none any more, and why a call was held back.
func TestRequestTraceShowsRateLimit(t *testing.T) {
	const lines = `{"ts":"2026-09-27T16:56:01.000Z","msg":"target-limited","event":408,"node":"n1","target":"i-1","limit":2.5,"source":"call"}
{"ts":"2026-09-27T16:56:01.500Z","msg":"call-held-back","event":707,"node":"n1","id":"q","turn-ms":400,"refused":false}
{"ts":"2026-09-27T16:56:02.000Z","msg":"call-placed","event":703,"node":"n1","id":"q","target":"i-1"}
{"ts":"2026-09-27T16:56:03.000Z","msg":"target-unlimited","event":409,"node":"n1","target":"i-1"}
{"ts":"2026-09-27T16:56:04.000Z","msg":"call-done","event":700,"node":"n1","id":"q","target":"i-1"}
`
	s := RequestTrace{ID: "q"}
	if _, err := Read(strings.NewReader(lines), s.Add); err != nil {
		t.Fatal(err)
	}
	steps := s.Steps()
	if len(steps) != 3 || steps[1].TargetLimit != "2.5 a second, 1s before" || steps[2].TargetLimit != "" {
		t.Errorf("limits: got %+v, want one at the second of three steps", steps)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"call-held-back  refused=false turn-ms=400", "limit: 2.5 a second, 1s before"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("trace: got %q, want a part %q", b.String(), want)
		}
	}
}

func TestNodeStatesAtGivenTime(t *testing.T) {
	u := NodeStatesAt{EndTime: time.Date(2026, 9, 27, 16, 56, 2, 250e6, time.UTC)}
	if _, err := Read(strings.NewReader(logLines), u.Apply); err != nil {
		t.Fatal(err)
	}
	b, ok := u.State("n1")
	if !ok || b.PlanVersion != 3 || b.LastTargetLines["i-1"].State != "leaving" || len(b.ZonesOutOfService) != 0 {
		t.Errorf("n1: got %+v, want plan 3 and i-1 leaving", b)
	}
	u = NodeStatesAt{}
	if _, err := Read(strings.NewReader(logLines), u.Apply); err != nil {
		t.Fatal(err)
	}
	var what []string
	for _, d := range u.Differences() {
		what = append(what, d.Subject)
	}
	if got, want := strings.Join(what, " "), "target i-1 zones-out"; got != want {
		t.Errorf("differences: got %q, want %q", got, want)
	}
}

// Of a request with very many lines the earliest are kept, in whatever order the nodes' logs
// are read.
func TestTraceKeepsEarliestLines(t *testing.T) {
	s := RequestTrace{ID: "q"}
	start := time.Date(2026, 9, 27, 16, 56, 0, 0, time.UTC)
	const lines = 5 * maxSteps
	for i := range lines {
		s.Add(Line{Time: start.Add(time.Duration(lines-i) * time.Millisecond), RequestID: "q", Node: "n", EventName: "call-placed"})
	}
	steps := s.Steps()
	if got, want := steps[0].Line.Time, start.Add(time.Millisecond); len(steps) != maxSteps || !got.Equal(want) {
		t.Errorf("steps: got %d from %v, want %d from %v", len(steps), got, maxSteps, want)
	}
}

// Lines longer than maxLineBytes are counted and skipped, and reading many lines
// keeps only those of the request in memory.
func TestReadSkipsTooLongLineAndTraceKeepsOneRequest(t *testing.T) {
	var b strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&b, `{"ts":"2026-09-27T16:56:02Z","msg":"call-placed","event":703,"node":"n1","id":"%d","target":"i-%d"}`+"\n", i, i%7)
	}
	b.WriteString("{" + strings.Repeat("x", 3*maxLineBytes) + "\n")
	s := RequestTrace{ID: "19999"}
	stats, err := Read(strings.NewReader(b.String()), s.Add)
	if err != nil || stats.Lines != 20001 || stats.MalformedLines != 1 || len(s.Steps()) != 1 {
		t.Errorf("got %+v, %d steps, %v, want 20001 lines, 1 malformed, 1 step", stats, len(s.Steps()), err)
	}
}

// No input may make Read fail, since it skips malformed lines, or make the analysis
// panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logLines))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, u := RequestTrace{ID: "q"}, NodeStatesAt{}
		stats, err := Read(bytes.NewReader(b), func(l Line) { s.Add(l); u.Apply(l) })
		if err != nil || stats.MalformedLines > stats.Lines {
			t.Errorf("got %+v, %v", stats, err)
		}
		u.Differences()
	})
}

// From the ID of a refused call one must see the plan that decided it, where it came from, and
// which part of the store was away.
func TestRequestTraceShowsPlanOriginAndPartsOfStore(t *testing.T) {
	const lines = `{"ts":"2026-09-27T16:56:01.000Z","msg":"plan-in-force","event":230,"node":"n1","version":6,"source":"peer"}
{"ts":"2026-09-27T16:56:02.000Z","msg":"store-away","event":302,"node":"n1","topic":"targets"}
{"ts":"2026-09-27T16:56:02.500Z","msg":"store-back","event":303,"node":"n1","topic":"operator"}
{"ts":"2026-09-27T16:56:03.000Z","msg":"call-not-run","event":701,"node":"n1","id":"q","reason":"no-service","version":6,"plan-age-ms":2000,"operator-age-ms":480}
`
	s := RequestTrace{ID: "q"}
	if _, err := Read(strings.NewReader(lines), s.Add); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"operator-age-ms=480 plan-age-ms=2000", "believed plan 6 from peer, 2s before; store: store-back operator 500ms before, store-away targets 1s before"} {
		if got := b.String(); !strings.Contains(got, want) {
			t.Errorf("trace: got %q, want a part %q", got, want)
		}
	}
}
