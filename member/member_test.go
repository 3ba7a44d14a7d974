package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

var start = time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)

func at(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

func liveSet(t *Table) map[Incarnation]bool {
	m := map[Incarnation]bool{}
	for _, e := range t.Live() {
		m[e.Incarnation] = true
	}
	return m
}

func TestBeats(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(at(0), []Entry{{Incarnation: 2, Heartbeat: 5}})
	if !liveSet(table)[2] {
		t.Fatal("heard: got gone, want live")
	}
	// Old words do not keep a silent node alive.
	for s := 1.0; s < 10; s++ {
		table.Merge(at(s), []Entry{{Incarnation: 2, Heartbeat: 5}, {Incarnation: 2, Heartbeat: 4}})
	}
	if got := len(table.ExpireMembers(at(9.9))); got != 0 {
		t.Errorf("changes before the silence is over: got %d, want 0", got)
	}
	if got := len(table.ExpireMembers(at(10))); got != 1 {
		t.Errorf("changes after the silence: got %d, want 1", got)
	}
	// Nor do they revive it; a new beat does.
	table.Merge(at(11), []Entry{{Incarnation: 2, Heartbeat: 5}})
	if liveSet(table)[2] {
		t.Error("old word: got live, want gone")
	}
	table.Merge(at(12), []Entry{{Incarnation: 2, Heartbeat: 6}})
	if !liveSet(table)[2] {
		t.Error("new beat: got gone, want live")
	}
}

// TestLargeFleetIsPatient tells a node of 100 members in turn, 9 a second, by
// words that come at random; none may be taken for gone.
func TestLargeFleetIsPatient(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	rng := rand.New(rand.NewPCG(1, 1))
	const members, perSecond = 100, 9
	var all []Entry
	for i := range members {
		all = append(all, Entry{Incarnation: Incarnation(i + 2), Address: vm.Address(fmt.Sprint(i)), Heartbeat: 1})
	}
	table.Merge(at(0), all)
	for s := range 600 {
		var told []Entry
		for range perSecond {
			e := all[rng.IntN(members)]
			e.Heartbeat = uint64(s + 2)
			told = append(told, e)
		}
		table.Merge(at(float64(s)), told)
		if gone := table.ExpireMembers(at(float64(s))); len(gone) > 0 {
			t.Fatalf("taken for gone after %d s: got %d members, want none", s, len(gone))
		}
	}
	if got, want := len(table.Live()), members+1; got != want {
		t.Errorf("live members: got %d, want %d", got, want)
	}
}

func TestReplacedOnSameAddress(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(at(0), []Entry{{Incarnation: 2, Address: "10.0.0.2:1", Heartbeat: 900}})
	table.Merge(at(1), []Entry{{Incarnation: 3, Address: "10.0.0.2:1", Heartbeat: 1}})
	if got := liveSet(table); got[2] || !got[3] {
		t.Errorf("live: got %v, want the new incarnation only", got)
	}
}

func TestLeft(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(at(0), []Entry{{Incarnation: 2, Heartbeat: 1, Status: Ready}})
	changes := table.Merge(at(1), []Entry{{Incarnation: 2, Heartbeat: 2, Status: Left}})
	if len(changes) != 1 || changes[0].Live {
		t.Errorf("changes: got %v, want one that left", changes)
	}
	told := table.NextEntries(8)
	if got, want := len(told), 2; got != want {
		t.Errorf("told entries: got %d, want %d, the one that left too", got, want)
	}
}

func TestFleetTakesTheLarger(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	for _, tt := range []struct{ listed, want int }{{0, 3}, {2, 3}, {17, 17}} {
		table.Merge(at(0), []Entry{{Incarnation: 2, Heartbeat: 1}, {Incarnation: 3, Heartbeat: 1}})
		table.SetListedCount(tt.listed)
		if got := table.FleetSize(); got != tt.want {
			t.Errorf("fleet with %d listed: got %d, want %d", tt.listed, got, tt.want)
		}
	}
}

// TestTellTurns tells of every member in turn while messages stay short.
func TestTellTurns(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	const members = 100
	for i := range members {
		table.Merge(at(0), []Entry{{Incarnation: Incarnation(i + 2), Heartbeat: 1}})
	}
	seen := map[Incarnation]bool{}
	for range 7 {
		told := table.NextEntries(16)
		if got := len(told); got > 16 {
			t.Fatalf("entries: got %d, want at most 16", got)
		}
		for _, e := range told {
			seen[e.Incarnation] = true
		}
	}
	if got, want := len(seen), members+1; got != want {
		t.Errorf("members told in 7 turns: got %d, want %d", got, want)
	}
}

// TestOwnerMovesLittle checks that only the share of a member that goes moves.
func TestOwnerMovesLittle(t *testing.T) {
	var all []Entry
	for i := range 17 {
		all = append(all, Entry{Incarnation: Incarnation(i + 1)})
	}
	const things = 2000
	for thing := range uint64(things) {
		before := Owner(all, thing)
		after := Owner(all[1:], thing)
		if before != all[0].Incarnation && before != after {
			t.Errorf("owner of %d: got %d after another went, want %d", thing, after, before)
		}
	}
}
