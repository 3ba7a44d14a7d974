package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stuck is a reader of standard output that stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Nothing that is logged waits for whoever reads the log; what is left out is
// counted.
func TestPausedReaderBlocksNobody(t *testing.T) {
	release := make(chan struct{})
	sink := NewSink(stuck{release})
	defer sink.Close(time.Second)
	defer close(release)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * sinkLines {
			sink.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing: got blocked, want no wait")
	}
	if got := sink.TakeDroppedCount(); got < 8*sinkLines {
		t.Errorf("left out: got %d, want %d at least", got, 8*sinkLines)
	}
}

// lockedBuffer is a buffer for one writer and a test that reads.
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

// Ten times the load does not write ten times the lines, and the lines of good
// calls do not push out those of refused ones.
// Loops that end a little late still log while the process closes its log.
func TestLinesWhileTheSinkCloses(t *testing.T) {
	const writers, lines = 8, 200
	var out bytes.Buffer
	s := NewSink(&out)
	if _, err := s.Write([]byte("first\n")); err != nil {
		t.Fatal(err)
	}
	var late sync.WaitGroup
	for range writers {
		late.Go(func() {
			for range lines {
				// Whether a late line is written or left out does not matter.
				_, _ = s.Write([]byte("late\n"))
			}
		})
	}
	s.Close(time.Minute)
	late.Wait()
	if got := out.String(); !strings.HasPrefix(got, "first\n") {
		t.Errorf("lines: got %.20q, want the one from before first", got)
	}
	s.Close(time.Minute)
}

func TestVolumeIsBounded(t *testing.T) {
	var out lockedBuffer
	sink := NewSink(&out)
	logger := NewLogger(sink, zap.InfoLevel)
	for range 10 * perSecond {
		CallDone.Log(logger, zap.String("id", "good"))
	}
	CallNotRun.Log(logger, zap.String("id", "refused"))
	sink.Close(5 * time.Second)
	if got := out.count("good"); got > 3*perSecond {
		t.Errorf("lines of good calls: got %d, want %d at most", got, 3*perSecond)
	}
	if got := out.count("refused"); got != 1 {
		t.Errorf("lines of refused calls: got %d, want 1", got)
	}
	if sink.TakeDroppedCount() == 0 {
		t.Error("left out: got 0, want a count")
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
