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

// State holds the active configuration of this node, which never reverts to an
// older one. It applies the records of the stream as a stream.Applier and installs
// whole configurations from snapshots and peers. Its zero value is ready to
// use.
type State struct {
	// Checks counts violated invariants; nil disables the count.
	Checks *invariant.Checker
	// OnChange, if set, is called after a configuration is installed, with s.mu
	// held; it must not block.
	OnChange func(c *Configuration)
	// OnMalformed, if set, is called for each record that cannot be decoded and is skipped,
	// with s.mu held.
	OnMalformed func(offset stream.Offset, err error)

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
func (s *State) Current() *Configuration {
	c := s.current.Load()
	if c == nil {
		return &Configuration{}
	}
	return c
}

// HasConfiguration reports whether this node holds a whole configuration: it
// has applied the stream from its start, or installed one from a snapshot or a
// peer.
func (s *State) HasConfiguration() bool {
	return s.current.Load() != nil
}

// HasGap reports whether records expired before this node read them, so that it
// waits for a snapshot or for the configuration of a peer.
func (s *State) HasGap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasGap
}

// Next returns the offset of the next record to read.
func (s *State) Next() stream.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isScanning {
		return s.nextScanOffset
	}
	return s.Current().NextOffset
}

// Skip starts a scan for a snapshot, because the records before first have
// expired. The error is always nil.
func (s *State) Skip(first stream.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasGap = true
	s.isScanning = true
	s.nextScanOffset = first
	s.pendingRecords = nil
	return nil
}

// Apply applies one record, or keeps it during a scan for a snapshot. The only
// error is ErrNewerFormat; the record is then not applied.
func (s *State) Apply(rec stream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	payload, err := decodeRecord(rec.Payload)
	if eris.Is(err, ErrNewerFormat) {
		return ErrNewerFormat
	}
	if err != nil && s.OnMalformed != nil {
		s.OnMalformed(rec.Offset, err)
	}
	if err == nil && payload.Snapshot != nil && payload.Snapshot.Configuration != nil {
		s.updateLatestSnapshot(payload.Snapshot.Configuration, rec.AppendedAt)
	}
	if s.isScanning {
		return s.scanForSnapshot(rec, payload)
	}
	next, err := ApplyRecord(s.Current(), rec)
	if err != nil {
		return err
	}
	s.install(next)
	return nil
}

// scanForSnapshot keeps the records after a gap until a snapshot covers the
// gap. s.mu must be held.
func (s *State) scanForSnapshot(rec stream.Record, payload recordPayload) error {
	s.pendingRecords = append(s.pendingRecords, rec)
	s.nextScanOffset = rec.Offset + 1
	if payload.Snapshot == nil || payload.Snapshot.Configuration == nil {
		return nil
	}
	return s.resumeFromSnapshot(payload.Snapshot.Configuration)
}

// resumeFromSnapshot ends the scan if c covers the gap and is not older than
// the active configuration. It applies the pending records that c does not
// cover and installs the result. s.mu must be held.
func (s *State) resumeFromSnapshot(c *Configuration) error {
	if len(s.pendingRecords) > 0 && c.NextOffset < s.pendingRecords[0].Offset {
		return nil
	}
	if c.NextOffset < s.Current().NextOffset {
		return nil
	}
	c.buildRoutes()
	for _, rec := range s.pendingRecords {
		if rec.Offset < c.NextOffset {
			continue
		}
		next, err := ApplyRecord(c, rec)
		if err != nil {
			return err
		}
		c = next
	}
	s.endScan()
	s.install(c)
	return nil
}

// endScan resets the state of the scan. s.mu must be held.
func (s *State) endScan() {
	s.isScanning = false
	s.hasGap = false
	s.pendingRecords = nil
}

// InstallIfNewer installs a whole configuration from a peer if it is newer than
// the one that this node holds. It reports whether it was installed.
func (s *State) InstallIfNewer(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.HasConfiguration() && c.NextOffset <= s.Current().NextOffset {
		return false
	}
	c.buildRoutes()
	s.endScan()
	s.install(c)
	return true
}

// install makes c the active configuration. An older one is not installed and
// violates invariant.ConfigNeverReverts. s.mu must be held.
func (s *State) install(c *Configuration) {
	old := s.Current()
	notOlder := c.NextOffset >= old.NextOffset && c.Revision >= old.Revision
	s.Checks.Check(notOlder, invariant.ConfigNeverReverts)
	if !notOlder {
		return
	}
	s.current.Store(c)
	if s.OnChange != nil {
		s.OnChange(c)
	}
}

// updateLatestSnapshot sets latestSnapshot unless it covers more records than c.
// s.mu must be held.
func (s *State) updateLatestSnapshot(c *Configuration, recordTime time.Time) {
	if c.NextOffset >= s.latestSnapshot.nextOffset {
		s.latestSnapshot = snapshotInfo{nextOffset: c.NextOffset, recordedAt: recordTime}
	}
}

// SnapshotDue reports whether a snapshot must be written, because the newest
// one is at least maxAge old or at least maxRecords records behind. A snapshot
// of age maxAge is replaced even if nothing is new, since it is about to
// expire. If this node has read no snapshot, the first record makes one due.
// None is due while the node has a gap or no configuration.
func (s *State) SnapshotDue(now time.Time, maxAge time.Duration, maxRecords int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasGap || s.current.Load() == nil {
		return false
	}
	behind := s.Current().NextOffset - s.latestSnapshot.nextOffset
	if behind == 0 && s.latestSnapshot.recordedAt.IsZero() {
		return false
	}
	return int(behind) >= maxRecords || now.Sub(s.latestSnapshot.recordedAt) >= maxAge
}

// EncodeConfiguration encodes a configuration for a peer.
func EncodeConfiguration(c *Configuration) []byte {
	return codec.Encode(c)
}

// DecodeConfiguration decodes a configuration that EncodeConfiguration encoded.
func DecodeConfiguration(b []byte) (c *Configuration, err error) {
	defer func() { err = eris.Wrap(err, "decode configuration") }()
	c = &Configuration{}
	if err := codec.Decode(b, c); err != nil {
		return nil, err
	}
	c.buildRoutes()
	return c, nil
}
