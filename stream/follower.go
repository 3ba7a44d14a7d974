package stream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// Fold takes the records of a stream in order.
type Fold interface {
	// Apply folds one record; the follower calls it with consecutive offsets
	// except after Skip. An error stops the follower at this record until the
	// next try.
	Apply(rec Record) error
	// Skip says that the records before the given offset have expired unread.
	// An error keeps the follower where it is.
	Skip(first Offset) error
	// Next is the offset of the next record the fold wants.
	Next() Offset
}

// Settings of a Follower; zero values mean the defaults.
type Settings struct {
	// Wait is how long one read waits for new records. Default 2 s.
	Wait time.Duration
	// MaxRecords is the most records of one read. Default 1024.
	MaxRecords int
	// Pace is the least time between two reads that bring records, for streams
	// that may be read a little later but not in many small pieces. Default none.
	Pace time.Duration
	// RetryLow and RetryHigh bound the wait after a failed read; the wait
	// doubles between them and is spread by jitter. Defaults 50 ms and 2 s.
	RetryLow, RetryHigh time.Duration
}

const (
	defaultWait          = 2 * time.Second
	defaultMaxRecords    = 1024
	defaultRetryMinDelay = 50 * time.Millisecond
	defaultRetryMaxDelay = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Wait == 0 {
		s.Wait = defaultWait
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = defaultMaxRecords
	}
	if s.RetryLow == 0 {
		s.RetryLow = defaultRetryMinDelay
	}
	if s.RetryHigh == 0 {
		s.RetryHigh = defaultRetryMaxDelay
	}
	return s
}

// Follower reads one stream for as long as it runs and hands each record to a
// fold once. All methods may be called from any goroutine.
type Follower struct {
	Log      Log
	Name     Name
	Fold     Fold
	Settings Settings
	// Failed, if set, is told of each failed read or fold.
	Failed func(err error)

	mu          sync.Mutex
	lastReadAt  time.Time
	hasCaughtUp bool
	advanced    chan struct{}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	cfg := f.Settings.withDefaults()
	backoff := cfg.RetryLow
	for ctx.Err() == nil {
		err := f.step(ctx, cfg)
		if err == nil {
			backoff = cfg.RetryLow
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if f.Failed != nil {
			f.Failed(err)
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, cfg.RetryHigh)
	}
}

func (f *Follower) step(ctx context.Context, cfg Settings) error {
	from := f.Fold.Next()
	sentAt := time.Now()
	wait := cfg.Wait
	if !f.CaughtUp() {
		wait = 0
	}
	batch, err := f.Log.Read(ctx, f.Name, from, cfg.MaxRecords, wait)
	if err != nil {
		return err
	}
	if batch.Next < from {
		// An old tail read after a newer one: keep the newer.
		pause.For(ctx, jitter(cfg.RetryLow))
		return nil
	}
	if batch.First > from {
		if err := f.Fold.Skip(batch.First); err != nil {
			return err
		}
	}
	if err := f.applyAll(batch.Records); err != nil {
		return err
	}
	f.recordRead(sentAt, f.Fold.Next() >= batch.Next)
	if len(batch.Records) > 0 && len(batch.Records) < cfg.MaxRecords {
		pause.For(ctx, cfg.Pace)
	}
	return nil
}

func (f *Follower) applyAll(records []Record) error {
	for _, rec := range records {
		if rec.Offset != f.Fold.Next() {
			continue
		}
		if err := f.Fold.Apply(rec); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) recordRead(sentAt time.Time, reachedEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = sentAt
	f.hasCaughtUp = f.hasCaughtUp || reachedEnd
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

// CaughtUp reports whether the follower has once reached the end of the stream.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasCaughtUp
}

// Contact is when the latest successful read was sent; the zero time if none.
func (f *Follower) Contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

// Advanced returns a channel that is closed at the next successful read.
func (f *Follower) Advanced() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.advanced == nil {
		f.advanced = make(chan struct{})
	}
	return f.advanced
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
