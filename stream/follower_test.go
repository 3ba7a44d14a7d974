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

// sum is a fold that keeps the offsets it was given.
type sum struct {
	mu      sync.Mutex
	next    stream.Offset
	applied []stream.Offset
	skipped []stream.Offset
	fail    error
}

func (s *sum) Next() stream.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

func (s *sum) Apply(rec stream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.fail
	}
	s.applied = append(s.applied, rec.Offset)
	s.next = rec.Offset + 1
	return nil
}

func (s *sum) Skip(first stream.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped = append(s.skipped, first)
	s.next = first
	return nil
}

// follow runs a follower of a fold until the test's bubble ends.
func follow(t *testing.T, log stream.Log, fold stream.Applier) *stream.Follower {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &stream.Follower{Log: log, Name: "s", Applier: fold}
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

func wantOrder(t *testing.T, s *sum, from, to stream.Offset) {
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

func TestFollowerThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &standin.Log{}, &sum{}
		f := follow(t, log, fold)
		appendN(t, log, 10)
		time.Sleep(time.Second)
		log.SetDown(true)
		time.Sleep(time.Hour)
		if got := time.Since(f.LastReadAt()); got < 59*time.Minute {
			t.Errorf("contact: got %s ago, want about an hour", got)
		}
		log.SetDown(false)
		appendN(t, log, 10)
		time.Sleep(5 * time.Second)
		wantOrder(t, fold, 0, 20)
		if !f.HasCaughtUp() {
			t.Error("caught up: got false, want true")
		}
	})
}

func TestFollowerLostAcksAndSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &standin.Log{}, &sum{}
		follow(t, log, fold)
		log.LoseAcks(5)
		log.SetLatency(300 * time.Millisecond)
		appendN(t, log, 10)
		time.Sleep(5 * time.Second)
		wantOrder(t, fold, 0, 10)
	})
}

func TestFollowerSkipsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &standin.Log{Retention: time.Minute}, &sum{}
		appendN(t, log, 5)
		time.Sleep(2 * time.Minute)
		appendN(t, log, 3)
		follow(t, log, fold)
		time.Sleep(5 * time.Second)
		wantOrder(t, fold, 5, 8)
		if got := len(fold.skipped); got != 1 || fold.skipped[0] != 5 {
			t.Errorf("skips: got %v, want one to 5", fold.skipped)
		}
	})
}

// staleLog answers every other read with the tail as it once was.
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

func TestFollowerKeepsTheNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &staleLog{Log: &standin.Log{}}, &sum{}
		appendN(t, log.Log, 3)
		follow(t, log, fold)
		time.Sleep(3 * time.Second)
		appendN(t, log.Log, 3)
		time.Sleep(20 * time.Second)
		wantOrder(t, fold, 0, 6)
	})
}

func TestFollowerStopsAtAFoldThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &standin.Log{}, &sum{fail: errors.New("newer format")}
		follow(t, log, fold)
		appendN(t, log, 3)
		time.Sleep(time.Minute)
		wantOrder(t, fold, 0, 0)
		fold.mu.Lock()
		fold.fail = nil
		fold.mu.Unlock()
		time.Sleep(time.Minute)
		wantOrder(t, fold, 0, 3)
	})
}

// countingLog counts reads.
type countingLog struct {
	*standin.Log
	reads atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, name stream.Name, from stream.Offset, most int, wait time.Duration) (stream.Batch, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, name, from, most, wait)
}

// TestPace appends ten records a second; they are read in few pieces, and none
// is lost.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, fold := &countingLog{Log: &standin.Log{}}, &sum{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &stream.Follower{Log: log, Name: "s", Applier: fold, Settings: stream.Settings{DelayAfterRead: 2 * time.Second}}
		go f.Run(ctx)
		for range 200 {
			appendN(t, log.Log, 1)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		wantOrder(t, fold, 0, 200)
		if got := log.reads.Load(); got > 25 {
			t.Errorf("reads in 25 s: got %d, want at most 25", got)
		}
	})
}
