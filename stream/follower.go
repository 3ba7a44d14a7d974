package stream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// Fold takes the records of a stream in order.
type Applier interface {
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
	ReadWait time.Duration
	// MaxRecords is the most records of one read. Default 1024.
	MaxRecords int
	// Pace is the least time between two reads that bring records, for streams
	// that may be read a little later but not in many small pieces. Default none.
	DelayAfterRead time.Duration
	// RetryLow and RetryHigh bound the wait after a failed read; the wait
	// doubles between them and is spread by jitter. Defaults 50 ms and 2 s.
	MinRetryDelay, MaxRetryDelay time.Duration
}

const (
	defaultWait       = 2 * time.Second
	defaultMaxRecords = 1024
	defaultRetryLow   = 50 * time.Millisecond
	defaultRetryHigh  = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.ReadWait == 0 {
		s.ReadWait = defaultWait
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = defaultMaxRecords
	}
	if s.MinRetryDelay == 0 {
		s.MinRetryDelay = defaultRetryLow
	}
	if s.MaxRetryDelay == 0 {
		s.MaxRetryDelay = defaultRetryHigh
	}
	return s
}

// Follower reads one stream for as long as it runs and hands each record to a
// fold once. All methods may be called from any goroutine.
type Follower struct {
	Log      Log
	Name     Name
	Applier  Applier
	Settings Settings
	// Failed, if set, is told of each failed read or fold.
	OnError func(err error)

	mu       sync.Mutex
	contact  time.Time
	caughtUp bool
	advanced chan struct{}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	cfg := f.Settings.withDefaults()
	backoff := cfg.MinRetryDelay
	for ctx.Err() == nil {
		err := f.step(ctx, cfg)
		if err == nil {
			backoff = cfg.MinRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if f.OnError != nil {
			f.OnError(err)
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, cfg.MaxRetryDelay)
	}
}

func (f *Follower) step(ctx context.Context, cfg Settings) error {
	from := f.Applier.Next()
	asked := time.Now()
	wait := cfg.ReadWait
	if !f.HasCaughtUp() {
		wait = 0
	}
	b, err := f.Log.Read(ctx, f.Name, from, cfg.MaxRecords, wait)
	if err != nil {
		return err
	}
	if b.NextOffset < from {
		// An old tail read after a newer one: keep the newer.
		pause.For(ctx, jitter(cfg.MinRetryDelay))
		return nil
	}
	if b.FirstOffset > from {
		if err := f.Applier.Skip(b.FirstOffset); err != nil {
			return err
		}
	}
	if err := f.applyAll(b.Records); err != nil {
		return err
	}
	f.noteContact(asked, f.Applier.Next() >= b.NextOffset)
	if len(b.Records) > 0 && len(b.Records) < cfg.MaxRecords {
		pause.For(ctx, cfg.DelayAfterRead)
	}
	return nil
}

func (f *Follower) applyAll(records []Record) error {
	for _, rec := range records {
		if rec.Offset != f.Applier.Next() {
			continue
		}
		if err := f.Applier.Apply(rec); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) noteContact(asked time.Time, caughtUp bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact = asked
	f.caughtUp = f.caughtUp || caughtUp
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

// CaughtUp reports whether the follower has once reached the end of the stream.
func (f *Follower) HasCaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// Contact is when the latest successful read was sent; the zero time if none.
func (f *Follower) LastReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Advanced returns a channel that is closed at the next successful read.
func (f *Follower) NextRead() <-chan struct{} {
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
