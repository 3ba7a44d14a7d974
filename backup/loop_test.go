package backup

import (
	"cmp"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/replica"
)

// Whatever changes, the snapshots that the store still keeps must leave most of its 400 MB to
// others, however long it keeps records and however long they may be.
func TestSnapshotsFitIntoStore(t *testing.T) {
	const storeBytes = 400e6
	for _, limits := range []Limits{{}, {RecordBytes: 1 << 20, KeepTime: 20 * time.Second}, {RecordBytes: 64 << 10, KeepTime: time.Hour}} {
		sum := 0.0
		for topic := range replica.TopicCount {
			highest := 0.0
			for _, snapshotBytes := range []int{1, 1 << 10, 32 << 10, limits.maxValueBytes()} {
				written := CopyCount * snapshotBytes
				highest = max(highest, float64(written)/limits.pauseAfter(topic, written).Seconds())
			}
			sum += highest * cmp.Or(limits.KeepTime, defaultKeepTime).Seconds()
		}
		if sum > storeBytes/2 {
			t.Errorf("%+v: bytes of snapshots in the store: got up to %.0f MB, want at most half of %.0f MB", limits, sum/1e6, storeBytes/1e6)
		}
	}
}

// fakeSource is a copy of the targets.
type fakeSource struct{ end atomic.Uint64 }

func (s *fakeSource) snapshot() Snapshot { return snapshotAt(replica.Offset(s.end.Load())) }

func (s *fakeSource) CopyDigest(replica.Topic) (replica.Digest, replica.Epoch, bool) {
	snap := s.snapshot()
	return snap.Digest, snap.Epoch, snap.EndOffset > 0
}

func (s *fakeSource) BackupSnapshot(replica.Topic) (Snapshot, bool) {
	snap := s.snapshot()
	return snap, snap.EndOffset > 0
}

// A topic that is read again and again must be saved only when it has changed, at most once in
// its interval, and be saved elsewhere once it is lost.
func TestLoopSavesChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, source, saves := &memoryStore{away: map[Partition]bool{}}, &fakeSource{}, atomic.Int64{}
		l := NewLoop(Keeper{Store: store, Topic: replica.Targets, PartitionCount: testPartitions}, source, func(Snapshot, SaveResult, error) { saves.Add(1) })
		go l.Run(ctx)
		readFor := func(d time.Duration, changes bool) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if changes {
					source.end.Add(1)
				}
				l.NotifyRead()
			}
		}
		for _, tt := range []struct {
			name    string
			act     func()
			atMost  int64
			atLeast int64
		}{
			{"no copy", func() { readFor(time.Minute, false) }, 0, 0},
			{"first copy", func() { source.end.Store(1); readFor(time.Minute, false) }, 1, 1},
			{"changes", func() { readFor(time.Minute, true) }, 31, 28},
			{"no changes", func() { readFor(time.Minute, false) }, 1, 0},
			{"lost", func() { store.setAway(0); l.NotifyLost(); time.Sleep(time.Minute) }, 1, 1},
		} {
			before := saves.Load()
			tt.act()
			synctest.Wait()
			if got := saves.Load() - before; got > tt.atMost || got < tt.atLeast {
				t.Errorf("%s: got %d saves, want %d to %d", tt.name, got, tt.atLeast, tt.atMost)
			}
		}
	})
}
