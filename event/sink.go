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
	// sinkLines is how many lines wait for a slow reader; more are left out.
	sinkLines = 2048
	// perSecond is how many lines of one event are written in a second.
	perSecond = 200
)

// Sink writes log lines without ever blocking: when the reader is slow, lines
// are left out and counted.
type Sink struct {
	lines chan []byte
	cut   atomic.Int64
	// closing ends the writing, and done says that it has ended.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return s
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case b := <-s.lines:
			writeLine(w, b)
		case <-s.closing:
			s.drain(w)
			return
		}
	}
}

// drain writes the lines that wait.
func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case b := <-s.lines:
			writeLine(w, b)
		default:
			return
		}
	}
}

func writeLine(w io.Writer, b []byte) {
	// There is nowhere to tell of a standard output that is gone.
	_, _ = w.Write(b)
}

// Write takes one line; once the sink closes it may leave it out.
func (s *Sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.cut.Add(1)
	}
	return len(b), nil
}

// Sync does nothing; Close waits for what was taken.
func (s *Sink) Sync() error { return nil }

// Cut returns how many lines were left out since the last call.
func (s *Sink) TakeDroppedCount() int64 { return s.cut.Swap(0) }

// Close writes what was taken before it, for at most the given time. Loops that end
// later may still log; their lines are left out.
func (s *Sink) Close(patience time.Duration) {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

// NewLogger returns a logger of JSON lines over a sink. Each event is bounded to
// some lines a second; those of failures are bounded apart from those of success.
func NewLogger(s *Sink, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			s.cut.Add(1)
		}
	}))
	return zap.New(sampled)
}
