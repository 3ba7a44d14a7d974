package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testDigest(n int) Digest {
	return Request{URI: fmt.Sprint("/", n)}.Digest()
}

func testEnd(target string, at time.Time) End {
	return End{Process: Process{Target: vm.ID(target)}, At: at, Witness: "node"}
}

// noTurn lets a node take a trial at once.
func noTurn(int) time.Duration { return 0 }

// holdAt records three ends of distinct processes at the given time.
func holdAt(l *Ledger, d Digest, at time.Time) {
	for i := range 3 {
		l.RecordEnd(d, testEnd(fmt.Sprint("i-", i), at))
	}
}

func TestRequestIsHeldAfterThreeDistinctProcessesEnded(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	for i, want := range []Verdict{Watched, Suspected, Held} {
		end := testEnd(fmt.Sprint("i-", i), testEpoch)
		news := l.RecordEnd(d, end)
		if i == 0 {
			news = l.Share(d)
		}
		if len(news) != 1 {
			t.Errorf("news of end %d: got %d cases, want 1", i, len(news))
		}
		if news := l.RecordEnd(d, end); len(news) != 0 {
			t.Errorf("news of the same end again: got %d cases, want none", len(news))
		}
		if got := l.Verdict(d); got != want {
			t.Errorf("verdict after %d ends: got %s, want %s", i+1, got, want)
		}
	}
	if got := l.Verdict(testDigest(2)); got != Free {
		t.Errorf("verdict on another request: got %s, want free", got)
	}
}

func TestCompletionClearsRequestAndOutlivesOlderEnds(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	holdAt(l, d, testEpoch)
	if news := l.RecordCompletion(d, testEpoch.Add(time.Second)); len(news) != 1 {
		t.Errorf("news of the completion: got %d cases, want 1", len(news))
	}
	if got := l.Verdict(d); got != Free {
		t.Errorf("verdict after a completion: got %s, want free", got)
	}
	l.Merge([]Case{{Digest: d, Ends: []End{testEnd("i-1", testEpoch.Add(2*time.Second))}}}, testEpoch.Add(2*time.Second))
	if got := l.Verdict(d); got != Free {
		t.Errorf("verdict after a late message of a refuted end: got %s, want free", got)
	}
	l.RecordEnd(d, testEnd("i-9", testEpoch.Add(2*time.Second)))
	if got := l.Verdict(d); got != Watched {
		t.Errorf("verdict after an end behind the completion: got %s, want watched", got)
	}
}

// Three nodes each see one end. Whatever the order of the messages, all reach one verdict.
func TestNodesThatSawOneEndEachHoldRequestTogether(t *testing.T) {
	d := testDigest(1)
	ledgers := [3]*Ledger{{}, {}, {}}
	var sent [3][]Case
	for i, l := range ledgers {
		l.RecordEnd(d, testEnd(fmt.Sprint("i-", i), testEpoch))
		sent[i] = l.Share(d)
	}
	for i, l := range ledgers {
		for offset := 1; offset < 3; offset++ {
			l.Merge(sent[(i+offset)%3], testEpoch)
		}
		if got := l.Verdict(d); got != Held {
			t.Errorf("verdict at node %d: got %s, want held", i, got)
		}
	}
}

// A message that holds nothing new is not sent on, also if the ages in it were rounded.
func TestKnownCaseIsNoNews(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	holdAt(l, d, testEpoch)
	c, _ := l.Case(d)
	for i := range c.Ends {
		c.Ends[i].At = c.Ends[i].At.Add(3 * time.Millisecond)
	}
	if news, _ := l.Merge([]Case{c}, testEpoch); len(news) != 0 {
		t.Errorf("news of a known case: got %d, want none", len(news))
	}
	cleared := l.RecordCompletion(d, testEpoch.Add(time.Second))
	if news, _ := l.Merge(cleared, testEpoch.Add(time.Second)); len(news) != 0 {
		t.Errorf("news of a known completion: got %d, want none", len(news))
	}
}

func TestSuspectedRequestRunsOnceAtATime(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	l.RecordEnd(d, testEnd("i-1", testEpoch))
	l.RecordEnd(d, testEnd("i-2", testEpoch))
	if a := l.Admit(d, testEpoch, noTurn); a.IsRefused || a.MayRepeat() {
		t.Errorf("first copy: got %+v, want one that is admitted and not repeated", a)
	}
	if a := l.Admit(d, testEpoch, noTurn); !a.IsRefused || a.RetryAfter <= 0 {
		t.Errorf("copy beside the first: got %+v, want one that is refused for a time", a)
	}
	l.Leave(d)
	if a := l.Admit(d, testEpoch, noTurn); a.IsRefused {
		t.Errorf("copy after the first: got %+v, want one that is admitted", a)
	}
}

// Over a day with a copy each 100 ms, a request that ends each target gets two trials.
func TestHarmfulRequestGetsTwoTrials(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	holdAt(l, d, testEpoch)
	trials := 0
	for now := testEpoch; now.Sub(testEpoch) < time.Hour; now = now.Add(100 * time.Millisecond) {
		a := l.Admit(d, now, noTurn)
		if a.IsRefused {
			continue
		}
		if !a.IsTrial {
			t.Fatalf("after %s: got a copy that is no trial, want none", now.Sub(testEpoch))
		}
		trials++
		l.Leave(d)
		l.RecordEnd(d, testEnd(fmt.Sprint("trial-", trials), now))
	}
	if trials != 2 {
		t.Errorf("trials: got %d, want 2", trials)
	}
}

func TestTrialTakenByOneNodeIsNotTakenByOthers(t *testing.T) {
	first, second, d := &Ledger{}, &Ledger{}, testDigest(1)
	holdAt(first, d, testEpoch)
	holdAt(second, d, testEpoch)
	now := testEpoch.Add(time.Minute)
	if a := first.Admit(d, now, noTurn); !a.IsTrial {
		t.Fatalf("first node: got %+v, want a trial", a)
	}
	c, _ := first.Case(d)
	second.Merge([]Case{c}, now)
	if a := second.Admit(d, testEpoch.Add(trialDelays[0]), noTurn); a.IsTrial {
		t.Errorf("second node: got %+v, want no trial", a)
	}
}

func TestTrialTurnsOfFleetDiffer(t *testing.T) {
	var fleet []vm.ID
	for i := range 17 {
		fleet = append(fleet, vm.ID(fmt.Sprint("node-", i)))
	}
	seen := map[time.Duration]bool{}
	for _, id := range fleet {
		turn := TrialTurn(id, fleet, testDigest(1), 0)
		if seen[turn] || turn < 0 || turn > maxTrialSpread {
			t.Errorf("turn of %s: got %s, want one of its own up to %s", id, turn, maxTrialSpread)
		}
		seen[turn] = true
	}
}

// A caller with thousands of harmless and harmful requests does not free a held one.
func TestManyCasesDoNotFreeHeldRequest(t *testing.T) {
	l, d := &Ledger{}, testDigest(-1)
	holdAt(l, d, testEpoch)
	for i := range 2 * maxCases {
		l.RecordEnd(testDigest(i), testEnd("i-1", testEpoch.Add(time.Second)))
	}
	if got := len(l.Cases()); got > maxCases {
		t.Errorf("cases: got %d, want at most %d", got, maxCases)
	}
	if got := l.Verdict(d); got != Held {
		t.Errorf("verdict on the held request: got %s, want held", got)
	}
}

func TestCasesExpire(t *testing.T) {
	l, held, suspected, cleared := &Ledger{}, testDigest(1), testDigest(2), testDigest(3)
	holdAt(l, held, testEpoch)
	l.RecordEnd(suspected, testEnd("i-1", testEpoch))
	l.RecordEnd(cleared, testEnd("i-1", testEpoch))
	l.RecordCompletion(cleared, testEpoch.Add(time.Second))
	l.Expire(testEpoch.Add(time.Minute))
	if got := len(l.Cases()); got != 3 {
		t.Errorf("cases after a minute: got %d, want 3", got)
	}
	l.Expire(testEpoch.Add(time.Hour))
	if got := l.Verdict(held); got != Held || len(l.Cases()) != 1 {
		t.Errorf("after an hour: got verdict %s and %d cases, want held and 1", got, len(l.Cases()))
	}
	l.Expire(testEpoch.Add(heldRetention + time.Second))
	if !l.IsEmpty() {
		t.Error("after the retention: got cases, want none")
	}
}

// A node that lost its path takes processes for ended that respond to others.
func TestEndIsRefutedByProcessThatResponds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		elapsed time.Duration
		want    Verdict
	}{
		{"sent before it can have ended", 10 * time.Millisecond, Held},
		{"sent after the supposed end", 200 * time.Millisecond, Suspected},
		{"sent so late that another process may have its ID", 3 * time.Second, Held},
	} {
		l, d := &Ledger{}, testDigest(1)
		holdAt(l, d, testEpoch)
		l.RecordAlive(Process{Target: "i-1"}, testEpoch.Add(tt.elapsed))
		if got := l.Verdict(d); got != tt.want {
			t.Errorf("%s: got verdict %s, want %s", tt.name, got, tt.want)
		}
	}
	l, d := &Ledger{}, testDigest(1)
	if news := l.Refute([]Process{{Target: "i-1"}}, testEpoch); len(news) != 1 {
		t.Errorf("news of a living process: got %d, want 1", len(news))
	}
	holdAt(l, d, testEpoch)
	if got := l.Verdict(d); got != Suspected {
		t.Errorf("verdict with one refuted end of three: got %s, want suspected", got)
	}
}

// Most calls that lose a target are completed by the next one. The fleet does not need them.
func TestCallThatIsCompletedElsewhereIsNoNews(t *testing.T) {
	l, d := &Ledger{}, testDigest(1)
	if news := l.RecordEnd(d, testEnd("i-1", testEpoch)); len(news) != 0 {
		t.Errorf("news of a first end: got %d cases, want none while the call goes on", len(news))
	}
	if news := l.RecordCompletion(d, testEpoch.Add(time.Second)); len(news) != 0 || len(l.SharedCases()) != 0 {
		t.Errorf("news of the completion: got %d cases, want none", len(news))
	}
	l.RecordEnd(d, testEnd("i-2", testEpoch.Add(2*time.Second)))
	if news := l.Share(d); len(news) != 1 {
		t.Errorf("news of a call that ended without a response: got %d cases, want 1", len(news))
	}
}
