package target

import (
	"math"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// limitedReport is a report received at the given time that names a rate limit.
func limitedReport(rate quota.Rate, receivedAt time.Time) Report {
	r := detailedReport(0, 0, 1)
	r.Limit, r.ReceivedAt = RateLimit{Status: LimitNamed, PerSecond: rate}, receivedAt
	return r
}

// plainReport is a report received at the given time without a rate limit.
func plainReport(receivedAt time.Time) Report {
	r := detailedReport(0, 0, 1)
	r.ReceivedAt = receivedAt
	return r
}

// pickFrom counts the choices of one target in a second, with a choice each 10 ms.
func pickFrom(t *Table, id vm.ID, now time.Time) (count int) {
	for i := range 100 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		reservation, status := t.PickWithOptions(at, PickOptions{})
		if status != PickOK {
			continue
		}
		if reservation.Ref.ID == id {
			count++
		}
		t.Finish(reservation, at, Answered, Report{})
	}
	return count
}

// Calls to a target with a rate limit must keep to it, also while it is the least loaded
// one, and the others take the rest.
func TestTargetWithLimitGetsOnlyItsTurns(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	table.RecordReport("near-0", now, limitedReport(4, now))
	table.RecordReport("near-1", now, detailedReport(5, 3, 1))
	if got := pickFrom(table, "near-0", now); got < 2 || got > 5 {
		t.Errorf("calls in one second at the target with a limit of 4: got %d, want 2 to 5", got)
	}
	table.RecordReport("near-0", now.Add(time.Second), plainReport(now.Add(time.Second)))
	if got := pickFrom(table, "near-0", now.Add(time.Second)); got < 10 {
		t.Errorf("calls in one second after the limit ended: got %d, want many", got)
	}
}

// An attempt that was reserved before its target named a limit counts against the limit
// when it is sent.
func TestAttemptReservedBeforeLimitNeedsTurn(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	table.RecordReport("near-0", now.Add(-time.Millisecond), plainReport(now.Add(-time.Millisecond)))
	var reserved []Reservation
	for range 5 {
		r, status := table.PickWithOptions(now, PickOptions{})
		if status != PickOK {
			t.Fatalf("pick: got %v, want PickOK", status)
		}
		reserved = append(reserved, r)
	}
	table.RecordReport("near-0", now, limitedReport(1, now))
	// The first turn is at a random time within the second.
	table.NextTurn(now, 0)
	sent := 0
	for _, r := range reserved {
		if table.CanSend(r, now.Add(1100*time.Millisecond)) {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("attempts sent: got %d, want 1", sent)
	}
}

// Responses may be read late: one whose headers were received before the last applied one
// says nothing new.
func TestOldReportDoesNotUndoNewerLimit(t *testing.T) {
	var changes []LimitChange
	table, now := newQueryTable(1, 0, nil)
	table.settings.OnLimitChange = func(c LimitChange) { changes = append(changes, c) }
	table.RecordReport("near-0", now, limitedReport(4, now))
	for _, older := range []Report{limitedReport(9, now.Add(-time.Second)), plainReport(now.Add(-time.Second)), {}} {
		table.RecordReport("near-0", now, older)
		if got := table.NextTurn(now, 0); got.TargetCount != 1 || got.Rate != 4 {
			t.Errorf("after an older report, limit %v: got %d targets with %v a second, want 1 with 4", older.Limit, got.TargetCount, got.Rate)
		}
	}
	if len(changes) != 1 {
		t.Errorf("changes after older reports: got %d, want 1", len(changes))
	}
	table.RecordReport("near-0", now, plainReport(now.Add(time.Second)))
	if got := table.Counts(now).Limited; got != 0 || len(changes) != 2 {
		t.Errorf("after a newer report without a limit: got %d limited and %d changes, want 0 and 2", got, len(changes))
	}
}

// A limit that can't be read must neither stop nor open a target, and is told once.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	var changes []LimitChange
	table, now := newQueryTable(2, 0, nil)
	table.settings.OnLimitChange = func(c LimitChange) { changes = append(changes, c) }
	unreadable := plainReport(now.Add(time.Millisecond))
	unreadable.Limit = RateLimit{Status: LimitUnreadable, Text: "few"}
	table.RecordReport("near-0", now, limitedReport(4, now))
	for range 3 {
		table.RecordReport("near-0", now, unreadable)
		table.RecordReport("near-1", now, unreadable)
	}
	if got := table.Counts(now).Limited; got != 1 {
		t.Errorf("limited targets: got %d, want 1, as before", got)
	}
	if got := len(changes); got != 3 || changes[1].Limit.Text != "few" {
		t.Errorf("changes: got %d, want 3: one limit and one unreadable one for each target", got)
	}
}

// A limit holds for the process that named it.
func TestNewProcessStartsWithoutLimit(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	for _, id := range []vm.ID{"near-0", "near-1"} {
		report := limitedReport(4, now)
		report.Instance = "first"
		table.RecordReport(id, now, report)
	}
	second := plainReport(now.Add(time.Millisecond))
	second.Instance = "second"
	table.RecordReport("near-0", now, second)
	table.SetList(now, []vm.VM{{ID: "near-0", Address: "n0", Zone: "a"}, {ID: "near-1", Address: "n1", Zone: "a", Incarnation: 7}}, noneWithdrawn)
	if got := table.Counts(now).Limited; got != 0 {
		t.Errorf("limited targets: got %d, want none", got)
	}
	first := limitedReport(4, now.Add(2*time.Millisecond))
	first.Instance = "first"
	table.RecordReport("near-0", now, first)
	if got := table.Counts(now).Limited; got != 0 {
		t.Errorf("after a late report of the former process: got %d limited, want none", got)
	}
}

// A node that may send nothing to a target must still learn that its limit has ended, with
// few queries.
func TestNodeWithoutTurnsLearnsEndOfLimit(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	table.RecordReport("near-0", now, limitedReport(0, now))
	queries := 0
	for i := range 200 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if _, status := table.PickWithOptions(at, PickOptions{}); status != PickLimited {
			t.Fatalf("pick: got %v, want PickLimited", status)
		}
		if len(table.TargetsToQuery(at, PickOptions{})) > 0 {
			queries++
			table.RecordReport("near-0", at, limitedReport(0, at))
		}
	}
	if queries != 1 {
		t.Errorf("load queries in 2 s: got %d, want 1", queries)
	}
}

// A hedge is work that its target need not do, so it never goes to one with a limit.
func TestHedgeAvoidsTargetWithLimit(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	table.RecordReport("near-0", now, limitedReport(1000, now))
	if _, status := table.PickWithOptions(now.Add(time.Second), PickOptions{RequireFreeSlot: true}); status != PickLimited {
		t.Errorf("hedge: got %v, want PickLimited", status)
	}
}

// The time until a turn follows from the limits and from the calls that wait.
func TestNextTurnFollowsLimitsAndWaitingCalls(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	for _, id := range []vm.ID{"near-0", "near-1"} {
		table.RecordReport(id, now, limitedReport(2, now))
	}
	first := table.NextTurn(now, 0)
	if !first.IsSender || first.Wait > 500*time.Millisecond {
		t.Errorf("first turn: got %+v, want within 500 ms", first)
	}
	later := table.NextTurn(now, 8)
	if got, want := later.Wait-first.Wait, 2*time.Second; math.Abs((got - want).Seconds()) > 0.001 {
		t.Errorf("8 calls later at 4 a second: got %v, want %v", got, want)
	}
	for _, id := range []vm.ID{"near-0", "near-1"} {
		table.RecordReport(id, now, limitedReport(0, now.Add(time.Millisecond)))
	}
	if got := table.NextTurn(now, 3); got.IsSender || got.Wait != maxTurnWait {
		t.Errorf("limits of zero: got %+v, want no turn and a wait of %v", got, maxTurnWait)
	}
}

// A node keeps to a limit that a peer was told, unless the target itself told it something
// else so recently that the peer's word may be older, or another process was meant.
func TestPeerLimitHoldsUntilTargetSaysOtherwise(t *testing.T) {
	limit := RateLimit{Status: LimitNamed, PerSecond: 0}
	for _, tt := range []struct {
		name string
		// heardMs is when the target was heard without a limit, toldMs when it told the
		// peer, in milliseconds; a negative heardMs means never.
		heardMs, toldMs int
		incarnation     int64
		want            int
	}{
		{"target not heard", -1, 0, 7, 1},
		{"heard long before", 0, 5000, 7, 1},
		{"heard just before", 4900, 5000, 7, 0},
		{"heard later", 5100, 5000, 7, 0},
		{"another process", -1, 5000, 6, 0},
	} {
		table, now := newQueryTable(1, 0, nil)
		table.SetList(now, []vm.VM{{ID: "near-0", Address: "n0", Zone: "a", Incarnation: 7}}, noneWithdrawn)
		if tt.heardMs >= 0 {
			table.RecordReport("near-0", now, limitedReport(3, now.Add(-time.Hour)))
			table.RecordReport("near-0", now, plainReport(now.Add(time.Duration(tt.heardMs)*time.Millisecond)))
		}
		table.RecordPeerLimit(PeerLimit{ID: "near-0", Limit: limit, Incarnation: tt.incarnation, ToldAt: now.Add(time.Duration(tt.toldMs) * time.Millisecond)})
		if got := table.Counts(now).Limited; got != tt.want {
			t.Errorf("%s: got %d limited targets, want %d", tt.name, got, tt.want)
		}
	}
}

// If only responses to calls name a limit, a load query does not end it. Without a word for
// a long time it ends by itself, so that a node without turns is not held back for good.
func TestLoadQueryWithoutLimitsDoesNotEndLimit(t *testing.T) {
	table, now := newQueryTable(1, 0, nil)
	reservation, _ := table.PickWithOptions(now, PickOptions{})
	table.Finish(reservation, now, Answered, limitedReport(0, now))
	table.RecordReport("near-0", now, plainReport(now.Add(time.Second)))
	if _, status := table.PickWithOptions(now.Add(2*time.Second), PickOptions{}); status != PickLimited {
		t.Errorf("after a load query: got %v, want PickLimited", status)
	}
	if _, status := table.PickWithOptions(now.Add(2*limitExpiry), PickOptions{}); status != PickOK {
		t.Errorf("after %v without a word: got %v, want PickOK", 2*limitExpiry, status)
	}
}

// A target that names another limit on each response must be followed at once, but told to
// the log and to peers only a few times a second, and in the end as it is.
func TestFluctuatingLimitIsToldRarely(t *testing.T) {
	var changes []LimitChange
	table, now := newQueryTable(1, 0, nil)
	table.settings.OnLimitChange = func(c LimitChange) { changes = append(changes, c) }
	for i := range 100 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		report := limitedReport(quota.Rate(1+i%7), at)
		if i%5 == 0 {
			report = plainReport(at)
		}
		table.RecordReport("near-0", at, report)
	}
	if got := len(changes); got < 2 || got > 5 {
		t.Errorf("changes told in one second: got %d, want 2 to 5", got)
	}
	last := now.Add(2 * time.Second)
	table.RecordReport("near-0", last, limitedReport(42, last))
	if got := changes[len(changes)-1].Limit.PerSecond; got != 42 {
		t.Errorf("last limit told: got %v, want 42", got)
	}
}

// A node that has not queried a target yet gets its limit from a peer. The target's first
// response, which names its instance and no limit, does not end it.
func TestFirstResponseKeepsLimitThatPeerReported(t *testing.T) {
	table := NewTable(service.Service{Name: "a", Slots: 6}, Settings{ListIsAuthoritative: true})
	now := time.Now()
	table.SetList(now, []vm.VM{{ID: "i-1", Incarnation: 1}}, func(vm.ID, zone.Name) bool { return false })
	table.RecordPeerLimit(PeerLimit{ID: "i-1", Incarnation: 1, Limit: RateLimit{Status: LimitNamed, PerSecond: 2}, ToldAt: now})
	table.RecordReport("i-1", now.Add(time.Millisecond), Report{IsPresent: true, Instance: "i-1", State: Live, ReceivedAt: now.Add(time.Millisecond)})
	if got := table.Counts(now.Add(time.Second)).Limited; got != 1 {
		t.Errorf("targets with a limit: got %d, want 1", got)
	}
}
