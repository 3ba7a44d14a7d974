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

// newQueryTable returns a table that uses load queries, with targets near-0..
// in the node's zone a and far-0.. in zone b.
func newQueryTable(near, far int, leases ColdStartLeases) (t *Table, now time.Time) {
	t = NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 6, ColdPeriod: 3 * time.Second}, Settings{
		Seed: 1, Zone: "a", ColdStartLeases: leases, ListIsAuthoritative: true,
		LoadQuery: LoadQuerySettings{MaxReportAge: 25 * time.Millisecond, SameZoneCount: 6, OtherZoneCount: 4},
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

func detailedReport(running, waiting int, pace float64) Report {
	return Report{IsPresent: true, IsDetailed: true, State: Live, RunningCount: running, WaitingCount: waiting, Slots: 6, SlowdownFactor: pace, InFlight: running + waiting}
}

func sortedIDs(refs []Ref) (out []string) {
	for _, r := range refs {
		out = append(out, string(r.ID))
	}
	slices.Sort(out)
	return out
}

// Guards against querying other zones on every choice. A quarter of the targets
// is four times slower at any moment, so other zones are queried only while no
// target of the node's zone is forecast to respond in time.
func TestUnseenPrefersNodeZone(t *testing.T) {
	table, now := newQueryTable(2, 2, nil)
	opts := PickOptions{Objective: testObjective}
	if got, want := sortedIDs(table.TargetsToQuery(now, opts)), []string{"near-0", "near-1"}; !slices.Equal(got, want) {
		t.Fatalf("first queries: got %v, want %v", got, want)
	}
	table.RecordReport("near-0", now, detailedReport(1, 0, 4))
	table.RecordReport("near-1", now, detailedReport(6, 3, 1))
	if got, want := sortedIDs(table.TargetsToQuery(now, opts)), []string{"far-0", "far-1"}; !slices.Equal(got, want) {
		t.Errorf("queries while no target of the zone is in time: got %v, want %v", got, want)
	}
	table.RecordReport("near-0", now, detailedReport(1, 0, 1))
	if got := table.TargetsToQuery(now, opts); len(got) != 0 {
		t.Errorf("queries while a target of the zone is in time: got %v, want none", sortedIDs(got))
	}
	if got, want := len(table.TargetsToQuery(now.Add(30*time.Millisecond), opts)), 2; got != want {
		t.Errorf("queries once reports are old: got %d, want %d", got, want)
	}
}

// Guards against a query per choice in a large zone: once Near targets have
// fresh reports, they suffice for a choice, however many others have none.
func TestUnseenCountsFreshReportsInLargeZone(t *testing.T) {
	table, now := newQueryTable(40, 40, nil)
	opts := PickOptions{Objective: testObjective}
	queried := table.TargetsToQuery(now, opts)
	if got, want := len(queried), 6; got != want {
		t.Fatalf("first queries: got %d, want %d", got, want)
	}
	for _, ref := range queried {
		table.RecordReport(ref.ID, now, detailedReport(1, 0, 1))
	}
	for range 20 {
		if got := table.TargetsToQuery(now, opts); len(got) != 0 {
			t.Fatalf("queries with enough fresh reports: got %v, want none", sortedIDs(got))
		}
	}
}

func TestPickByForecast(t *testing.T) {
	tests := []struct {
		name         string
		reports      map[vm.ID]Report
		unresponsive []vm.ID
		want         vm.ID
		status       PickStatus
	}{
		{"faster target of the zone", map[vm.ID]Report{"near-0": detailedReport(2, 0, 4), "near-1": detailedReport(3, 0, 1), "far-0": detailedReport(0, 0, 1)}, nil, "near-1", PickOK},
		{"other zone when the zone is late", map[vm.ID]Report{"near-0": detailedReport(2, 0, 4), "near-1": detailedReport(6, 6, 1), "far-0": detailedReport(0, 0, 1)}, nil, "far-0", PickOK},
		{"target with a report before those without", map[vm.ID]Report{"near-1": detailedReport(3, 0, 1)}, nil, "near-1", PickOK},
		{"no target in time", map[vm.ID]Report{"near-0": detailedReport(6, 9, 4), "near-1": detailedReport(6, 9, 4), "far-0": detailedReport(6, 9, 4)}, nil, "", PickTooSlow},
		{"unanswered query counts as full", nil, []vm.ID{"near-0", "near-1", "far-0"}, "", PickTooSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, now := newQueryTable(2, 1, nil)
			for id, r := range tt.reports {
				table.RecordReport(id, now, r)
			}
			for _, id := range tt.unresponsive {
				table.MarkUnresponsive(id, now)
			}
			res, status := table.PickWithOptions(now, PickOptions{Objective: testObjective, MaxForecast: testObjective})
			if status != tt.status {
				t.Fatalf("status: got %v, want %v", status, tt.status)
			}
			if status == PickOK && res.Ref.ID != tt.want {
				t.Errorf("picked: got %s, want %s", res.Ref.ID, tt.want)
			}
		})
	}
}

// Without any report there is no evidence of overload, so the call is sent even
// if the default forecast exceeds the limit.
func TestPickWithoutReportsIgnoresLimit(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	if _, status := table.PickWithOptions(now, PickOptions{Objective: testObjective, MaxForecast: time.Millisecond}); status != PickOK {
		t.Errorf("status: got %v, want Found", status)
	}
}

// Attempts sent since a report count as open calls until the next report.
// Otherwise all calls that arrive at the same time take the same free slot.
func TestAttemptsSinceReportCountAsLoad(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	table.RecordReport("near-0", now, detailedReport(2, 0, 1))
	table.RecordReport("near-1", now, detailedReport(2, 0, 1))
	got := map[vm.ID]int{}
	for range 8 {
		res, status := table.PickWithOptions(now, PickOptions{Objective: testObjective})
		if status != PickOK {
			t.Fatalf("status: got %v, want Found", status)
		}
		got[res.Ref.ID]++
	}
	if got["near-0"] != 4 || got["near-1"] != 4 {
		t.Errorf("attempts: got %v, want 4 each", got)
	}
}

// Guards against counting queueing time as service time: calls of an overloaded
// service take three times as long as usual or more, but the baseline must stay
// the same.
func TestBaselineServiceTimeUnchangedUnderOverload(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	runAttempt := func(r Report, took time.Duration) {
		table.RecordReport("near-0", now, r)
		res, status := table.PickWithOptions(now, PickOptions{Objective: testObjective})
		if status != PickOK {
			t.Fatalf("status: got %v, want Found", status)
		}
		now = now.Add(took)
		table.Finish(res, now, Answered, r)
	}
	for range 40 {
		runAttempt(detailedReport(1, 0, 1), 160*time.Millisecond)
	}
	baseline := table.BaselineServiceTime()
	for range 200 {
		runAttempt(detailedReport(5, 6, 1), 900*time.Millisecond)
	}
	if got := table.BaselineServiceTime(); got != baseline {
		t.Errorf("baseline service time under overload: got %s, want %s as before", got, baseline)
	}
	if baseline < 150*time.Millisecond || baseline > 175*time.Millisecond {
		t.Errorf("baseline service time: got %s, want about 160ms", baseline)
	}
}

func TestDroppedTargetIsNotPicked(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	table.MarkAddressReused("near-0")
	if _, status := table.PickWithOptions(now, PickOptions{}); status != PickNoTarget {
		t.Errorf("status: got %v, want NoneKnown", status)
	}
}

// A response that names no instance must not replace the known instance, which
// would put the target into cold start.
func TestResponseWithoutInstanceKeepsTargetLive(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	named := detailedReport(0, 0, 1)
	named.Instance = "near-0"
	table.RecordReport("near-0", now, named)
	res, _ := table.PickWithOptions(now, PickOptions{})
	table.Finish(res, now.Add(time.Millisecond), Answered, detailedReport(1, 0, 1))
	if got := table.Views(now)[0].State; got != Live {
		t.Errorf("state: got %v, want live", got)
	}
}

// A node that may not send to targets in cold start must query the target again
// when its cold start is over; otherwise it never learns that the target is
// live.
func TestTargetIsQueriedAgainAfterColdStart(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	cold := detailedReport(0, 0, 2)
	cold.State, cold.ColdStartRemaining = Cold, 3*time.Second
	table.RecordReport("near-0", now, cold)
	if _, status := table.PickWithOptions(now, PickOptions{}); status != PickOnlyCold {
		t.Fatalf("pick in cold start: got %v, want NoneWarm", status)
	}
	now = now.Add(3*time.Second + time.Millisecond)
	if got, want := sortedIDs(table.TargetsToQuery(now, PickOptions{Objective: testObjective})), []string{"near-0"}; !slices.Equal(got, want) {
		t.Fatalf("queries after cold start: got %v, want %v", got, want)
	}
	table.RecordReport("near-0", now, detailedReport(0, 0, 1))
	if _, status := table.PickWithOptions(now, PickOptions{}); status != PickOK {
		t.Errorf("pick after cold start: got %v, want Found", status)
	}
}

// Targets that respond to load queries without stating their load are chosen by
// this node's own open attempts there and by the latency of its finished ones.
func TestPickWithoutLoadDetails(t *testing.T) {
	table, now := newQueryTable(2, 1, nil)
	plain := Report{IsPresent: true, State: Live}
	reportAll := func() {
		for _, id := range []vm.ID{"near-0", "near-1", "far-0"} {
			table.RecordReport(id, now, plain)
		}
	}
	reportAll()
	if got := table.TargetsToQuery(now, PickOptions{Objective: testObjective}); len(got) != 0 {
		t.Fatalf("queries right after the reports: got %v, want none", sortedIDs(got))
	}
	got := map[vm.ID]int{}
	for range 4 {
		res, status := table.PickWithOptions(now, PickOptions{Objective: testObjective, MaxForecast: testObjective})
		if status != PickOK {
			t.Fatalf("status: got %v, want Found", status)
		}
		got[res.Ref.ID]++
	}
	if got["near-0"] != 2 || got["near-1"] != 2 {
		t.Errorf("attempts: got %v, want 2 at each target of the zone", got)
	}
	for range 20 {
		res, _ := table.PickWithOptions(now, PickOptions{Objective: testObjective, Exclude: []vm.ID{"near-1", "far-0"}})
		now = now.Add(800 * time.Millisecond)
		table.Finish(res, now, Answered, Report{})
		res, _ = table.PickWithOptions(now, PickOptions{Objective: testObjective, Exclude: []vm.ID{"near-0", "far-0"}})
		now = now.Add(100 * time.Millisecond)
		table.Finish(res, now, Answered, Report{})
		reportAll()
	}
	res, _ := table.PickWithOptions(now, PickOptions{Objective: testObjective, Exclude: []vm.ID{"far-0"}})
	if res.Ref.ID != "near-1" {
		t.Errorf("picked after near-0 was slow: got %s, want near-1", res.Ref.ID)
	}
}

// One target of two rejects attempts although it is idle. Its low load must not
// attract more calls.
func TestIdleRefusingTargetGetsFewAttempts(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	got := map[vm.ID]int{}
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		table.RecordReport("near-0", now, detailedReport(0, 0, 1))
		table.RecordReport("near-1", now, detailedReport(2, 0, 1))
		res, status := table.PickWithOptions(now, PickOptions{Objective: testObjective})
		if status != PickOK {
			t.Fatalf("status: got %v, want Found", status)
		}
		got[res.Ref.ID]++
		if res.Ref.ID == "near-0" {
			table.Finish(res, now, Refused, detailedReport(0, 0, 1))
			continue
		}
		table.Finish(res, now, Answered, detailedReport(2, 0, 1))
	}
	if got["near-0"] > 15 {
		t.Errorf("attempts at the refusing target: got %d of 60, want at most 15", got["near-0"])
	}
}
