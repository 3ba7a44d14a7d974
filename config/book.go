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

	mu             sync.Mutex
	current        atomic.Pointer[Configuration]
	latestSnapshot snapshotInfo
	hasGap         bool
	pendingRecords []stream.Record
	isScanning     bool
	nextScanOffset stream.Offset
}

// snapshotInfo is what is known of the newest snapshot in the stream.
type snapshotInfo struct {
	nextOffset stream.Offset
	recordedAt time.Time
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
	return b.hasGap
}

// Next is the offset of the next record to read.
func (b *Book) Next() stream.Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isScanning {
		return b.nextScanOffset
	}
	return b.Current().Next
}

// Skip starts a scan for a snapshot: the records before first are gone.
func (b *Book) Skip(first stream.Offset) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hasGap = true
	b.isScanning = true
	b.nextScanOffset = first
	b.pendingRecords = nil
	return nil
}

// Apply folds one record.
func (b *Book) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	payload, err := decodeRecord(rec.Payload)
	if eris.Is(err, ErrFormat) {
		return ErrFormat
	}
	if err == nil && payload.Snapshot != nil && payload.Snapshot.Configuration != nil {
		b.recordSnapshot(payload.Snapshot.Configuration, rec.Time)
	}
	if b.isScanning {
		return b.scanForSnapshot(rec, payload)
	}
	next, err := Fold(b.Current(), rec)
	if err != nil {
		return err
	}
	b.install(next)
	return nil
}

// scanForSnapshot gathers records after a gap until a snapshot bridges it.
func (b *Book) scanForSnapshot(rec stream.Record, payload recordPayload) error {
	b.pendingRecords = append(b.pendingRecords, rec)
	b.nextScanOffset = rec.Offset + 1
	if payload.Snapshot == nil || payload.Snapshot.Configuration == nil {
		return nil
	}
	return b.resumeFromSnapshot(payload.Snapshot.Configuration)
}

// resumeFromSnapshot ends the scan if the pending records reach from the configuration on.
func (b *Book) resumeFromSnapshot(c *Configuration) error {
	if len(b.pendingRecords) > 0 && c.Next < b.pendingRecords[0].Offset {
		return nil
	}
	if c.Next < b.Current().Next {
		return nil
	}
	c.buildRoutes()
	for _, rec := range b.pendingRecords {
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
	b.isScanning = false
	b.hasGap = false
	b.pendingRecords = nil
}

// Offer hands over a whole configuration from a peer; it is taken only if it
// is ahead of what this node holds. It reports whether it was taken.
func (b *Book) Offer(c *Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Known() && c.Next <= b.Current().Next {
		return false
	}
	c.buildRoutes()
	b.endScan()
	b.install(c)
	return true
}

// install makes c the configuration in force. The lock must be held.
func (b *Book) install(c *Configuration) {
	old := b.Current()
	notOlder := c.Next >= old.Next && c.Revision >= old.Revision
	b.Checks.Hold(notOlder, invariant.ConfigNeverReverts)
	if !notOlder {
		return
	}
	b.current.Store(c)
	if b.Changed != nil {
		b.Changed(c)
	}
}

// recordSnapshot remembers the newest snapshot seen. The lock must be held.
func (b *Book) recordSnapshot(c *Configuration, at time.Time) {
	if c.Next >= b.latestSnapshot.nextOffset {
		b.latestSnapshot = snapshotInfo{nextOffset: c.Next, recordedAt: at}
	}
}

// SnapshotDue reports whether a snapshot is wanted: the newest one is older
// than maxAge or more than maxRecords behind, and there is something new to
// cover or the old one is about to expire.
func (b *Book) SnapshotDue(now time.Time, maxAge time.Duration, maxRecords int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasGap || b.current.Load() == nil {
		return false
	}
	behind := b.Current().Next - b.latestSnapshot.nextOffset
	if behind == 0 && b.latestSnapshot.recordedAt.IsZero() {
		return false
	}
	return int(behind) >= maxRecords || now.Sub(b.latestSnapshot.recordedAt) >= maxAge
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
	c.buildRoutes()
	return c, nil
}
