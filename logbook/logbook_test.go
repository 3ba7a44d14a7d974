package logbook

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

const lines = `  1.2 front-1 {"ts":"2026-09-27T16:56:01.000Z","msg":"node-starting","event":100,"node":"n1"}
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

func TestStory(t *testing.T) {
	s := RequestTrace{ID: "q"}
	tally, err := Read(strings.NewReader(lines), s.Add)
	if err != nil {
		t.Fatal(err)
	}
	if tally.Lines != 10 || tally.MalformedLines != 1 || tally.FirstMalformedLine != 5 {
		t.Errorf("tally: got %+v, want 10 lines, 1 broken, the fifth", tally)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	got := b.String()
	for _, want := range []string{"+0s  n1  call-placed  forecast-ms=200 running=3 target=i-1", "believed plan 3; target: target-listed live, 800ms before", "+700ms  n1  call-unknown  reason=answer-lost"} {
		if !strings.Contains(got, want) {
			t.Errorf("story: got %q, want a part %q", got, want)
		}
	}
	if strings.Contains(got, "other") {
		t.Errorf("story: got %q, want nothing of another request", got)
	}
}

func TestBeliefsAtAnInstant(t *testing.T) {
	u := NodeStatesAt{EndTime: time.Date(2026, 9, 27, 16, 56, 2, 250e6, time.UTC)}
	if _, err := Read(strings.NewReader(lines), u.Apply); err != nil {
		t.Fatal(err)
	}
	b, ok := u.State("n1")
	if !ok || b.PlanVersion != 3 || b.LastTargetLines["i-1"].State != "leaving" || len(b.ZonesOutOfService) != 0 {
		t.Errorf("n1: got %+v, want plan 3 and i-1 leaving", b)
	}
	u = NodeStatesAt{}
	if _, err := Read(strings.NewReader(lines), u.Apply); err != nil {
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

// Memory does not grow with the number of lines, and lines beyond all bounds are
// counted and passed over.
func TestLongInput(t *testing.T) {
	var b strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&b, `{"ts":"2026-09-27T16:56:02Z","msg":"call-placed","event":703,"node":"n1","id":"%d","target":"i-%d"}`+"\n", i, i%7)
	}
	b.WriteString("{" + strings.Repeat("x", 3*maxLine) + "\n")
	s := RequestTrace{ID: "19999"}
	tally, err := Read(strings.NewReader(b.String()), s.Add)
	if err != nil || tally.Lines != 20001 || tally.MalformedLines != 1 || len(s.Steps()) != 1 {
		t.Errorf("got %+v, %d steps, %v, want 20001 lines, one broken, one step", tally, len(s.Steps()), err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(lines))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, u := RequestTrace{ID: "q"}, NodeStatesAt{}
		tally, err := Read(bytes.NewReader(b), func(l Line) { s.Add(l); u.Apply(l) })
		if err != nil || tally.MalformedLines > tally.Lines {
			t.Errorf("got %+v, %v", tally, err)
		}
		u.Differences()
	})
}
