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

// TestMain sets a fixed seed for the property-based tests, so that their result
// is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// logStart is the time from which the generated records are dated.
var logStart = time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)

// TestApplyRecordMatchesNaiveImplementation applies generated publications and
// snapshots. It compares the result with a naive implementation, and with a node
// that starts at a random offset up to the last snapshot.
func TestApplyRecordMatchesNaiveImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []stream.Record
		revision, maxRetries := config.Revision(0), map[profile.Name]int{}
		full := &config.Configuration{}
		n := rapid.IntRange(1, 40).Draw(t, "records")
		lastSnapshot := -1
		for i := range n {
			var payload []byte
			if i > 0 && rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				payload = config.EncodeSnapshot(full)
				lastSnapshot = i
			} else {
				base := revision - config.Revision(rapid.IntRange(0, 1).Draw(t, "behind")*min(1, int(revision)))
				name := profile.Name(fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "name")))
				payload = config.EncodePublication(config.Publication{
					ID: config.PublicationID(fmt.Sprint(i)), BaseRevision: base, Changes: []config.Change{{PutProfile: &profile.Profile{Name: name, MaxRetries: i}}},
				})
				// The naive implementation accepts a publication if its base is current.
				if base == revision {
					revision++
					maxRetries[name] = i
				}
			}
			rec := stream.Record{Offset: stream.Offset(i), AppendedAt: logStart.Add(time.Duration(i) * time.Second), Payload: payload}
			records = append(records, rec)
			next, err := config.ApplyRecord(full, rec)
			if err != nil {
				t.Fatal(err)
			}
			full = next
		}
		if full.Revision != revision {
			t.Fatalf("revision: got %d, want %d", full.Revision, revision)
		}
		for name, want := range maxRetries {
			if got := full.Profiles[name].MaxRetries; got != want {
				t.Fatalf("profile %s: got %d, want %d", name, got, want)
			}
		}
		if lastSnapshot < 0 {
			return
		}
		lateState := &config.State{}
		start := rapid.IntRange(0, lastSnapshot).Draw(t, "start")
		if err := lateState.Skip(stream.Offset(start)); err != nil {
			t.Fatal(err)
		}
		for _, rec := range records[start:] {
			if err := lateState.Apply(rec); err != nil {
				t.Fatal(err)
			}
		}
		if got, want := lateState.Current().Digest(), full.Digest(); lateState.HasConfiguration() && got != want {
			t.Fatalf("digest of a node that started at %d: got %x, want %x", start, got, want)
		}
		if !lateState.HasConfiguration() {
			t.Fatal("HasConfiguration after reading a snapshot: got false, want true")
		}
	})
}

// TestClaimStateMatchesNaiveState applies generated claims and releases, and
// compares each decision with a naive state that never removes a grant.
func TestClaimStateMatchesNaiveState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type grant struct {
			holder   member.Incarnation
			number   claim.SequenceNumber
			expires  time.Time
			released bool
		}
		grants := map[claim.KeyDigest][]grant{}
		activeGrant := func(key claim.KeyDigest, at time.Time) (g *grant) {
			for i := range grants[key] {
				if each := &grants[key][i]; !each.released && each.expires.After(at) {
					g = each
				}
			}
			return g
		}
		var decisions []claim.Decision
		state := &claim.State{OnDecision: func(d claim.Decision) { decisions = append(decisions, d) }}
		at := logStart
		for offset := range rapid.IntRange(1, 60).Draw(t, "records") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Second)
			batch := claim.Batch{Holder: member.Incarnation(rapid.IntRange(1, 3).Draw(t, "holder"))}
			for range rapid.IntRange(0, 2).Draw(t, "releases") {
				r := claim.Release{Key: claim.KeyDigest{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, SequenceNumber: claim.SequenceNumber(rapid.IntRange(1, 8).Draw(t, "number"))}
				batch.Releases = append(batch.Releases, r)
				if g := activeGrant(r.Key, at); g != nil && g.holder == batch.Holder && g.number == r.SequenceNumber {
					g.released = true
				}
			}
			var want []bool
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				r := claim.Request{
					Key: claim.KeyDigest{byte(rapid.IntRange(0, 3).Draw(t, "key"))}, SequenceNumber: claim.SequenceNumber(rapid.IntRange(1, 8).Draw(t, "number")),
					WindowSeconds: uint32(rapid.IntRange(60, 300).Draw(t, "window")),
				}
				batch.Requests = append(batch.Requests, r)
				g := activeGrant(r.Key, at)
				granted := g == nil || g.holder == batch.Holder && g.number == r.SequenceNumber
				if g == nil {
					grants[r.Key] = append(grants[r.Key], grant{holder: batch.Holder, number: r.SequenceNumber, expires: at.Add(time.Duration(r.WindowSeconds) * time.Second)})
				}
				want = append(want, granted)
			}
			decisions = nil
			if err := state.Apply(stream.Record{Offset: stream.Offset(offset), AppendedAt: at, Payload: codec.Encode(batch)}); err != nil {
				t.Fatal(err)
			}
			for i, d := range decisions {
				if d.Granted != want[i] {
					t.Fatalf("record %d, request %d: got granted %v, want %v", offset, i, d.Granted, want[i])
				}
			}
			if len(decisions) != len(want) {
				t.Fatalf("decisions: got %d, want %d", len(decisions), len(want))
			}
		}
	})
}
