package replica

import (
	"math/rand/v2"
	"strconv"
	"testing"
)

// numberRules orders values, which are decimal numbers, as versions.
var numberRules = Rules{IsVersioned: true, ParseSequence: func(_ string, v []byte) int64 {
	n, _ := strconv.ParseInt(string(v), 10, 64)
	return n
}}

// writeHistory returns the records of one key that a store ever held: versions rise, and
// the store is restored from older copies twice, after which the writer goes on.
func writeHistory(r *rand.Rand) (records []Record, newest string) {
	version, end := 0, Offset(0)
	for e := Epoch(1); e <= 3; e++ {
		if e > 1 {
			lost := Offset(r.IntN(3))
			kept := end - min(lost, end)
			// The restored store still has the records before its end, under the new epoch.
			for _, old := range records {
				if old.Epoch == e-1 && old.Offset < kept {
					old.Epoch = e
					records = append(records, old)
				}
			}
			end = kept
		}
		for range r.IntN(4) {
			version += 1 + r.IntN(3)
			newest = strconv.Itoa(version)
			records = append(records, epochRecord("config", newest, e, end))
			end++
		}
	}
	return records, newest
}

// Whatever records of a store that was restored twice reach a copy, in whatever order, the
// newest version must count once it has arrived, and copies that exchange what they hold
// must agree.
func TestNewestVersionWinsInAnyOrder(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 7))
		records, newest := writeHistory(r)
		if len(records) == 0 {
			continue
		}
		copies := make([]Copy, 3)
		for i := range copies {
			copies[i].Rules = numberRules
			highest := int64(0)
			for range 2 * len(records) {
				copies[i].Merge([]Record{records[r.IntN(len(records))]})
				if n := copies[i].Newest(); len(n) > 0 {
					got := numberRules.ParseSequence("", n[0].Value)
					if got < highest {
						t.Fatalf("seed %d: got version %d after %d, want never an older one", seed, got, highest)
					}
					highest = got
				}
			}
		}
		copies[0].Merge(records)
		for range 2 {
			for i := range copies {
				copies[(i+1)%len(copies)].Merge(copies[i].All())
			}
		}
		for i := range copies {
			if got := string(copies[i].Newest()[0].Value); got != newest {
				t.Fatalf("seed %d: copy %d: got version %s, want %s", seed, i, got, newest)
			}
			if got, want := copies[i].Digest(), copies[0].Digest(); got != want {
				t.Fatalf("seed %d: copy %d: got digest %x, want %x", seed, i, got, want)
			}
		}
	}
}

// A deletion that was read from a copy keeps the value that it deleted, so that a node that
// knew nothing of the key does not take the restored store's old value for a new one.
func TestDeletionReachesCopyWithoutItsValue(t *testing.T) {
	kept, started := Copy{Rules: sequenceRules}, Copy{Rules: sequenceRules}
	kept.Merge([]Record{epochRecord("a", "3", 1, 4), epochRecord("a", "", 1, 9)})
	started.Merge([]Record{epochRecord("a", "", 1, 9)})
	old := Listing{Records: []Record{epochRecord("a", "3", 2, 4)}, Epoch: 2, EndOffset: 5}
	kept.MergeListing(old)
	started.MergeListing(old)
	started.Merge(kept.All())
	if got := started.Newest()[0]; !got.Deleted {
		t.Errorf("target that had left before the restore: got %q, want it deleted", got.Value)
	}
}

// An invalid value must not replace the one before it, nor stop the next.
func TestInvalidValueIsLeftOut(t *testing.T) {
	var invalid int
	c := Copy{Rules: Rules{
		Validate: func(r Record) error {
			if r.Value[0] != 'x' {
				return strconv.ErrSyntax
			}
			return nil
		},
		OnInvalid: func(Record, error) { invalid++ },
	}}
	c.Merge([]Record{record("a", "x1", 1), record("a", "y2", 2)})
	if got := string(c.Newest()[0].Value); got != "x1" {
		t.Errorf("after an invalid value: got %q, want the one before", got)
	}
	if changed := c.MergeListing(Listing{Records: []Record{record("a", "y2", 2)}, EndOffset: 3}); len(changed) != 0 {
		t.Errorf("listing of an invalid value: got changes %v, want none", changed)
	}
	c.Merge([]Record{record("a", "x3", 3)})
	if got := string(c.Newest()[0].Value); got != "x3" || invalid != 2 {
		t.Errorf("after a valid value: got %q and %d invalid ones, want x3 and 2", got, invalid)
	}
}
