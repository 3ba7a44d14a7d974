package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedWriter blocks each write until release is closed, like standard output
// whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// A paused reader of the log must not block the goroutines that log. Lines beyond
// the buffer are dropped and counted.
func TestSinkDoesNotBlockOnPausedReader(t *testing.T) {
	release := make(chan struct{})
	sink := NewSink(blockedWriter{release})
	defer sink.Close(time.Second)
	defer close(release)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * sinkCapacity {
			sink.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing: got blocked, want no wait")
	}
	if got := sink.TakeDroppedCount(); got < 8*sinkCapacity {
		t.Errorf("dropped lines: got %d, want at least %d", got, 8*sinkCapacity)
	}
}

// Long lines that wait for a paused reader must not take more memory than a bound.
func TestLongLinesInUnreadLogAreDropped(t *testing.T) {
	release := make(chan struct{})
	sink := NewSink(blockedWriter{release})
	line := bytes.Repeat([]byte("x"), 100<<10)
	for range sinkCapacity {
		sink.Write(line)
	}
	if got := sink.queuedBytes.Load(); got > maxQueuedBytes {
		t.Errorf("buffered bytes: got %d, want at most %d", got, maxQueuedBytes)
	}
	close(release)
	sink.Close(10 * time.Second)
	if got := sink.queuedBytes.Load(); got != 0 {
		t.Errorf("buffered bytes at the end: got %d, want none", got)
	}
}

// Callers choose the IDs of their requests, which may be as long as a head.
func TestLongRequestIDIsShortened(t *testing.T) {
	if got := RequestID(strings.Repeat("x", 1000)).String; len(got) != maxIDBytes {
		t.Errorf("long ID: got %d bytes, want %d", len(got), maxIDBytes)
	}
	if got := RequestID("9c41d07be2a35f68").String; got != "9c41d07be2a35f68" {
		t.Errorf("ordinary ID: got %q, want it whole", got)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), part)
}

// Goroutines that end late may still log while the process closes the sink. Lines
// written before Close must not be lost, and a second Close must return.
func TestSinkAcceptsWritesDuringClose(t *testing.T) {
	const writers, lines = 8, 200
	var out bytes.Buffer
	s := NewSink(&out)
	if _, err := s.Write([]byte("first\n")); err != nil {
		t.Fatal(err)
	}
	var lateWriters sync.WaitGroup
	for range writers {
		lateWriters.Go(func() {
			for range lines {
				// A late line may be written or dropped.
				_, _ = s.Write([]byte("late\n"))
			}
		})
	}
	s.Close(time.Minute)
	lateWriters.Wait()
	if got := out.String(); !strings.HasPrefix(got, "first\n") {
		t.Errorf("lines: got %.20q, want the line from before Close first", got)
	}
	s.Close(time.Minute)
}

// At ten times the limit, the number of lines must stay bounded, and lines of
// successful calls must not displace those of refused calls.
func TestLogRateIsLimitedPerEvent(t *testing.T) {
	var out lockedBuffer
	sink := NewSink(&out)
	logger := NewLogger(sink, zap.InfoLevel)
	for range 10 * maxLinesPerSecond {
		CallDone.Log(logger, zap.String("id", "good"))
	}
	CallNotRun.Log(logger, zap.String("id", "refused"))
	sink.Close(5 * time.Second)
	if got := out.count("good"); got > 3*maxLinesPerSecond {
		t.Errorf("lines of successful calls: got %d, want at most %d", got, 3*maxLinesPerSecond)
	}
	if got := out.count("refused"); got != 1 {
		t.Errorf("lines of refused calls: got %d, want 1", got)
	}
	if sink.TakeDroppedCount() == 0 {
		t.Error("dropped lines: got 0, want more")
	}
}

func BenchmarkLine(b *testing.B) {
	sink := NewSink(&lockedBuffer{})
	defer sink.Close(time.Second)
	logger := NewLogger(sink, zap.InfoLevel)
	for b.Loop() {
		CallDone.Log(logger, zap.String("id", "good"), zap.Int64("took-ms", 12))
	}
}
