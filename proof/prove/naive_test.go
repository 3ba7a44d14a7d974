package prove

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/stream"
)

// TestMain fixes the seed of the generated tests, so that the verdict is the
// same every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var logStart = time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)

// TestApplyRecordAgainstNaive applies generated publications, with snapshots between
// them and a start at any offset, and holds the result against a naive implementation.
func TestApplyRecordAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []stream.Record
		revision, names := config.Revision(0), map[profile.Name]int{}
		whole := &config.Configuration{}
		n := rapid.IntRange(1, 40).Draw(t, "records")
		covered := -1
		for i := range n {
			var payload []byte
			if i > 0 && rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				payload = config.EncodeSnapshot(whole)
				covered = i
			} else {
				base := revision - config.Revision(rapid.IntRange(0, 1).Draw(t, "behind")*min(1, int(revision)))
				name := profile.Name(fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "name")))
				payload = config.EncodePublication(config.Publication{
					ID: config.PublicationID(fmt.Sprint(i)), BaseRevision: base, Changes: []config.Change{{PutProfile: &profile.Profile{Name: name, MaxRetries: i}}},
				})
				// The naive implementation: the base decides.
				if base == revision {
					revision++
					names[name] = i
				}
			}
			rec := stream.Record{Offset: stream.Offset(i), AppendedAt: logStart.Add(time.Duration(i) * time.Second), Payload: payload}
			records = append(records, rec)
			next, err := config.ApplyRecord(whole, rec)
			if err != nil {
				t.Fatal(err)
			}
			whole = next
		}
		if whole.Revision != revision {
			t.Fatalf("revision: got %d, want %d", whole.Revision, revision)
		}
		for name, want := range names {
			if got := whole.Profiles[name].MaxRetries; got != want {
				t.Fatalf("profile %s: got %d, want %d", name, got, want)
			}
		}
		if covered < 0 {
			return
		}
		late := &config.State{}
		start := rapid.IntRange(0, covered).Draw(t, "start")
		if err := late.Skip(stream.Offset(start)); err != nil {
			t.Fatal(err)
		}
		for _, rec := range records[start:] {
			if err := late.Apply(rec); err != nil {
				t.Fatal(err)
			}
		}
		if got, want := late.Current().Digest(), whole.Digest(); late.HasConfiguration() && got != want {
			t.Fatalf("digest of a node that started at %d: got %x, want %x", start, got, want)
		}
		if !late.HasConfiguration() {
			t.Fatal("a node that read a snapshot knows no configuration")
		}
	})
}

// TestClaimsAgainstNaive folds generated claims and releases and holds each
// decision against a naive state that keeps every grant for ever.
func TestClaimsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type grant struct {
			holder  member.Incarnation
			number  claim.SequenceNumber
			expires time.Time
			freed   bool
		}
		history := map[claim.KeyDigest][]grant{}
		holds := func(key claim.KeyDigest, at time.Time) (g *grant) {
			for i := range history[key] {
				if each := &history[key][i]; !each.freed && each.expires.After(at) {
					g = each
				}
			}
			return g
		}
		var decisions []claim.Decision
		state := &claim.State{OnDecision: func(d claim.Decision) { decisions = append(decisions, d) }}
		at := logStart
		for o := range rapid.IntRange(1, 60).Draw(t, "records") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Second)
			batch := claim.Batch{Holder: member.Incarnation(rapid.IntRange(1, 3).Draw(t, "holder"))}
			for range rapid.IntRange(0, 2).Draw(t, "releases") {
				r := claim.Release{Key: claim.KeyDigest{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, SequenceNumber: claim.SequenceNumber(rapid.IntRange(1, 8).Draw(t, "number"))}
				batch.Releases = append(batch.Releases, r)
				if g := holds(r.Key, at); g != nil && g.holder == batch.Holder && g.number == r.SequenceNumber {
					g.freed = true
				}
			}
			var want []bool
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				r := claim.Request{
					Key: claim.KeyDigest{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, SequenceNumber: claim.SequenceNumber(rapid.IntRange(1, 8).Draw(t, "number")),
					WindowSeconds: uint32(rapid.IntRange(60, 300).Draw(t, "window")),
				}
				batch.Requests = append(batch.Requests, r)
				g := holds(r.Key, at)
				granted := g == nil || g.holder == batch.Holder && g.number == r.SequenceNumber
				if g == nil {
					history[r.Key] = append(history[r.Key], grant{holder: batch.Holder, number: r.SequenceNumber, expires: at.Add(time.Duration(r.WindowSeconds) * time.Second)})
				}
				want = append(want, granted)
			}
			decisions = nil
			if err := state.Apply(stream.Record{Offset: stream.Offset(o), AppendedAt: at, Payload: codec.Encode(batch)}); err != nil {
				t.Fatal(err)
			}
			for i, d := range decisions {
				if d.Granted != want[i] {
					t.Fatalf("record %d, request %d: got granted %v, want %v", o, i, d.Granted, want[i])
				}
			}
			if len(decisions) != len(want) {
				t.Fatalf("decisions: got %d, want %d", len(decisions), len(want))
			}
		}
	})
}
