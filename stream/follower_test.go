package stream_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
)

// offsetRecorder is a stream.Applier that records the offsets it receives.
type offsetRecorder struct {
	mu       sync.Mutex
	next     stream.Offset
	applied  []stream.Offset
	skipped  []stream.Offset
	applyErr error
}

func (r *offsetRecorder) Next() stream.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

func (r *offsetRecorder) Apply(rec stream.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applyErr != nil {
		return r.applyErr
	}
	r.applied = append(r.applied, rec.Offset)
	r.next = rec.Offset + 1
	return nil
}

func (r *offsetRecorder) Skip(first stream.Offset) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped = append(r.skipped, first)
	r.next = first
	return nil
}

// startFollower runs a follower until the end of the test.
func startFollower(t *testing.T, log stream.Log, applier stream.Applier) *stream.Follower {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &stream.Follower{Log: log, Name: "s", Applier: applier}
	go f.Run(ctx)
	return f
}

func appendN(t *testing.T, log *standin.Log, n int) {
	t.Helper()
	for range n {
		if _, err := log.Append(t.Context(), "s", []byte("x")); err != nil && !errors.Is(err, standin.ErrLostAck) {
			t.Fatal(err)
		}
	}
}

// checkOffsets checks that exactly the offsets from (inclusive) to to (exclusive)
// were applied, in order.
func checkOffsets(t *testing.T, s *offsetRecorder, from, to stream.Offset) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := len(s.applied), int(to-from); got != want {
		t.Errorf("records: got %d, want %d", got, want)
	}
	for i, got := range s.applied {
		if want := from + stream.Offset(i); got != want {
			t.Errorf("record %d: got offset %d, want %d", i, got, want)
		}
	}
}

func TestFollowerResumesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &standin.Log{}, &offsetRecorder{}
		f := startFollower(t, log, recorder)
		appendN(t, log, 10)
		time.Sleep(time.Second)
		log.SetDown(true)
		time.Sleep(time.Hour)
		if got := f.ReadAge(); got < 59*time.Minute {
			t.Errorf("last read: got %s ago, want about an hour", got)
		}
		log.SetDown(false)
		appendN(t, log, 10)
		time.Sleep(5 * time.Second)
		checkOffsets(t, recorder, 0, 20)
		if !f.HasCaughtUp() {
			t.Error("caught up: got false, want true")
		}
	})
}

func TestFollowerAppliesOnceWithLostAcksAndSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &standin.Log{}, &offsetRecorder{}
		startFollower(t, log, recorder)
		log.LoseAcks(5)
		log.SetLatency(300 * time.Millisecond)
		appendN(t, log, 10)
		time.Sleep(5 * time.Second)
		checkOffsets(t, recorder, 0, 10)
	})
}

func TestFollowerSkipsExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &standin.Log{Retention: time.Minute}, &offsetRecorder{}
		appendN(t, log, 5)
		time.Sleep(2 * time.Minute)
		appendN(t, log, 3)
		startFollower(t, log, recorder)
		time.Sleep(5 * time.Second)
		checkOffsets(t, recorder, 5, 8)
		if got := len(recorder.skipped); got != 1 || recorder.skipped[0] != 5 {
			t.Errorf("skips: got %v, want one to 5", recorder.skipped)
		}
	})
}

// staleLog returns an old batch on every second read.
type staleLog struct {
	*standin.Log
	mu    sync.Mutex
	reads int
	old   stream.Batch
}

func (l *staleLog) Read(ctx context.Context, name stream.Name, from stream.Offset, max int, wait time.Duration) (stream.Batch, error) {
	b, err := l.Log.Read(ctx, name, from, max, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.reads%2 == 0 {
		return l.old, nil
	}
	if err == nil && l.old.NextOffset == 0 {
		l.old = b
	}
	return b, err
}

func TestFollowerIgnoresStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &staleLog{Log: &standin.Log{}}, &offsetRecorder{}
		appendN(t, log.Log, 3)
		startFollower(t, log, recorder)
		time.Sleep(3 * time.Second)
		appendN(t, log.Log, 3)
		time.Sleep(20 * time.Second)
		checkOffsets(t, recorder, 0, 6)
	})
}

func TestFollowerRetriesFailedApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &standin.Log{}, &offsetRecorder{applyErr: errors.New("newer format")}
		startFollower(t, log, recorder)
		appendN(t, log, 3)
		time.Sleep(time.Minute)
		checkOffsets(t, recorder, 0, 0)
		recorder.mu.Lock()
		recorder.applyErr = nil
		recorder.mu.Unlock()
		time.Sleep(time.Minute)
		checkOffsets(t, recorder, 0, 3)
	})
}

// countingLog counts reads.
type countingLog struct {
	*standin.Log
	reads atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, name stream.Name, from stream.Offset, max int, wait time.Duration) (stream.Batch, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, name, from, max, wait)
}

// TestDelayAfterReadLimitsReads appends ten records per second. DelayAfterRead must
// limit the number of reads, and every record must be applied.
func TestDelayAfterReadLimitsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, recorder := &countingLog{Log: &standin.Log{}}, &offsetRecorder{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &stream.Follower{Log: log, Name: "s", Applier: recorder, Settings: stream.Settings{DelayAfterRead: 2 * time.Second}}
		go f.Run(ctx)
		for range 200 {
			appendN(t, log.Log, 1)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		checkOffsets(t, recorder, 0, 200)
		if got := log.reads.Load(); got > 25 {
			t.Errorf("reads in 25 s: got %d, want at most 25", got)
		}
	})
}

// Before its first read a follower has only just begun: it must not count as without contact
// for ever, as it would by the zero time.
func TestReadAgeBeginsWithRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		log.SetDown(true)
		f := &stream.Follower{Log: log, Name: "s", Applier: &offsetRecorder{}}
		if got := f.ReadAge(); got != 0 {
			t.Errorf("age before the start: got %s, want 0", got)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		if got, want := f.ReadAge(), 3*time.Second; got != want {
			t.Errorf("age without a read: got %s, want %s", got, want)
		}
	})
}
