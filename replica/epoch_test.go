package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sequenceRules orders the values of a key by their only byte.
var sequenceRules = Rules{ParseSequence: func(_ string, v []byte) int64 { return int64(v[0] - '0') }}

func epochRecord(key, value string, e Epoch, at Offset) Record {
	r := record(key, value, at)
	r.Epoch = e
	return r
}

// A restored store assigns offsets again and has lost the newest records. Its records
// must not undo what was read before, and what was written again must count although
// its offset is lower.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	tests := []struct {
		name        string
		before      []Record
		next        Record
		wantValue   string
		wantDeleted bool
	}{
		{"written again at a lower offset", []Record{epochRecord("a", "5", 1, 9)}, epochRecord("a", "6", 2, 4), "6", false},
		{"old value of the copy", []Record{epochRecord("a", "5", 1, 9)}, epochRecord("a", "3", 2, 4), "5", false},
		{"old value of a key that was deleted since", []Record{epochRecord("a", "5", 1, 8), epochRecord("a", "", 1, 9)}, epochRecord("a", "5", 2, 4), "5", true},
		{"new value of a deleted key", []Record{epochRecord("a", "5", 1, 8), epochRecord("a", "", 1, 9)}, epochRecord("a", "6", 2, 4), "6", false},
		{"deletion", []Record{epochRecord("a", "5", 1, 9)}, epochRecord("a", "", 2, 4), "5", true},
		{"record of the earlier epoch from a slow peer", []Record{epochRecord("a", "5", 2, 4)}, epochRecord("a", "4", 1, 9), "5", false},
		{"newer value of the earlier epoch", []Record{epochRecord("a", "3", 2, 4)}, epochRecord("a", "5", 1, 9), "5", false},
		{"record of a node without epochs", []Record{epochRecord("a", "5", 2, 4)}, epochRecord("a", "6", 0, 5), "6", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Copy{Rules: sequenceRules}
			c.Merge(tt.before)
			c.Merge([]Record{tt.next})
			stored := c.All()[0]
			if got := string(stored.Value); got != tt.wantValue || stored.Deleted != tt.wantDeleted {
				t.Errorf("stored: got %q deleted %v, want %q deleted %v", got, stored.Deleted, tt.wantValue, tt.wantDeleted)
			}
		})
	}
}

// Records that the restored store lacks stay until their writers had time to write them
// again. Then a listing deletes those that are still missing, and no others.
func TestMissingRecordsAreCarriedOver(t *testing.T) {
	c := Copy{Rules: sequenceRules}
	c.MergeListing(Listing{Records: []Record{epochRecord("a", "1", 1, 1), epochRecord("lost", "1", 1, 7), epochRecord("again", "1", 1, 8)}, Epoch: 1, EndOffset: 9})
	c.AdvanceReadMark(ReadMark{EndOffset: 9, Epoch: 1, Reader: 1}, time.Now())
	if c.NeedsListing() {
		t.Fatal("before the restore: got a listing needed, want none")
	}
	c.BeginEpoch(2)
	if !c.NeedsListing() {
		t.Fatal("new epoch: got no listing needed, want one, since the offsets are of the old one")
	}
	if changed := c.MergeListing(Listing{Records: []Record{epochRecord("a", "1", 2, 1)}, Epoch: 2, EndOffset: 2}); len(changed) != 0 {
		t.Errorf("first listing: got changes %v, want none", changed)
	}
	if c.NeedsListing() || !c.HasCarriedOver() {
		t.Errorf("after the listing: got needs listing %v, carried over %v, want false, true", c.NeedsListing(), c.HasCarriedOver())
	}
	c.Merge([]Record{epochRecord("again", "2", 2, 2)})
	changed := c.MergeListing(Listing{Records: []Record{epochRecord("a", "1", 2, 1), epochRecord("again", "2", 2, 2)}, Epoch: 2, EndOffset: 3, DropCarriedOver: true})
	if len(changed) != 1 || changed[0].Key != "lost" || !changed[0].Deleted {
		t.Errorf("last listing: got changes %v, want the deletion of lost", changed)
	}
	if c.HasCarriedOver() {
		t.Error("after the last listing: got records carried over, want none")
	}
}

// Marks of the epoch before, which are in transit, must not move a copy back, and one of
// the new epoch counts although its end is lower.
func TestMarkOfEarlierEpochIsIgnored(t *testing.T) {
	var c Copy
	now := time.Now()
	c.AdvanceReadMark(ReadMark{EndOffset: 9, Epoch: 1, Reader: 1}, now)
	if !c.AdvanceReadMark(ReadMark{EndOffset: 4, Epoch: 2, Reader: 3}, now) {
		t.Error("mark of a new epoch: got no advance, want one")
	}
	if c.AdvanceReadMark(ReadMark{EndOffset: 10, Epoch: 1, Reader: 1}, now.Add(time.Second)) {
		t.Error("mark of the earlier epoch: got an advance, want none")
	}
	if end := c.MarkedEnd(); end != 4 || c.Epoch() != 2 {
		t.Errorf("marked end: got %d of epoch %d, want 4 of epoch 2", end, c.Epoch())
	}
}

// Nodes in different epochs exchange their records in any order. They must agree in the
// end, or each would request the whole copy of the other again and again.
func TestCopiesOfTwoEpochsAgree(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		var records []Record
		for i := range 24 {
			value := string(rune('1' + r.IntN(8)))
			if r.IntN(6) == 0 {
				value = ""
			}
			records = append(records, epochRecord(string(rune('a'+i%4)), value, Epoch(1+i/12), Offset(i%12)))
		}
		a, b := Copy{Rules: sequenceRules}, Copy{Rules: sequenceRules}
		a.Merge(records)
		b.Merge(records[:12])
		b.BeginEpoch(2)
		b.Merge(records[12:])
		for range 2 {
			fromA := a.All()
			a.Merge(b.All())
			b.Merge(fromA)
		}
		if a.Digest() != b.Digest() {
			t.Errorf("seed %d: got digests %x and %x, want the same", seed, a.Digest(), b.Digest())
		}
	}
}

// A copy that keeps a newer value after a restore must not give it the position of the old
// one in the store: another copy holds the old value at that position, and would take the
// newer one for a duplicate.
func TestKeptValueReachesCopyThatReadRestoredStore(t *testing.T) {
	for _, tt := range []struct {
		name    string
		records []Record
	}{
		{"value", []Record{epochRecord("a", "5", 1, 9)}},
		{"deletion", []Record{epochRecord("a", "3", 1, 4), epochRecord("a", "", 1, 9)}},
	} {
		kept, restored := Copy{Rules: sequenceRules}, Copy{Rules: sequenceRules}
		kept.Merge(tt.records)
		old := Listing{Records: []Record{epochRecord("a", "3", 2, 4)}, Epoch: 2, EndOffset: 5}
		kept.MergeListing(old)
		restored.MergeListing(old)
		restored.Merge(kept.All())
		kept.Merge(restored.All())
		if got, want := restored.Digest(), kept.Digest(); got != want {
			t.Errorf("%s: digest of the copy that read the restored store: got %x, want %x", tt.name, got, want)
		}
	}
}
