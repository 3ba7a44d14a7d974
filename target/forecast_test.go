package target

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

const testObjective = 600 * time.Millisecond

// sighted returns a table with targets near-0.. in zone a and far-0.. in zone b.
func sighted(near, far int, rights Rights) (t *Table, now time.Time) {
	t = NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 6, ColdPeriod: 3 * time.Second}, Settings{
		Seed: 1, Zone: "a", Rights: rights, TrustList: true,
		Sight: Sight{Lifetime: 25 * time.Millisecond, Near: 6, Far: 4},
	})
	now = time.Now()
	var list []vm.VM
	for i := range near {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("near-", i)), Address: vm.Address(fmt.Sprint("n", i)), Zone: "a", Slots: 6})
	}
	for i := range far {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("far-", i)), Address: vm.Address(fmt.Sprint("f", i)), Zone: "b", Slots: 6})
	}
	t.SetList(now, list, func(vm.ID, zone.Name) bool { return false })
	return t, now
}

func detailed(running, waiting int, pace float64) Report {
	return Report{Known: true, Detailed: true, State: Live, Running: running, Waiting: waiting, Slots: 6, Pace: pace, InFlight: running + waiting}
}

func ids(refs []Ref) (out []string) {
	for _, r := range refs {
		out = append(out, string(r.ID))
	}
	slices.Sort(out)
	return out
}

// The load: a quarter of the targets is four times slower at any moment. The own
// zone is asked first, others only while nobody near would answer in time.
func TestUnseenAsksTheOwnZoneFirst(t *testing.T) {
	table, now := sighted(2, 2, nil)
	w := Wish{Objective: testObjective}
	if got, want := ids(table.Unseen(now, w)), []string{"near-0", "near-1"}; !slices.Equal(got, want) {
		t.Fatalf("first asked: got %v, want %v", got, want)
	}
	table.Probed("near-0", now, detailed(1, 0, 4))
	table.Probed("near-1", now, detailed(6, 3, 1))
	if got, want := ids(table.Unseen(now, w)), []string{"far-0", "far-1"}; !slices.Equal(got, want) {
		t.Errorf("asked while nobody near is in time: got %v, want %v", got, want)
	}
	table.Probed("near-0", now, detailed(1, 0, 1))
	if got := table.Unseen(now, w); len(got) != 0 {
		t.Errorf("asked while one near is in time: got %v, want none", ids(got))
	}
	if got, want := len(table.Unseen(now.Add(30*time.Millisecond), w)), 2; got != want {
		t.Errorf("asked again once reports are old: got %d, want %d", got, want)
	}
}

// The load: a zone of many targets. What the first question told is enough for a
// choice in comfort, however many others were not asked.
func TestUnseenCountsWhatIsKnownOfALargeZone(t *testing.T) {
	table, now := sighted(40, 40, nil)
	w := Wish{Objective: testObjective}
	asked := table.Unseen(now, w)
	if got, want := len(asked), 6; got != want {
		t.Fatalf("first asked: got %d, want %d", got, want)
	}
	for _, ref := range asked {
		table.Probed(ref.ID, now, detailed(1, 0, 1))
	}
	for range 20 {
		if got := table.Unseen(now, w); len(got) != 0 {
			t.Fatalf("asked although enough is known: got %v, want none", ids(got))
		}
	}
}

func TestPickByForecast(t *testing.T) {
	tests := []struct {
		name    string
		reports map[vm.ID]Report
		mute    []vm.ID
		want    vm.ID
		none    None
	}{
		{"the faster one near", map[vm.ID]Report{"near-0": detailed(2, 0, 4), "near-1": detailed(3, 0, 1), "far-0": detailed(0, 0, 1)}, nil, "near-1", Found},
		{"another zone when near is late", map[vm.ID]Report{"near-0": detailed(2, 0, 4), "near-1": detailed(6, 6, 1), "far-0": detailed(0, 0, 1)}, nil, "far-0", Found},
		{"a seen one before those not asked", map[vm.ID]Report{"near-1": detailed(3, 0, 1)}, nil, "near-1", Found},
		{"nobody in time", map[vm.ID]Report{"near-0": detailed(6, 9, 4), "near-1": detailed(6, 9, 4), "far-0": detailed(6, 9, 4)}, nil, "", NoneInTime},
		{"an open question counts as full", nil, []vm.ID{"near-0", "near-1", "far-0"}, "", NoneInTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, now := sighted(2, 1, nil)
			for id, r := range tt.reports {
				table.Probed(id, now, r)
			}
			for _, id := range tt.mute {
				table.Mute(id, now)
			}
			p, none := table.PickBy(now, Wish{Objective: testObjective, Limit: testObjective})
			if none != tt.none {
				t.Fatalf("none: got %v, want %v", none, tt.none)
			}
			if none == Found && p.Ref.ID != tt.want {
				t.Errorf("picked: got %s, want %s", p.Ref.ID, tt.want)
			}
		})
	}
}

// Without any report nothing is known against a call: it is sent.
func TestPickWithoutReportsSends(t *testing.T) {
	table, now := sighted(2, 0, nil)
	if _, none := table.PickBy(now, Wish{Objective: testObjective, Limit: time.Millisecond}); none != Found {
		t.Errorf("none: got %v, want Found", none)
	}
}

// Attempts sent since a report count until the next one: many calls of one
// instant must not all take the same free slot.
func TestSendsSinceAReportCount(t *testing.T) {
	table, now := sighted(2, 0, nil)
	table.Probed("near-0", now, detailed(2, 0, 1))
	table.Probed("near-1", now, detailed(2, 0, 1))
	got := map[vm.ID]int{}
	for range 8 {
		p, none := table.PickBy(now, Wish{Objective: testObjective})
		if none != Found {
			t.Fatalf("none: got %v, want Found", none)
		}
		got[p.Ref.ID]++
	}
	if got["near-0"] != 4 || got["near-1"] != 4 {
		t.Errorf("sends: got %v, want 4 each", got)
	}
}

// The load: a service beyond what it bears, whose calls take three times as long
// as usual. What a call takes behind a queue must not pass for its usual time.
func TestUsualTimeUnderLoad(t *testing.T) {
	table, now := sighted(1, 0, nil)
	serve := func(r Report, took time.Duration) {
		table.Probed("near-0", now, r)
		p, none := table.PickBy(now, Wish{Objective: testObjective})
		if none != Found {
			t.Fatalf("none: got %v, want Found", none)
		}
		now = now.Add(took)
		table.Finish(p, now, Answered, r)
	}
	for range 40 {
		serve(detailed(1, 0, 1), 160*time.Millisecond)
	}
	calm := table.Usual()
	for range 200 {
		serve(detailed(5, 6, 1), 900*time.Millisecond)
	}
	if got := table.Usual(); got != calm {
		t.Errorf("usual time: got %s under load, want %s as before", got, calm)
	}
	if calm < 150*time.Millisecond || calm > 175*time.Millisecond {
		t.Errorf("usual time: got %s, want about 160ms", calm)
	}
}

func TestDropLastsUntilTheListLosesTheTarget(t *testing.T) {
	table, now := sighted(1, 0, nil)
	table.Drop("near-0")
	if _, none := table.PickBy(now, Wish{}); none != NoneKnown {
		t.Errorf("none: got %v, want NoneKnown", none)
	}
}

// An answer that names no instance says nothing against the one that is known.
func TestAnswerWithoutInstanceKeepsTheTargetWarm(t *testing.T) {
	table, now := sighted(1, 0, nil)
	named := detailed(0, 0, 1)
	named.Instance = "near-0"
	table.Probed("near-0", now, named)
	p, _ := table.PickBy(now, Wish{})
	table.Finish(p, now.Add(time.Millisecond), Answered, detailed(1, 0, 1))
	if got := table.Views(now)[0].State; got != Live {
		t.Errorf("state: got %v, want live", got)
	}
}

// A node that may not send to targets in cold start learns when one is warm.
func TestColdTargetIsAskedAgainOnceWarm(t *testing.T) {
	table, now := sighted(1, 0, nil)
	cold := detailed(0, 0, 2)
	cold.State, cold.ColdLeft = Cold, 3*time.Second
	table.Probed("near-0", now, cold)
	if _, none := table.PickBy(now, Wish{}); none != NoneWarm {
		t.Fatalf("in cold start: got %v, want NoneWarm", none)
	}
	now = now.Add(3*time.Second + time.Millisecond)
	if got, want := ids(table.Unseen(now, Wish{Objective: testObjective})), []string{"near-0"}; !slices.Equal(got, want) {
		t.Fatalf("asked after it: got %v, want %v", got, want)
	}
	table.Probed("near-0", now, detailed(0, 0, 1))
	if _, none := table.PickBy(now, Wish{}); none != Found {
		t.Errorf("warm: got %v, want Found", none)
	}
}

// Targets that answer questions but do not say their load are chosen by this
// node's own calls there, and by how slow these are.
func TestTargetsThatDoNotSayTheirLoad(t *testing.T) {
	table, now := sighted(2, 1, nil)
	plain := Report{Known: true, State: Live}
	say := func() {
		for _, id := range []vm.ID{"near-0", "near-1", "far-0"} {
			table.Probed(id, now, plain)
		}
	}
	say()
	if got := table.Unseen(now, Wish{Objective: testObjective}); len(got) != 0 {
		t.Fatalf("asked again at once: got %v, want none", ids(got))
	}
	got := map[vm.ID]int{}
	for range 4 {
		p, none := table.PickBy(now, Wish{Objective: testObjective, Limit: testObjective})
		if none != Found {
			t.Fatalf("none: got %v, want Found", none)
		}
		got[p.Ref.ID]++
	}
	if got["near-0"] != 2 || got["near-1"] != 2 {
		t.Errorf("sends: got %v, want 2 at each near one", got)
	}
	for range 20 {
		p, _ := table.PickBy(now, Wish{Objective: testObjective, Avoid: []vm.ID{"near-1", "far-0"}})
		now = now.Add(800 * time.Millisecond)
		table.Finish(p, now, Answered, Report{})
		p, _ = table.PickBy(now, Wish{Objective: testObjective, Avoid: []vm.ID{"near-0", "far-0"}})
		now = now.Add(100 * time.Millisecond)
		table.Finish(p, now, Answered, Report{})
		say()
	}
	p, _ := table.PickBy(now, Wish{Objective: testObjective, Avoid: []vm.ID{"far-0"}})
	if p.Ref.ID != "near-1" {
		t.Errorf("picked after one was slow: got %s, want near-1", p.Ref.ID)
	}
}

// The load: one target of two refuses what it gets although it is idle. It must
// not attract more of the calls for that.
func TestIdleTargetThatRefuses(t *testing.T) {
	table, now := sighted(2, 0, nil)
	got := map[vm.ID]int{}
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		table.Probed("near-0", now, detailed(0, 0, 1))
		table.Probed("near-1", now, detailed(2, 0, 1))
		p, none := table.PickBy(now, Wish{Objective: testObjective})
		if none != Found {
			t.Fatalf("none: got %v, want Found", none)
		}
		got[p.Ref.ID]++
		if p.Ref.ID == "near-0" {
			table.Finish(p, now, Refused, detailed(0, 0, 1))
			continue
		}
		table.Finish(p, now, Answered, detailed(2, 0, 1))
	}
	if got["near-0"] > 15 {
		t.Errorf("sends to the one that refuses: got %d of 60, want 15 at most", got["near-0"])
	}
}
