package standin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/stream"
)

// ErrAway is what the log answers while it is down.
var ErrLogUnavailable = eris.New("the log is away")

// ErrLostAck is what the log answers when an append took effect but its
// acknowledgement is lost.
var ErrLostAck = eris.New("the acknowledgement was lost")

// Log is an append-only log in memory; it is a stream.Log. Its zero value keeps
// records for ever.
type Log struct {
	// Retention is how long records are kept; zero means for ever.
	Retention time.Duration

	mu       sync.Mutex
	streams  map[stream.Name]*records
	down     bool
	slow     time.Duration
	loseAcks int
	appends  int
}

type records struct {
	first stream.Offset
	kept  []stream.Record
	grown chan struct{}
}

// SetDown makes every call fail, or work again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetSlow delays every call.
func (l *Log) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// LoseAcks makes the next n appends take effect without acknowledgement.
func (l *Log) LoseAcks(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAcks = n
}

// Appends is how many records were appended in all.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds a record.
func (l *Log) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if err := l.reach(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	o = s.first + stream.Offset(len(s.kept))
	s.kept = append(s.kept, stream.Record{Offset: o, AppendedAt: time.Now().UTC().Round(0), Payload: payload})
	l.appends++
	if s.grown != nil {
		close(s.grown)
		s.grown = nil
	}
	if l.loseAcks > 0 {
		l.loseAcks--
		return 0, ErrLostAck
	}
	return o, nil
}

// Read returns records from an offset on.
func (l *Log) Read(ctx context.Context, name stream.Name, from stream.Offset, most int, wait time.Duration) (b stream.Batch, err error) {
	if err := l.reach(ctx); err != nil {
		return stream.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, grown, err := l.read(name, from, most)
		if err != nil || len(b.Records) > 0 || wait <= 0 || b.FirstOffset > from {
			return b, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return stream.Batch{}, ctx.Err()
		}
	}
}

func (l *Log) read(name stream.Name, from stream.Offset, most int) (b stream.Batch, grown chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return stream.Batch{}, nil, ErrLogUnavailable
	}
	s := l.stream(name)
	l.expire(s)
	b = stream.Batch{FirstOffset: s.first, NextOffset: s.first + stream.Offset(len(s.kept))}
	if start := max(from, s.first); start < b.NextOffset {
		tail := s.kept[start-s.first:]
		b.Records = append(b.Records, tail[:min(len(tail), most)]...)
	}
	if s.grown == nil {
		s.grown = make(chan struct{})
	}
	return b, s.grown, nil
}

// reach waits out the log's slowness and fails while it is down.
func (l *Log) reach(ctx context.Context) error {
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	if slow > 0 {
		timer := time.NewTimer(slow)
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

// Expire drops the records of a stream before an offset, at once.
func (l *Log) Expire(name stream.Name, before stream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.kept) > 0 && s.first < before {
		s.kept = s.kept[1:]
		s.first++
	}
}

func (l *Log) expire(s *records) {
	if l.Retention == 0 {
		return
	}
	oldest := time.Now().Add(-l.Retention)
	for len(s.kept) > 0 && s.kept[0].AppendedAt.Before(oldest) {
		s.kept = s.kept[1:]
		s.first++
	}
}

func (l *Log) stream(name stream.Name) *records {
	if l.streams == nil {
		l.streams = map[stream.Name]*records{}
	}
	s := l.streams[name]
	if s == nil {
		s = &records{}
		l.streams[name] = s
	}
	return s
}
