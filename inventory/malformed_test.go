package inventory

import (
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

// orderDecoder is a textDecoder that also decodes orders: the service is in the key, and the
// version is the value, which must be short. It counts the decoded values.
type orderDecoder struct {
	textDecoder
	orderCount, planCount int
}

func (d *orderDecoder) IsRolloutKey(key string) bool { return strings.HasPrefix(key, "order/") }

func (d *orderDecoder) DecodeRollout(key string, value []byte) (rollout.Order, error) {
	d.orderCount++
	if len(value) > 10 {
		return rollout.Order{}, eris.Errorf("version: %q is too long", value)
	}
	return rollout.Order{Service: service.Name(strings.TrimPrefix(key, "order/")), Version: rollout.Version(value)}, nil
}

func (d *orderDecoder) DecodePlan(value []byte) (*Plan, error) {
	d.planCount++
	p, err := d.textDecoder.DecodePlan(value)
	return p, eris.Wrapf(err, "plan %q", value)
}

// newLoggedState returns a state and the log lines that it writes.
func newLoggedState(d Decoder) (*State, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.DebugLevel)
	return NewState(d, vm.VM{ID: "self", Zone: "z"}, zap.New(core)), logs
}

// maxLogBytes bounds the text that one log line may quote of a record.
const maxLogBytes = 1024

// checkLoggedOnce checks that exactly one line of an event was logged, with the key of the
// record and a short text.
func checkLoggedOnce(t *testing.T, logs *observer.ObservedLogs, name, key string) {
	t.Helper()
	lines := logs.FilterMessage(name).All()
	if len(lines) != 1 {
		t.Fatalf("%s: got %d lines, want 1", name, len(lines))
	}
	fields := lines[0].ContextMap()
	if got := fields["key"]; got != key {
		t.Errorf("%s: got key %v, want %s", name, got, key)
	}
	if got, _ := fields["error"].(string); got == "" || len(got) > maxLogBytes {
		t.Errorf("%s: got an error of %d bytes, want 1 to %d", name, len(got), maxLogBytes)
	}
	if _, ok := fields["errorVerbose"]; ok {
		t.Errorf("%s: got the error twice, want it once", name)
	}
}

// A malformed order was decoded, and logged in full, for each change of any record.
func TestMalformedOrderIsLoggedOnce(t *testing.T) {
	d := &orderDecoder{}
	s, logs := newLoggedState(d)
	now := time.Now()
	malformed := strings.Repeat("x", 1<<20)
	s.ApplyRecords(replica.Operator, []replica.Record{
		newRecord(replica.Operator, "order/good", "v2", 1), newRecord(replica.Operator, "order/odd", malformed, 2),
	}, "test", now)
	for range 20 {
		snap := s.Snapshot(now)
		if got := snap.Orders["good"]; len(snap.Orders) != 1 || got == nil || got.Version != "v2" || got.ID.Offset != 1 {
			t.Fatalf("orders: got %v, want only that of service good", snap.Orders)
		}
	}
	if d.orderCount != 2 {
		t.Errorf("decoded orders: got %d, want 2", d.orderCount)
	}
	// The writer repeats the record.
	s.ApplyRecords(replica.Operator, []replica.Record{newRecord(replica.Operator, "order/odd", malformed, 3)}, "test", now)
	s.Snapshot(now)
	checkLoggedOnce(t, logs, "rollout-invalid", "order/odd")
	// A valid order takes its place, then a newer one, then none.
	for i, tt := range []struct{ value, want string }{{"v3", "v3"}, {"v4", "v4"}, {"", ""}} {
		s.ApplyRecords(replica.Operator, []replica.Record{newRecord(replica.Operator, "order/odd", tt.value, replica.Offset(4+i))}, "test", now)
		got := s.Snapshot(now).Orders["odd"]
		if tt.want == "" && got != nil || tt.want != "" && (got == nil || string(got.Version) != tt.want) {
			t.Errorf("after order %q: got %v", tt.value, got)
		}
	}
}

// A malformed plan was logged without its key, in full, and again at each listing.
func TestMalformedPlanIsLoggedOnce(t *testing.T) {
	d := &orderDecoder{}
	s, logs := newLoggedState(d)
	now := time.Now()
	malformed := newRecord(replica.Operator, "plan", strings.Repeat("x", 1<<20), 2)
	s.ApplyRecords(replica.Operator, []replica.Record{newRecord(replica.Operator, "plan", "plan 3", 1), malformed}, "test", now)
	for range 20 {
		s.ApplyListing(replica.Operator, replica.Listing{Records: []replica.Record{malformed}, EndOffset: 3}, "test", now)
	}
	if got := s.Snapshot(now).Plan; got == nil || got.Version != 3 {
		t.Errorf("plan: got %v, want version 3", got)
	}
	if d.planCount != 2 {
		t.Errorf("decoded plans: got %d, want 2", d.planCount)
	}
	// The writer repeats the record.
	malformed.Offset = 4
	s.ApplyRecords(replica.Operator, []replica.Record{malformed}, "test", now)
	checkLoggedOnce(t, logs, "plan-unreadable", "plan")
}

// With a malformed plan in a restored store, the plan of before counted as not written again,
// and the reader listed the store without a pause for as long as the plan was there.
func TestMalformedPlanInRestoredStoreEndsListings(t *testing.T) {
	s, _ := newLoggedState(&orderDecoder{})
	now := time.Now()
	good := newRecord(replica.Operator, "plan", "plan 3", 1)
	good.Epoch = 1
	s.ApplyListing(replica.Operator, replica.Listing{Records: []replica.Record{good}, EndOffset: 2, Epoch: 1}, "test", now)
	malformed := newRecord(replica.Operator, "plan", "malformed", 1)
	malformed.Epoch = 2
	listing := replica.Listing{Records: []replica.Record{malformed}, EndOffset: 2, Epoch: 2}
	s.ApplyListing(replica.Operator, listing, "test", now)
	now = now.Add(2 * carryOverPeriods[replica.Operator])
	s.ApplyListing(replica.Operator, listing, "test", now)
	if s.NeedsListing(replica.Operator, now) {
		t.Error("after the time for writing again: got a need to list once more, want none")
	}
	if got := s.Snapshot(now).Plan; got == nil || got.Version != 3 {
		t.Errorf("plan: got %v, want version 3", got)
	}
	good = newRecord(replica.Operator, "plan", "plan 4", 2)
	good.Epoch = 2
	s.ApplyRecords(replica.Operator, []replica.Record{good}, "test", now)
	if got := s.Snapshot(now).Plan; got == nil || got.Version != 4 {
		t.Errorf("plan written again: got %v, want version 4", got)
	}
}

// A malformed record of a target is logged once, also if its writer repeats it.
func TestMalformedTargetIsLoggedOnce(t *testing.T) {
	d := textDecoder{}
	s, logs := newLoggedState(d)
	s.copies[replica.Targets].Rules = replica.Rules{ParseContent: func(value []byte) replica.Content {
		t, ok := d.DecodeTarget("", value)
		if !ok {
			return replica.Content{}
		}
		return replica.Content{Significant: value, WriterEpoch: t.Born}
	}}
	now := time.Now()
	for i := range 20 {
		s.ApplyRecords(replica.Targets, []replica.Record{
			newRecord(replica.Targets, "good", "live 1", replica.Offset(2*i)), newRecord(replica.Targets, "odd", strings.Repeat("x", i+1), replica.Offset(2*i+1)),
		}, "test", now)
		if got, want := targetStates(s.Snapshot(now)), "good:live"; got != want {
			t.Fatalf("targets: got %q, want %q", got, want)
		}
	}
	count := 0
	for _, line := range logs.FilterMessage("target-listed").All() {
		if fields := line.ContextMap(); fields["target"] == "odd" && fields["state"] == "unreadable" {
			count++
		}
	}
	if count != 1 {
		t.Errorf("lines of the malformed record: got %d, want 1", count)
	}
}
