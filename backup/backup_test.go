package backup

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/replica"
)

var errAway = errors.New("the partition is away")

// lateWrite is a write without a response, which the store may execute later.
type lateWrite struct {
	partition Partition
	value     []byte
	end       End
}

// memoryStore is a store of one backup topic.
type memoryStore struct {
	mu     sync.Mutex
	values map[Partition][][]byte
	away   map[Partition]bool
	// losesWrite, if set, reports whether a write gets no response and is executed later.
	losesWrite func() bool
	late       []lateWrite
	// ignoresEnd executes every write: the mutation that the check must catch.
	ignoresEnd bool
	readCount  int
}

func (s *memoryStore) ReadBackup(_ context.Context, _ replica.Topic, p Partition) (value []byte, end End, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCount++
	if s.away[p] {
		return nil, 0, errAway
	}
	all := s.values[p]
	if len(all) > 0 {
		value = all[len(all)-1]
	}
	return value, End(len(all)), nil
}

func (s *memoryStore) WriteBackup(_ context.Context, _ replica.Topic, p Partition, value []byte, end End) (End, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[p] {
		return 0, errAway
	}
	if s.losesWrite != nil && s.losesWrite() {
		s.late = append(s.late, lateWrite{p, value, end})
		return 0, context.DeadlineExceeded
	}
	return s.append(p, value, end)
}

func (s *memoryStore) setAway(p Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[p] = true
}

// append appends a value if the partition ends at end. s.mu must be held.
func (s *memoryStore) append(p Partition, value []byte, end End) (End, error) {
	if End(len(s.values[p])) != end && !s.ignoresEnd {
		return 0, ErrConflict
	}
	if s.values == nil {
		s.values = map[Partition][][]byte{}
	}
	s.values[p] = append(s.values[p], value)
	return End(len(s.values[p])), nil
}

// executeLate executes a random late write.
func (s *memoryStore) executeLate(r *rand.Rand) {
	if len(s.late) == 0 {
		return
	}
	i := r.IntN(len(s.late))
	w := s.late[i]
	s.late = append(s.late[:i], s.late[i+1:]...)
	// A conflict is allowed.
	_, _ = s.append(w.partition, w.value, w.end)
}

// countRegressions returns how often a value was followed by an earlier snapshot, and how often
// by the same content again, which another writer has saved needlessly.
func (s *memoryStore) countRegressions(t *testing.T) (earlier, repeated int) {
	for _, all := range s.values {
		var last Snapshot
		for _, value := range all {
			snap, err := Decode(replica.Targets, value)
			if err != nil {
				t.Fatal(err)
			}
			if snap.Compare(last) < 0 {
				earlier++
			}
			if snap.Digest == last.Digest {
				repeated++
			}
			last = snap
		}
	}
	return earlier, repeated
}

// snapshotAt returns a snapshot of the targets whose content differs at each end.
func snapshotAt(end replica.Offset) Snapshot {
	return Snapshot{Topic: replica.Targets, EndOffset: end, Epoch: 1, Digest: replica.Digest(end) + 7, Records: []replica.Record{
		{Topic: replica.Targets, Key: "a", Value: []byte("v"), Offset: end - 1, Epoch: 1},
	}}
}

const testPartitions = 12

// saveBySeed lets several writers, each with a view of its own, save snapshots while
// partitions come and go and writes are executed late. It returns the store and how often the
// restored snapshot was earlier than one that CopyCount partitions held, of which one responds.
func saveBySeed(t *testing.T, seed uint64, ignoresEnd bool) (s *memoryStore, lostCount int) {
	r := rand.New(rand.NewPCG(seed, 44))
	s = &memoryStore{away: map[Partition]bool{}, ignoresEnd: ignoresEnd}
	// saveRound runs calls at once, so that the draw has a lock of its own.
	var mu sync.Mutex
	s.losesWrite = func() bool { mu.Lock(); defer mu.Unlock(); return r.IntN(5) == 0 }
	keepers := make([]Keeper, 3)
	seen := make([]replica.Offset, len(keepers))
	for i := range keepers {
		keepers[i] = Keeper{Store: s, Topic: replica.Targets, PartitionCount: testPartitions}
	}
	var end, saved replica.Offset
	for range 120 {
		for p := range testPartitions {
			s.away[Partition(p)] = r.IntN(3) == 0
		}
		end += replica.Offset(r.IntN(2))
		i := r.IntN(len(keepers))
		if r.IntN(3) > 0 {
			seen[i] = end
		}
		if seen[i] == 0 {
			continue
		}
		if r.IntN(6) == 0 {
			keepers[i].Forget()
		}
		result, err := keepers[i].Save(t.Context(), snapshotAt(seen[i]))
		if err == nil && !result.IsOutdated {
			saved = max(saved, seen[i])
		}
		s.executeLate(r)
		clear(s.away)
		latest, _, err := Latest(t.Context(), s, replica.Targets, testPartitions)
		if saved > 0 && (err != nil || latest.EndOffset < saved) {
			lostCount++
		}
	}
	return s, lostCount
}

// Writers that lag, partitions that come and go, and writes that the store executes late must
// neither replace a snapshot by an earlier one nor save one twice, however many nodes read the
// topic, and a snapshot with enough copies must be found.
func TestSnapshotIsNeverReplacedByEarlierOne(t *testing.T) {
	caughtEarlier, caughtRepeated := 0, 0
	for seed := range uint64(40) {
		s, lost := saveBySeed(t, seed, false)
		if earlier, repeated := s.countRegressions(t); earlier+repeated+lost > 0 {
			t.Fatalf("seed %d: got %d earlier and %d repeated snapshots and %d restored too early ones, want none", seed, earlier, repeated, lost)
		}
		mutant, _ := saveBySeed(t, seed, true)
		earlier, repeated := mutant.countRegressions(t)
		caughtEarlier, caughtRepeated = caughtEarlier+earlier, caughtRepeated+repeated
	}
	if caughtEarlier == 0 || caughtRepeated == 0 {
		t.Errorf("writes that ignore the end: got %d earlier and %d repeated snapshots, want some of both", caughtEarlier, caughtRepeated)
	}
}

// Half of the partitions go away, whichever they are, while a node holds the topic. Once it
// has saved again, the other half must hold enough copies.
func TestSnapshotMovesToPartitionsThatRespond(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 45))
		s := &memoryStore{away: map[Partition]bool{}}
		k := Keeper{Store: s, Topic: replica.Targets, PartitionCount: testPartitions}
		if _, err := k.Save(t.Context(), snapshotAt(5)); err != nil {
			t.Fatal(err)
		}
		for _, p := range r.Perm(testPartitions)[:testPartitions/2] {
			s.away[Partition(p)] = true
		}
		k.Forget()
		result, err := k.Save(t.Context(), snapshotAt(5))
		if err != nil || result.Copies != CopyCount {
			t.Fatalf("seed %d: got %d copies and error %v, want %d and none", seed, result.Copies, err, CopyCount)
		}
		latest, responded, err := Latest(t.Context(), s, replica.Targets, testPartitions)
		if err != nil || latest.EndOffset != 5 || responded != testPartitions/2 {
			t.Fatalf("seed %d: got a snapshot until %d from %d partitions and error %v, want until 5 from %d", seed, latest.EndOffset, responded, err, testPartitions/2)
		}
	}
}

// A value of another writer or of a later version must neither stop a save nor be restored. A
// store whose number of partitions is unknown holds no snapshot: an empty one would count as a
// complete copy.
func TestMalformedSnapshotCountsAsNone(t *testing.T) {
	s := &memoryStore{values: map[Partition][][]byte{}}
	for p := range testPartitions {
		s.values[Partition(p)] = [][]byte{[]byte("\xff\xff\xff\xff\xff\xff not a snapshot")}
	}
	for _, partitionCount := range []int{testPartitions, 0} {
		if _, _, err := Latest(t.Context(), s, replica.Targets, partitionCount); !errors.Is(err, ErrNone) {
			t.Errorf("restore from %d partitions: got error %v, want %v", partitionCount, err, ErrNone)
		}
	}
	k := Keeper{Store: s, Topic: replica.Targets, PartitionCount: testPartitions}
	if result, err := k.Save(t.Context(), snapshotAt(3)); err != nil || result.Written != CopyCount {
		t.Errorf("save: got %d written and error %v, want %d and none", result.Written, err, CopyCount)
	}
}

// Reads of all nodes of a fleet that returns while both topics are away must stay below the
// store's rate, at the sizes and rates of the users' sites.
func TestReadsOfReturningFleetStayBelowStoreRate(t *testing.T) {
	for _, tt := range []struct{ nodes, readsPerSecond int }{{18, 2000}, {133, 6000}, {472, 16000}} {
		s := &memoryStore{}
		for range tt.nodes {
			for range replica.TopicCount {
				_, _, _ = Latest(t.Context(), s, replica.Targets, testPartitions)
			}
		}
		if s.readCount >= tt.readsPerSecond {
			t.Errorf("%d nodes: got %d reads if all restore within a second, want fewer than %d", tt.nodes, s.readCount, tt.readsPerSecond)
		}
	}
}

// A node that holds the content already must not write it again: every call has a price.
func TestUnchangedContentIsNotWrittenAgain(t *testing.T) {
	s := &memoryStore{}
	k := Keeper{Store: s, Topic: replica.Targets, PartitionCount: testPartitions}
	later := snapshotAt(9)
	later.Digest = snapshotAt(5).Digest
	for _, snap := range []Snapshot{snapshotAt(5), later} {
		if _, err := k.Save(t.Context(), snap); err != nil {
			t.Fatal(err)
		}
	}
	successor := Keeper{Store: s, Topic: replica.Targets, PartitionCount: testPartitions}
	if result, err := successor.Save(t.Context(), later); err != nil || result.Written != 0 || result.Copies != CopyCount {
		t.Errorf("save by the next reader: got %+v and error %v, want nothing written", result, err)
	}
	total := 0
	for _, all := range s.values {
		total += len(all)
	}
	if total != CopyCount {
		t.Errorf("values written: got %d, want %d", total, CopyCount)
	}
}

// Calls must not hang on partitions that never respond.
func TestSaveIsBoundedThoughPartitionsAreSilent(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	k := Keeper{Store: silentStore{}, Topic: replica.Targets, PartitionCount: testPartitions}
	if _, err := k.Save(ctx, snapshotAt(5)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("save: got error %v, want %v", err, context.DeadlineExceeded)
	}
}

// One partition holds the snapshot and the others are silent: a node that starts must not wait
// for these until their calls time out.
func TestRestoreDoesNotWaitForSilentPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		latest, responded, err := Latest(t.Context(), oneHolderStore{}, replica.Targets, testPartitions)
		if err != nil || latest.EndOffset != 5 || responded != 1 {
			t.Errorf("restore: got a snapshot until %d from %d partitions and error %v, want until 5 from 1", latest.EndOffset, responded, err)
		}
		if got := time.Since(start); got > settleTime {
			t.Errorf("restore: took %s, want at most %s", got, settleTime)
		}
	})
}

// oneHolderStore is a store of which only the last partition responds.
type oneHolderStore struct{ silentStore }

func (s oneHolderStore) ReadBackup(ctx context.Context, t replica.Topic, p Partition) ([]byte, End, error) {
	if p < testPartitions-1 {
		return s.silentStore.ReadBackup(ctx, t, p)
	}
	return snapshotAt(5).Encode(), 1, nil
}

// silentStore never responds.
type silentStore struct{}

func (silentStore) ReadBackup(ctx context.Context, _ replica.Topic, _ Partition) ([]byte, End, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (silentStore) WriteBackup(ctx context.Context, _ replica.Topic, _ Partition, _ []byte, _ End) (End, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}
