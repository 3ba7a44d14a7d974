package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

var start = time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func none(vm.ID, zone.Name) bool { return false }

// fixture is a table of n verified live targets t0, t1, ...
type fixture struct {
	*Table
	list   []vm.VM
	checks *invariant.Checks
}

func newFixture(t *testing.T, n int, s Settings) *fixture {
	t.Helper()
	f := &fixture{checks: &invariant.Checks{}}
	s.Checks, s.Seed = f.checks, 1
	f.Table = NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1, ColdPeriod: 10 * time.Second}, s)
	for i := range n {
		z := zone.Name("z" + fmt.Sprint(i%3))
		f.list = append(f.list, vm.VM{ID: id(i), Address: vm.Address(fmt.Sprint("10.0.0.", i, ":1")), Zone: z})
	}
	f.SetList(at(0), f.list, none)
	for i := range n {
		f.Probed(id(i), at(0), live("a", 0))
	}
	t.Cleanup(func() {
		if got := f.checks.Total(); got != 0 {
			t.Errorf("invariants broken: got %d, want 0", got)
		}
	})
	return f
}

func id(i int) vm.ID { return vm.ID(fmt.Sprint("t", i)) }

func live(i Instance, inFlight int) Report {
	return Report{Known: true, Instance: i, State: Live, InFlight: inFlight}
}

func (f *fixture) view(t *testing.T, i int, now time.Time) View {
	t.Helper()
	for _, v := range f.Views(now) {
		if v.Ref.ID == id(i) {
			return v
		}
	}
	t.Fatalf("target %d is gone", i)
	return View{}
}

// share makes and ends n attempts and returns how many each target got.
func (f *fixture) share(now time.Time, n int, end func(p Place) Result) map[vm.ID]int {
	got := map[vm.ID]int{}
	for range n {
		p, why := f.Pick(now, nil, false)
		if why != Found {
			continue
		}
		got[p.Ref.ID]++
		result := end(p)
		f.Finish(p, now.Add(8*time.Millisecond), result, Report{})
	}
	return got
}

func answered(Place) Result { return Answered }

func TestPrefersTheLessLoaded(t *testing.T) {
	f := newFixture(t, 3, Settings{})
	f.Probed(id(0), at(0), live("a", 6))
	f.Probed(id(1), at(0), live("a", 5))
	p, why := f.Pick(at(1), nil, false)
	if why != Found || p.Ref.ID != id(2) {
		t.Errorf("pick: got %v %v, want t2", p.Ref.ID, why)
	}
}

func TestOldReportsFade(t *testing.T) {
	f := newFixture(t, 2, Settings{})
	f.Probed(id(0), at(0), live("a", 6))
	fresh := f.view(t, 0, at(1)).Others
	old := f.view(t, 0, at(2000)).Others
	if fresh < 5.9 || old >= fresh {
		t.Errorf("others: got %.1f fresh and %.1f old, want 6 and less", fresh, old)
	}
}

func TestOlderInstanceIsPassedOver(t *testing.T) {
	f := newFixture(t, 1, Settings{})
	p, _ := f.Pick(at(0), nil, false)
	f.Probed(id(0), at(1), Report{Known: true, Instance: "b", State: Cold})
	f.Finish(p, at(2), Answered, live("a", 1))
	if v := f.view(t, 0, at(3)); v.Instance != "b" || v.State != Cold {
		t.Errorf("after an old report: got %s %v, want b cold", v.Instance, v.State)
	}
}

func TestStatesThatTakeNoWork(t *testing.T) {
	for _, s := range []State{Draining, Leaving, Cold} {
		t.Run(s.String(), func(t *testing.T) {
			f := newFixture(t, 2, Settings{})
			f.Probed(id(0), at(1), Report{Known: true, Instance: "a", State: s})
			if got := f.share(at(2), 50, answered)[id(0)]; got != 0 {
				t.Errorf("attempts: got %d, want 0", got)
			}
			f.Probed(id(0), at(3), live("a", 0))
			if got := f.share(at(4), 50, answered)[id(0)]; got == 0 {
				t.Error("attempts after it was live again: got 0, want some")
			}
		})
	}
}

// TestTurnedBeforeTheSend turns a target between the choice and the send.
func TestTurnedBeforeTheSend(t *testing.T) {
	tests := []struct {
		name string
		turn func(f *fixture)
		want bool
	}{
		{"nothing", func(*fixture) {}, true},
		{"leaving", func(f *fixture) { f.Hear(at(1), Observation{id(0), "a", Leaving}, 0) }, false},
		{"another instance", func(f *fixture) { f.Probed(id(0), at(1), Report{Known: true, Instance: "b", State: Cold}) }, false},
		{"withdrawn", func(f *fixture) { f.SetWithdrawn(func(vm.ID, zone.Name) bool { return true }) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, Settings{})
			p, _ := f.Pick(at(0), nil, false)
			tt.turn(f)
			if got := f.StillOpen(p, at(2)); got != tt.want {
				t.Errorf("still open: got %v, want %v", got, tt.want)
			}
			f.Finish(p, at(3), Cancelled, Report{})
		})
	}
}

// rights grants all targets until an instant.
type rights time.Time

func (r rights) Until(_ vm.ID, now time.Time) (time.Time, bool) {
	return time.Time(r), now.Before(time.Time(r))
}

func TestColdWithinItsSlots(t *testing.T) {
	f := newFixture(t, 1, Settings{Rights: rights(at(1000))})
	f.Probed(id(0), at(0), Report{Known: true, Instance: "b", State: Cold})
	p, why := f.Pick(at(1), nil, false)
	if why != Found || !p.Cold || !p.Until.Equal(at(1000)) {
		t.Fatalf("pick with the right: got %+v %v, want a cold place until the right ends", p, why)
	}
	if _, why := f.Pick(at(2), nil, false); why == Found {
		t.Error("second pick: got a place beyond the cold slots, want none")
	}
	f.Finish(p, at(9), Answered, Report{Known: true, Instance: "b", State: Cold, InFlight: 1})
	if _, why := f.Pick(at(1001), nil, false); why != NoneWarm {
		t.Errorf("pick after the right ended: got %v, want %v", why, NoneWarm)
	}
}

func TestFailFastDoesNotAttract(t *testing.T) {
	f := newFixture(t, 10, Settings{})
	got := f.share(at(1), 1000, func(p Place) Result {
		if p.Ref.ID == id(3) {
			return ServerFailed
		}
		return Answered
	})
	if got[id(3)] > 20 {
		t.Errorf("attempts at the failing one of 10: got %d of 1000, want few", got[id(3)])
	}
}

func TestEjectionAndReturn(t *testing.T) {
	f := newFixture(t, 4, Settings{})
	for range ejectAfterFailures {
		p, _ := f.Pick(at(1), []vm.ID{id(1), id(2), id(3)}, false)
		f.Finish(p, at(2), Broken, Report{})
	}
	if !f.view(t, 0, at(3)).Ejected {
		t.Fatal("after failures: got in use, want ejected")
	}
	back := at(2 + int(2*baseEjectionPeriod/time.Millisecond))
	p, _ := f.Pick(back, []vm.ID{id(1), id(2), id(3)}, false)
	if p.Ref.ID != id(0) {
		t.Fatalf("after the ejection: got %q, want t0 on trial", p.Ref.ID)
	}
	if _, why := f.Pick(back, []vm.ID{id(1), id(2), id(3)}, false); why == Found {
		t.Error("second attempt during the trial: got a place, want none")
	}
	f.Finish(p, back, Answered, Report{})
}

// TestReportsDoubted fails everywhere: not more than half goes out.
func TestReportsDoubted(t *testing.T) {
	f := newFixture(t, 6, Settings{})
	f.share(at(1), 200, func(Place) Result { return Broken })
	out := 0
	for _, v := range f.Views(at(2)) {
		if v.Ejected {
			out++
		}
	}
	if out > 3 {
		t.Errorf("ejected of 6: got %d, want at most 3", out)
	}
}

// TestOpenCallsShowSlowness leaves attempts open at one target.
func TestOpenCallsShowSlowness(t *testing.T) {
	f := newFixture(t, 3, Settings{})
	f.share(at(0), 300, answered)
	p, _ := f.Pick(at(10), []vm.ID{id(1), id(2)}, false)
	if got := f.view(t, 0, at(1000)).Slowness; got < 4 {
		t.Errorf("slowness of an attempt open for long: got %.1f, want at least 4", got)
	}
	f.Finish(p, at(1000), TimedOut, Report{})
}

// TestBadNameFades slows one target down for a moment; at a load at which all
// others are idle it must get calls again.
func TestBadNameFades(t *testing.T) {
	f := newFixture(t, 4, Settings{})
	f.share(at(0), 200, answered)
	for range 5 {
		p, _ := f.Pick(at(100), []vm.ID{id(1), id(2), id(3)}, false)
		f.Finish(p, at(400), Answered, Report{})
	}
	got := 0
	for ms := 1000; ms < 20000; ms += 50 {
		got += f.share(at(ms), 1, answered)[id(0)]
	}
	if got < 20 {
		t.Errorf("calls of 380 at one of 4 that was slow once: got %d, want its share again", got)
	}
}

func TestListLags(t *testing.T) {
	f := newFixture(t, 3, Settings{})
	f.SetList(at(1000), f.list[:2], none)
	f.view(t, 2, at(1000))
	f.SetList(at(1000+int(unlistedGracePeriod/time.Millisecond)), f.list[:2], none)
	if got, want := len(f.Views(at(0))), 2; got != want {
		t.Errorf("targets after the grace: got %d, want %d", got, want)
	}
	replaced := []vm.VM{{ID: "new", Address: f.list[0].Address}, f.list[1]}
	f.SetList(at(70000), replaced, none)
	for _, v := range f.Views(at(70000)) {
		if v.Ref.ID == id(0) {
			t.Error("the old VM is still there; want the new one on its address only")
		}
	}
}

// TestListThatLostMost lacks most targets while they answer, for long.
func TestListThatLostMost(t *testing.T) {
	f := newFixture(t, 6, Settings{})
	grace := int(unlistedGracePeriod / time.Millisecond)
	f.SetList(at(1000), f.list[:1], none)
	f.SetList(at(1000+10*grace), f.list[:1], none)
	if got, want := len(f.Views(at(0))), 6; got != want {
		t.Errorf("targets with a list that lost most: got %d, want %d", got, want)
	}
	f.share(at(1000+10*grace), 200, func(p Place) Result {
		if p.Ref.ID == id(0) {
			return Answered
		}
		return Broken
	})
	f.SetList(at(1000+11*grace), f.list[:1], none)
	if got := len(f.Views(at(0))); got >= 6 {
		t.Errorf("targets once the missing ones fail: got %d, want fewer than 6", got)
	}
}

func TestObservationsOfPeers(t *testing.T) {
	tests := []struct {
		name string
		said Observation
		age  time.Duration
		want State
	}{
		{"leaving", Observation{id(0), "a", Leaving}, 0, Leaving},
		{"another instance is cold", Observation{id(0), "b", Cold}, 0, Cold},
		{"older than what was seen here", Observation{id(0), "a", Leaving}, time.Hour, Live},
		{"no instance", Observation{id(0), "", Leaving}, 0, Live},
		{"unknown target", Observation{"x", "a", Leaving}, 0, Live},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, Settings{})
			f.Hear(at(100), tt.said, tt.age)
			if got := f.view(t, 0, at(100)).State; got != tt.want {
				t.Errorf("state: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestProbeOnlyWhatAnswersLeaveUnknown(t *testing.T) {
	f := newFixture(t, 3, Settings{})
	if ref, ok := f.ProbeWanted(at(5000), time.Second); ok {
		t.Errorf("all live: got a probe of %s, want none", ref.ID)
	}
	f.Suspect(id(1), at(5000))
	ref, ok := f.ProbeWanted(at(5001), time.Second)
	if !ok || ref.ID != id(1) {
		t.Errorf("one suspected: got %s %v, want t1", ref.ID, ok)
	}
	if _, ok := f.ProbeWanted(at(5002), time.Second); ok {
		t.Error("asked again at once: got a probe, want none")
	}
}

// TestWithdrawnIsCaught shows that the invariant sees work out of service.
func TestWithdrawnIsCaught(t *testing.T) {
	f := newFixture(t, 1, Settings{})
	own := &invariant.Checks{}
	f.settings.Checks = own
	f.entries[0].withdrawn = true
	p, _ := f.reserve(f.entries[0], true, at(0))
	f.Finish(p, at(1), Cancelled, Report{})
	if got := own.Count(invariant.NoWorkOutOfService); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}

// TestColdOverrunIsCaught shows that the invariant sees more attempts at a cold
// target than it bears.
func TestColdOverrunIsCaught(t *testing.T) {
	f := newFixture(t, 1, Settings{Rights: rights(at(1000))})
	f.Probed(id(0), at(0), Report{Known: true, Instance: "b", State: Cold})
	own := &invariant.Checks{}
	f.settings.Checks = own
	for range 2 {
		if _, why := f.reserve(f.entries[0], true, at(1)); why != Found {
			t.Fatalf("open: got %v, want a place", why)
		}
	}
	if got := own.Count(invariant.ColdWithinLimit); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{13, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, Settings{Seed: 1})
			var list []vm.VM
			for i := range n {
				list = append(list, vm.VM{ID: id(i), Address: vm.Address(fmt.Sprint(i))})
			}
			table.SetList(at(0), list, none)
			for i := range n {
				table.Probed(id(i), at(0), live("a", i%5))
			}
			now := at(1)
			b.ReportAllocs()
			for b.Loop() {
				p, _ := table.Pick(now, nil, false)
				// Undone by hand: only the choice is measured.
				p.entry.ownInFlight--
				p.entry.startTickSum -= p.startTick
			}
		})
	}
}
