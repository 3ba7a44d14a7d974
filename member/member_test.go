package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

var startTime = time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)

// atSeconds returns the time s seconds after the start of the test.
func atSeconds(s float64) time.Time {
	return startTime.Add(time.Duration(s * float64(time.Second)))
}

func liveSet(t *Table) map[Incarnation]bool {
	m := map[Incarnation]bool{}
	for _, e := range t.Live() {
		m[e.Incarnation] = true
	}
	return m
}

// Only a heartbeat that advances counts: repeated and older entries neither keep a
// silent member live nor make it live again after the failure timeout.
func TestHeartbeatKeepsMemberLive(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(atSeconds(0), []Entry{{Incarnation: 2, Heartbeat: 5}})
	if !liveSet(table)[2] {
		t.Fatal("member with a first heartbeat: got not live, want live")
	}
	// Repeated and older entries do not keep the member live.
	for s := 1.0; s < 10; s++ {
		table.Merge(atSeconds(s), []Entry{{Incarnation: 2, Heartbeat: 5}, {Incarnation: 2, Heartbeat: 4}})
	}
	if got := len(table.ExpireMembers(atSeconds(9.9))); got != 0 {
		t.Errorf("changes before the failure timeout: got %d, want 0", got)
	}
	if got := len(table.ExpireMembers(atSeconds(10))); got != 1 {
		t.Errorf("changes after the failure timeout: got %d, want 1", got)
	}
	// A repeated entry does not make it live again; a newer heartbeat does.
	table.Merge(atSeconds(11), []Entry{{Incarnation: 2, Heartbeat: 5}})
	if liveSet(table)[2] {
		t.Error("repeated entry: got live, want not live")
	}
	table.Merge(atSeconds(12), []Entry{{Incarnation: 2, Heartbeat: 6}})
	if !liveSet(table)[2] {
		t.Error("newer heartbeat: got not live, want live")
	}
}

// In a large fleet each message carries a few entries only, so updates of one
// member are rare. With 100 members and 9 updates a second, of members drawn at
// random, no live member may reach the failure timeout.
func TestLargeFleetExtendsFailureTimeout(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	rng := rand.New(rand.NewPCG(1, 1))
	const memberCount, updatesPerSecond = 100, 9
	var all []Entry
	for i := range memberCount {
		all = append(all, Entry{Incarnation: Incarnation(i + 2), Address: vm.Address(fmt.Sprint(i)), Heartbeat: 1})
	}
	table.Merge(atSeconds(0), all)
	for s := range 600 {
		var received []Entry
		for range updatesPerSecond {
			e := all[rng.IntN(memberCount)]
			e.Heartbeat = uint64(s + 2)
			received = append(received, e)
		}
		table.Merge(atSeconds(float64(s)), received)
		if expired := table.ExpireMembers(atSeconds(float64(s))); len(expired) > 0 {
			t.Fatalf("members past the failure timeout after %d s: got %d, want 0", s, len(expired))
		}
	}
	if got, want := len(table.Live()), memberCount+1; got != want {
		t.Errorf("live members: got %d, want %d", got, want)
	}
}

// A process that restarts on the same address has a new incarnation, whose
// heartbeat starts again at a low value. It must replace the old member.
func TestNewIncarnationReplacesMemberOnSameAddress(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(atSeconds(0), []Entry{{Incarnation: 2, Address: "10.0.0.2:1", Heartbeat: 900}})
	table.Merge(atSeconds(1), []Entry{{Incarnation: 3, Address: "10.0.0.2:1", Heartbeat: 1}})
	if got := liveSet(table); got[2] || !got[3] {
		t.Errorf("live: got %v, want the new incarnation only", got)
	}
}

// A member that left is not live, but its entry is still sent so that peers receive
// its last status.
func TestLeftMemberIsNotLiveButStillSent(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	table.Merge(atSeconds(0), []Entry{{Incarnation: 2, Heartbeat: 1, Status: Ready}})
	changes := table.Merge(atSeconds(1), []Entry{{Incarnation: 2, Heartbeat: 2, Status: Left}})
	if len(changes) != 1 || changes[0].Live {
		t.Errorf("changes: got %v, want one that left", changes)
	}
	sent := table.NextEntries(8)
	if got, want := len(sent), 2; got != want {
		t.Errorf("entries sent: got %d, want %d including the member that left", got, want)
	}
}

// The fleet size is the larger of the live members, here 3 including the node itself,
// and the listed nodes.
func TestFleetIsMaximumOfLiveAndListed(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	for _, tt := range []struct{ listed, want int }{{0, 3}, {2, 3}, {17, 17}} {
		table.Merge(atSeconds(0), []Entry{{Incarnation: 2, Heartbeat: 1}, {Incarnation: 3, Heartbeat: 1}})
		table.SetListedCount(tt.listed)
		if got := table.FleetSize(); got != tt.want {
			t.Errorf("fleet size with %d listed: got %d, want %d", tt.listed, got, tt.want)
		}
	}
}

// Messages of 16 entries carry 15 other members each, least recently sent first:
// 7 messages must cover all of 100 members.
func TestEveryMemberIsSentInTurn(t *testing.T) {
	table := NewTable(Entry{Incarnation: 1}, Settings{})
	const memberCount = 100
	for i := range memberCount {
		table.Merge(atSeconds(0), []Entry{{Incarnation: Incarnation(i + 2), Heartbeat: 1}})
	}
	sentMembers := map[Incarnation]bool{}
	for range 7 {
		sent := table.NextEntries(16)
		if got := len(sent); got > 16 {
			t.Fatalf("entries: got %d, want at most 16", got)
		}
		for _, e := range sent {
			sentMembers[e.Incarnation] = true
		}
	}
	if got, want := len(sentMembers), memberCount+1; got != want {
		t.Errorf("members sent in 7 messages: got %d, want %d", got, want)
	}
}

// Removing a member changes the owner of its own keys only.
func TestOwnerChangesOnlyForRemovedMember(t *testing.T) {
	var all []Entry
	for i := range 17 {
		all = append(all, Entry{Incarnation: Incarnation(i + 1)})
	}
	const keyCount = 2000
	for key := range uint64(keyCount) {
		before := Owner(all, key)
		after := Owner(all[1:], key)
		if before != all[0].Incarnation && before != after {
			t.Errorf("owner of key %d after another member was removed: got %d, want %d", key, after, before)
		}
	}
}
