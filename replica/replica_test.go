package replica

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"
)

// halves is a rule by which only the first half of a value matters and a lower
// last byte comes from a process that was replaced.
var halves = Rules{
	ParseContent: func(v []byte) Content { return Content{Significant: v[:len(v)/2], WriterEpoch: int64(v[len(v)-1])} },
}

func record(key, value string, at Offset) Record {
	return Record{Topic: Targets, Key: key, Value: []byte(value), Offset: at, Deleted: value == ""}
}

func TestTake(t *testing.T) {
	tests := []struct {
		name  string
		given []Record
		next  Record
		news  bool
		value string
		gone  bool
	}{
		{"a first one", nil, record("a", "xx11", 1), true, "xx11", false},
		{"a later one", []Record{record("a", "xx11", 1)}, record("a", "yy11", 2), true, "yy11", false},
		{"an older one", []Record{record("a", "xx11", 5)}, record("a", "yy11", 4), false, "xx11", false},
		{"a heartbeat", []Record{record("a", "xx11", 1)}, record("a", "xx21", 2), false, "xx21", false},
		{"a late word of a replaced process", []Record{record("a", "xx12", 1)}, record("a", "yy11", 2), false, "xx12", false},
		{"gone", []Record{record("a", "xx11", 1)}, record("a", "", 2), true, "xx11", true},
		{"gone, but older", []Record{record("a", "xx11", 3)}, record("a", "", 2), false, "xx11", false},
		{"back after gone", []Record{record("a", "xx11", 1), record("a", "", 2)}, record("a", "xx11", 3), true, "xx11", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Copy{Rules: halves}
			c.Merge(tt.given)
			if got := len(c.Merge([]Record{tt.next})) == 1; got != tt.news {
				t.Errorf("news: got %v, want %v", got, tt.news)
			}
			held := c.All()[0]
			if got := string(held.Value); got != tt.value || held.Deleted != tt.gone {
				t.Errorf("held: got %q gone %v, want %q gone %v", got, held.Deleted, tt.value, tt.gone)
			}
		})
	}
}

func TestListingEndsWhatItLacks(t *testing.T) {
	c := Copy{Rules: halves}
	c.Merge([]Record{record("a", "xx11", 1), record("b", "xx11", 2), record("late", "xx11", 9)})
	news := c.MergeListing([]Record{record("a", "xx11", 1)}, 5)
	if len(news) != 1 || news[0].Key != "b" || !news[0].Deleted {
		t.Errorf("news: got %v, want b gone", news)
	}
	c.AdvanceReadMark(9, time.Now(), 1)
	if news := c.MergeListing(nil, 4); len(news) != 0 {
		t.Errorf("news of a listing from before: got %v, want none", news)
	}
}

// Copies that got the same records in other orders, with repeats and heartbeats,
// hold the same digest.
func TestDigestIsTheSameInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		for at := range Offset(30) {
			key := string(rune('a' + r.IntN(5)))
			value := []byte{byte('0' + r.IntN(3)), byte('0' + r.IntN(3))}
			if r.IntN(5) == 0 {
				value = nil
			}
			records = append(records, Record{Key: key, Value: value, Offset: at, Deleted: value == nil})
		}
		rules := Rules{ParseContent: func(v []byte) Content { return Content{Significant: v[:len(v)/2]} }}
		a, b := Copy{Rules: rules}, Copy{Rules: rules}
		a.Merge(records)
		shuffled := append(append([]Record(nil), records...), records[:10]...)
		r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		b.Merge(shuffled)
		if a.Digest() != b.Digest() {
			t.Fatalf("seed %d: got digests %x and %x, want the same", seed, a.Digest(), b.Digest())
		}
		for i, ra := range a.All() {
			if rb := b.All()[i]; ra.Deleted != rb.Deleted || ra.Offset != rb.Offset || !ra.Deleted && !bytes.Equal(ra.Value, rb.Value) {
				t.Fatalf("seed %d: got %v, want %v", seed, rb, ra)
			}
		}
	}
}

// A mark that goes round between peers seems a little later at each; it must not
// count as news for ever.
func TestMarkThatReturnsIsNoNews(t *testing.T) {
	var c Copy
	now := time.Now()
	if !c.AdvanceReadMark(5, now, 2) {
		t.Fatal("first mark: got no news, want news")
	}
	for range 10 {
		now = now.Add(3 * time.Millisecond)
		if c.AdvanceReadMark(5, now, 2) {
			t.Fatal("returned mark: got news, want none")
		}
	}
	if c.AdvanceReadMark(4, now.Add(time.Hour), 2) {
		t.Error("older end: got news, want none")
	}
	if !c.AdvanceReadMark(5, now, 1) {
		t.Error("mark of a reader with a lower number: got no news, want news")
	}
	if !c.AdvanceReadMark(5, now.Add(time.Second), 2) {
		t.Error("later mark: got no news, want news")
	}
}
