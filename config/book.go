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

// ErrGap means that records expired before this node read them and that no
// snapshot it has read covers them. The node takes the configuration from a
// peer or waits for a snapshot.
var ErrGap = eris.New("configuration records expired before they were read")

// Book holds the active configuration of this node, which never reverts to an
// older one. It applies the records of the stream as a stream.Fold and installs
// whole configurations from snapshots and peers. Its zero value is ready to
// use.
type State struct {
	// Checks counts violated invariants; nil disables the count.
	Checks *invariant.Checker
	// Changed, if set, is called after each installed configuration with b.mu
	// held; it must not block.
	OnChange func(c *Configuration)

	mu             sync.Mutex
	current        atomic.Pointer[Configuration]
	latestSnapshot snapshotInfo
	hasGap         bool            // records expired unread
	pendingRecords []stream.Record // read since the scan began
	isScanning     bool            // looking for a snapshot that covers the gap
	nextScanOffset stream.Offset
}

// snapshotInfo describes the newest snapshot read from the stream.
type snapshotInfo struct {
	nextOffset stream.Offset // first offset that the snapshot does not cover
	recordedAt time.Time     // time of its record by the log's clock
}

// Current returns the active configuration; it is never nil.
func (b *State) Current() *Configuration {
	c := b.current.Load()
	if c == nil {
		return &Configuration{}
	}
	return c
}

// Known reports whether this node holds a whole configuration: it has applied
// the stream from its start, or installed one from a snapshot or a peer.
func (b *State) HasConfiguration() bool {
	return b.current.Load() != nil
}

// Behind reports whether records expired before this node read them, so that it
// waits for a snapshot or for the configuration of a peer.
func (b *State) HasGap() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasGap
}

// Next returns the offset of the next record to read.
func (b *State) Next() stream.Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isScanning {
		return b.nextScanOffset
	}
	return b.Current().NextOffset
}

// Skip starts a scan for a snapshot, because the records before first have
// expired. The error is always nil.
func (b *State) Skip(first stream.Offset) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hasGap = true
	b.isScanning = true
	b.nextScanOffset = first
	b.pendingRecords = nil
	return nil
}

// Apply applies one record, or keeps it during a scan for a snapshot. The only
// error is ErrFormat; the record is then not applied.
func (b *State) Apply(rec stream.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	payload, err := decodeRecord(rec.Payload)
	if eris.Is(err, ErrNewerFormat) {
		return ErrNewerFormat
	}
	if err == nil && payload.Snapshot != nil && payload.Snapshot.Configuration != nil {
		b.recordSnapshot(payload.Snapshot.Configuration, rec.AppendedAt)
	}
	if b.isScanning {
		return b.scanForSnapshot(rec, payload)
	}
	next, err := ApplyRecord(b.Current(), rec)
	if err != nil {
		return err
	}
	b.install(next)
	return nil
}

// scanForSnapshot keeps the records after a gap until a snapshot covers the
// gap. b.mu must be held.
func (b *State) scanForSnapshot(rec stream.Record, payload recordPayload) error {
	b.pendingRecords = append(b.pendingRecords, rec)
	b.nextScanOffset = rec.Offset + 1
	if payload.Snapshot == nil || payload.Snapshot.Configuration == nil {
		return nil
	}
	return b.resumeFromSnapshot(payload.Snapshot.Configuration)
}

// resumeFromSnapshot ends the scan if c covers the gap and is not older than
// the active configuration. It applies the pending records after c and installs
// the result. b.mu must be held.
func (b *State) resumeFromSnapshot(c *Configuration) error {
	if len(b.pendingRecords) > 0 && c.NextOffset < b.pendingRecords[0].Offset {
		return nil
	}
	if c.NextOffset < b.Current().NextOffset {
		return nil
	}
	c.buildRoutes()
	for _, rec := range b.pendingRecords {
		if rec.Offset < c.NextOffset {
			continue
		}
		next, err := ApplyRecord(c, rec)
		if err != nil {
			return err
		}
		c = next
	}
	b.endScan()
	b.install(c)
	return nil
}

// endScan resets the state of the scan. b.mu must be held.
func (b *State) endScan() {
	b.isScanning = false
	b.hasGap = false
	b.pendingRecords = nil
}

// Offer installs a whole configuration from a peer if it is newer than the one
// that this node holds. It reports whether it was installed.
func (b *State) InstallIfNewer(c *Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.HasConfiguration() && c.NextOffset <= b.Current().NextOffset {
		return false
	}
	c.buildRoutes()
	b.endScan()
	b.install(c)
	return true
}

// install makes c the active configuration. An older one is not installed and
// violates invariant.ConfigNeverReverts. b.mu must be held.
func (b *State) install(c *Configuration) {
	old := b.Current()
	notOlder := c.NextOffset >= old.NextOffset && c.Revision >= old.Revision
	b.Checks.Check(notOlder, invariant.ConfigNeverReverts)
	if !notOlder {
		return
	}
	b.current.Store(c)
	if b.OnChange != nil {
		b.OnChange(c)
	}
}

// recordSnapshot keeps the position and time of the newest snapshot. b.mu must
// be held.
func (b *State) recordSnapshot(c *Configuration, at time.Time) {
	if c.NextOffset >= b.latestSnapshot.nextOffset {
		b.latestSnapshot = snapshotInfo{nextOffset: c.NextOffset, recordedAt: at}
	}
}

// SnapshotDue reports whether a snapshot must be written, because the newest
// one is at least maxAge old or at least maxRecords records behind. A snapshot
// of age maxAge is replaced even if nothing is new, since it is about to
// expire.
func (b *State) SnapshotDue(now time.Time, maxAge time.Duration, maxRecords int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasGap || b.current.Load() == nil {
		return false
	}
	behind := b.Current().NextOffset - b.latestSnapshot.nextOffset
	if behind == 0 && b.latestSnapshot.recordedAt.IsZero() {
		return false
	}
	return int(behind) >= maxRecords || now.Sub(b.latestSnapshot.recordedAt) >= maxAge
}

// EncodeWhole encodes a configuration for a peer.
func EncodeConfiguration(c *Configuration) []byte {
	return codec.Encode(c)
}

// DecodeWhole decodes a configuration that EncodeWhole encoded.
func DecodeConfiguration(b []byte) (c *Configuration, err error) {
	defer func() { err = eris.Wrap(err, "decode configuration") }()
	c = &Configuration{}
	if err := codec.Decode(b, c); err != nil {
		return nil, err
	}
	c.buildRoutes()
	return c, nil
}
