package standin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/stream"
)

// ErrLogUnavailable is the error of calls to the log while it is down.
var ErrLogUnavailable = eris.New("the log is unavailable")

// ErrLostAck is the error of an append that took effect but whose acknowledgement
// was lost.
var ErrLostAck = eris.New("the acknowledgement was lost")

// Log is an append-only log in memory. It is a stream.Log. The zero value keeps
// records forever.
type Log struct {
	// Retention is how long records are kept; zero means forever.
	Retention time.Duration

	mu          sync.Mutex
	streams     map[stream.Name]*streamState
	down        bool
	latency     time.Duration
	acksToLose  int
	appendCount int
}

type streamState struct {
	first    stream.Offset
	records  []stream.Record
	appended chan struct{}
}

// SetDown sets whether every call fails.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetLatency sets the delay of every call; zero means none.
func (l *Log) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// LoseAcks makes the next n appends take effect but return ErrLostAck.
func (l *Log) LoseAcks(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acksToLose = n
}

// AppendCount returns the number of records appended so far.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Append appends a record and returns its offset.
func (l *Log) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if err := l.awaitAvailable(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	o = s.first + stream.Offset(len(s.records))
	s.records = append(s.records, stream.Record{Offset: o, AppendedAt: time.Now().UTC().Round(0), Payload: payload})
	l.appendCount++
	if s.appended != nil {
		close(s.appended)
		s.appended = nil
	}
	if l.acksToLose > 0 {
		l.acksToLose--
		return 0, ErrLostAck
	}
	return o, nil
}

// Read returns at most limit records from an offset on. If there are none it waits for
// an append, but not longer than wait; it does not wait if records from that offset
// on have expired.
func (l *Log) Read(ctx context.Context, name stream.Name, from stream.Offset, limit int, wait time.Duration) (b stream.Batch, err error) {
	if err := l.awaitAvailable(ctx); err != nil {
		return stream.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, appended, err := l.read(name, from, limit)
		if err != nil || len(b.Records) > 0 || wait <= 0 || b.FirstOffset > from {
			return b, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return stream.Batch{}, ctx.Err()
		}
	}
}

func (l *Log) read(name stream.Name, from stream.Offset, limit int) (b stream.Batch, appended chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return stream.Batch{}, nil, ErrLogUnavailable
	}
	s := l.stream(name)
	l.expire(s)
	b = stream.Batch{FirstOffset: s.first, NextOffset: s.first + stream.Offset(len(s.records))}
	if start := max(from, s.first); start < b.NextOffset {
		tail := s.records[start-s.first:]
		b.Records = append(b.Records, tail[:min(len(tail), limit)]...)
	}
	if s.appended == nil {
		s.appended = make(chan struct{})
	}
	return b, s.appended, nil
}

// awaitAvailable waits for the configured delay and returns an error if the log
// is down.
func (l *Log) awaitAvailable(ctx context.Context) error {
	l.mu.Lock()
	latency := l.latency
	l.mu.Unlock()
	if latency > 0 {
		timer := time.NewTimer(latency)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return ErrLogUnavailable
	}
	return ctx.Err()
}

// Expire drops the records of a stream before an offset immediately.
func (l *Log) Expire(name stream.Name, before stream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < before {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) expire(s *streamState) {
	if l.Retention == 0 {
		return
	}
	oldest := time.Now().Add(-l.Retention)
	for len(s.records) > 0 && s.records[0].AppendedAt.Before(oldest) {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) stream(name stream.Name) *streamState {
	if l.streams == nil {
		l.streams = map[stream.Name]*streamState{}
	}
	s := l.streams[name]
	if s == nil {
		s = &streamState{}
		l.streams[name] = s
	}
	return s
}
