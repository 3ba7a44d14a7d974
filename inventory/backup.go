package inventory

import (
	"time"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/replica"
)

// BackupSnapshot returns a topic for a backup; ok is false if the copy is not complete.
func (s *State) BackupSnapshot(topic replica.Topic) (snap backup.Snapshot, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.copies[topic]
	held, readAt := c.ReadPosition()
	if readAt.IsZero() || !c.HasBeenComplete() || !c.IsCurrent() {
		return backup.Snapshot{}, false
	}
	return backup.Snapshot{Topic: topic, EndOffset: held, Epoch: c.Epoch(), Digest: c.Digest(), Records: c.Live()}, true
}

// HasBeenComplete reports whether the copy of a topic was complete at some time.
func (s *State) HasBeenComplete(topic replica.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].HasBeenComplete()
}

// ApplyBackup merges a snapshot into a copy that was never complete, as if the topic had been
// read at readAt, and returns the records that changed it.
func (s *State) ApplyBackup(snap backup.Snapshot, reader replica.ReaderID, readAt, now time.Time) (changed []replica.Record) {
	if s.HasBeenComplete(snap.Topic) {
		return nil
	}
	changed = s.ApplyListing(snap.Topic, replica.Listing{Records: snap.Records, EndOffset: snap.EndOffset, Epoch: snap.Epoch}, "backup", now)
	s.FinishRead(replica.ReadMark{Topic: snap.Topic, EndOffset: snap.EndOffset, Reader: reader, Epoch: snap.Epoch}, readAt)
	return changed
}
