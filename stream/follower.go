package stream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// Applier applies the records of a stream in order.
type Applier interface {
	// Apply applies one record. Offsets are consecutive except after Skip. After
	// an error the follower retries from the same record.
	Apply(rec Record) error
	// Skip is called if the records before the given offset have expired unread.
	// After an error the follower keeps its position.
	Skip(first Offset) error
	// Next returns the offset of the next record to apply.
	Next() Offset
}

// Settings configures a Follower; zero values mean the defaults.
type Settings struct {
	// ReadWait is the maximum time that one read waits for new records. Default 2 s.
	ReadWait time.Duration
	// MaxRecords is the maximum number of records of one read. Default 1024.
	MaxRecords int
	// DelayAfterRead is the delay after a read that returned records, but fewer than
	// MaxRecords. It replaces many small reads by fewer larger ones on streams that
	// may be read with some delay. Default none.
	DelayAfterRead time.Duration
	// MinRetryDelay and MaxRetryDelay are the limits of the delay after a failed read,
	// which doubles with each failure and gets jitter. Defaults 50 ms and 2 s.
	MinRetryDelay, MaxRetryDelay time.Duration
}

const (
	defaultReadWait      = 2 * time.Second
	defaultMaxRecords    = 1024
	defaultMinRetryDelay = 50 * time.Millisecond
	defaultMaxRetryDelay = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.ReadWait == 0 {
		s.ReadWait = defaultReadWait
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = defaultMaxRecords
	}
	if s.MinRetryDelay == 0 {
		s.MinRetryDelay = defaultMinRetryDelay
	}
	if s.MaxRetryDelay == 0 {
		s.MaxRetryDelay = defaultMaxRetryDelay
	}
	return s
}

// Follower reads one stream while Run is running and applies each record once. All
// methods may be called from any goroutine.
type Follower struct {
	Log      Log
	Name     Name
	Applier  Applier
	Settings Settings
	// OnError, if set, is called after each failed read, Apply or Skip.
	OnError func(err error)

	mu sync.Mutex
	// lastReadAt is when the latest successful read was sent, or when Run began.
	lastReadAt  time.Time
	hasCaughtUp bool
	nextRead    chan struct{}
}

// Run follows the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	cfg := f.Settings.withDefaults()
	f.mu.Lock()
	f.lastReadAt = time.Now()
	f.mu.Unlock()
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

// step makes one read and applies its records.
func (f *Follower) step(ctx context.Context, cfg Settings) error {
	from := f.Applier.Next()
	sentAt := time.Now()
	wait := cfg.ReadWait
	if !f.HasCaughtUp() {
		// Without waiting, the end of the stream is found at once, also if the
		// stream has no new records.
		wait = 0
	}
	batch, err := f.Log.Read(ctx, f.Name, from, cfg.MaxRecords, wait)
	if err != nil {
		return err
	}
	if batch.NextOffset < from {
		// The read is stale: it ends before a record that was already applied.
		pause.For(ctx, jitter(cfg.MinRetryDelay))
		return nil
	}
	if batch.FirstOffset > from {
		if err := f.Applier.Skip(batch.FirstOffset); err != nil {
			return err
		}
	}
	if err := f.applyAll(batch.Records); err != nil {
		return err
	}
	f.finishRead(sentAt, f.Applier.Next() >= batch.NextOffset)
	if len(batch.Records) > 0 && len(batch.Records) < cfg.MaxRecords {
		pause.For(ctx, cfg.DelayAfterRead)
	}
	return nil
}

// applyAll applies records in order and ignores those that are not next.
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

// finishRead stores the result of a successful read and closes the channel that
// NextRead returned.
func (f *Follower) finishRead(sentAt time.Time, reachedEnd bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = sentAt
	f.hasCaughtUp = f.hasCaughtUp || reachedEnd
	if f.nextRead != nil {
		close(f.nextRead)
		f.nextRead = nil
	}
}

// HasCaughtUp reports whether the follower has ever reached the end of the stream.
func (f *Follower) HasCaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasCaughtUp
}

// ReadAge returns the time since the latest successful read was sent or, before the first
// one, since Run began; zero before that.
func (f *Follower) ReadAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastReadAt.IsZero() {
		return 0
	}
	return time.Since(f.lastReadAt)
}

// NextRead returns a channel that is closed after the next successful read.
func (f *Follower) NextRead() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextRead == nil {
		f.nextRead = make(chan struct{})
	}
	return f.nextRead
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
