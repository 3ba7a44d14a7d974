package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// sinkCapacity is the number of lines that are buffered for a slow reader.
	// Further lines are dropped.
	sinkCapacity = 2048
	// maxQueuedBytes is the maximum length of the buffered lines together.
	maxQueuedBytes = 2 << 20
	// maxLinesPerSecond is the maximum number of lines per second of one event.
	maxLinesPerSecond = 200
)

// Sink writes log lines without blocking the caller. If the reader is too slow,
// lines are dropped and counted.
type Sink struct {
	lines chan []byte
	// queuedBytes is the length of the lines that are buffered.
	queuedBytes atomic.Int64
	dropped     atomic.Int64
	// stop is closed to end the writer goroutine, and done when it has ended.
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return s
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case b := <-s.lines:
			s.writeLine(w, b)
		case <-s.stop:
			s.drain(w)
			return
		}
	}
}

// drain writes the buffered lines.
func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case b := <-s.lines:
			s.writeLine(w, b)
		default:
			return
		}
	}
}

func (s *Sink) writeLine(w io.Writer, b []byte) {
	defer s.queuedBytes.Add(-int64(len(b)))
	// A write error cannot be reported, since the log itself has failed.
	_, _ = w.Write(b)
}

// Write buffers a copy of one line and never fails. It drops the line if the
// buffer is full, and may drop it once Close was called.
func (s *Sink) Write(b []byte) (int, error) {
	if s.queuedBytes.Add(int64(len(b))) > maxQueuedBytes || !s.queue(b) {
		s.queuedBytes.Add(-int64(len(b)))
		s.dropped.Add(1)
	}
	return len(b), nil
}

// queue buffers a copy of a line. It reports false if there are too many.
func (s *Sink) queue(b []byte) bool {
	select {
	case s.lines <- append([]byte(nil), b...):
		return true
	default:
		return false
	}
}

// Sync does nothing. Close writes the buffered lines.
func (s *Sink) Sync() error { return nil }

// TakeDroppedCount returns the number of lines that were dropped since its last
// call.
func (s *Sink) TakeDroppedCount() int64 { return s.dropped.Swap(0) }

// Close writes the buffered lines. It returns when they are written or timeout has
// passed. Goroutines may still log afterwards; their lines may be dropped.
func (s *Sink) Close(timeout time.Duration) {
	s.stopOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// NewLogger returns a logger that writes JSON lines to a sink. Each event has its
// own limit of lines per second, so that lines of successful calls do not displace
// those of failed calls.
func NewLogger(s *Sink, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			s.dropped.Add(1)
		}
	}))
	return zap.New(sampled)
}
