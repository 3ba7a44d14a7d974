package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/rotisserie/eris"
)

// ErrGap says that records expired before this node read them and that no
// snapshot it has seen covers them; the node takes the configuration from a
// peer, or waits for a snapshot.
var ErrGap = eris.New("records of the configuration expired unread")

// Book holds the configuration in force at this node and moves it forward
// only. It folds the stream (it is a stream.Fold) and installs whole
// configurations from snapshots and peers. Its zero value is ready.
type Book struct {
	// Checks is told of each broken invariant; nil means none is told.
	Checks *invariant.Checks
	// Changed, if set, is called after each step forward, with the lock held;
	// it must return at once.
	Changed func(c *Configuration)

	mu       sync.Mutex
	current  atomic.Pointer[Configuration]
	snapshot snapshotMark
	gap      bool
	pending  []stream.Record
	scanning bool
	scanNext stream.Offset
}

// snapshotMark is what is known of the newest snapshot in the stream.
type snapshotMark struct {
	covers stream.Offset
	at     time.Time
}

// Current returns the configuration in force; it is never nil.
func (b *Book) Current() *Configuration {
	c := b.current.Load()
	if c == nil {
		return &Configuration{}
	}
	return c
}

// Known reports whether this node holds a whole configuration: it has folded
// the stream from its start, or installed a snapshot or a peer's whole.
func (b *Book) Known() bool {
	return b.current.Load() != nil
}

// Behind reports whether records expired before this node read them, so that
// it waits for a snapshot or a peer's whole.
func (b *Book) Behind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gap
}

// Next is the offset of the next record to read.
func (b *Book) Next() stream.Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.scanning {
		return b.scanNext
	}
	return b.Current().Next
}

// Skip starts a scan for a snapshot: the records before first are gone.
func (b *Book) Skip(first stream.Offset) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gap = true
	b.scanning = true
	b.scanNext = first
	b.pending = nil
	return nil
}

// Apply folds one record.
func (b *Book) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, err := decodeEntry(rec.Payload)
	if eris.Is(err, ErrFormat) {
		return ErrFormat
	}
	if err == nil && e.Snapshot != nil && e.Snapshot.Configuration != nil {
		b.noteSnapshot(e.Snapshot.Configuration, rec.Time)
	}
	if b.scanning {
		return b.scan(rec, e)
	}
	next, err := Fold(b.Current(), rec)
	if err != nil {
		return err
	}
	b.install(next)
	return nil
}

// scan gathers records after a gap until a snapshot bridges it.
func (b *Book) scan(rec stream.Record, e entry) error {
	b.pending = append(b.pending, rec)
	b.scanNext = rec.Offset + 1
	if e.Snapshot == nil || e.Snapshot.Configuration == nil {
		return nil
	}
	return b.bridge(e.Snapshot.Configuration)
}

// bridge ends the scan if the pending records reach from the configuration on.
func (b *Book) bridge(c *Configuration) error {
	if len(b.pending) > 0 && c.Next < b.pending[0].Offset {
		return nil
	}
	if c.Next < b.Current().Next {
		return nil
	}
	c.index()
	for _, rec := range b.pending {
		if rec.Offset < c.Next {
			continue
		}
		next, err := Fold(c, rec)
		if err != nil {
			return err
		}
		c = next
	}
	b.endScan()
	b.install(c)
	return nil
}

func (b *Book) endScan() {
	b.scanning = false
	b.gap = false
	b.pending = nil
}

// Offer hands over a whole configuration from a peer; it is taken only if it
// is ahead of what this node holds. It reports whether it was taken.
func (b *Book) Offer(c *Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Known() && c.Next <= b.Current().Next {
		return false
	}
	c.index()
	b.endScan()
	b.install(c)
	return true
}

// install makes c the configuration in force. The lock must be held.
func (b *Book) install(c *Configuration) {
	old := b.Current()
	ahead := c.Next >= old.Next && c.Revision >= old.Revision
	b.Checks.Hold(ahead, invariant.ConfigNeverReverts)
	if !ahead {
		return
	}
	b.current.Store(c)
	if b.Changed != nil {
		b.Changed(c)
	}
}

// noteSnapshot remembers the newest snapshot seen. The lock must be held.
func (b *Book) noteSnapshot(c *Configuration, at time.Time) {
	if c.Next >= b.snapshot.covers {
		b.snapshot = snapshotMark{covers: c.Next, at: at}
	}
}

// SnapshotDue reports whether a snapshot is wanted: the newest one is older
// than maxAge or more than maxRecords behind, and there is something new to
// cover or the old one is about to expire.
func (b *Book) SnapshotDue(now time.Time, maxAge time.Duration, maxRecords int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gap || b.current.Load() == nil {
		return false
	}
	behind := b.Current().Next - b.snapshot.covers
	if behind == 0 && b.snapshot.at.IsZero() {
		return false
	}
	return int(behind) >= maxRecords || now.Sub(b.snapshot.at) >= maxAge
}

// EncodeWhole returns a configuration as bytes for a peer.
func EncodeWhole(c *Configuration) []byte {
	return codec.Encode(c)
}

// DecodeWhole reads a configuration that EncodeWhole wrote.
func DecodeWhole(b []byte) (c *Configuration, err error) {
	defer func() { err = eris.Wrap(err, "decode a configuration") }()
	c = &Configuration{}
	if err := codec.Decode(b, c); err != nil {
		return nil, err
	}
	c.index()
	return c, nil
}
