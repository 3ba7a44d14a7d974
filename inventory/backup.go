package inventory

import (
	"time"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/replica"
)

// CopyDigest returns the digest and the epoch of a topic; ok is false if the copy is not
// complete.
func (s *State) CopyDigest(topic replica.Topic) (d replica.Digest, e replica.Epoch, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.copies[topic]
	return c.Digest(), c.Epoch(), isCurrent(c)
}

// isCurrent reports whether a copy is complete and holds all that a reader has read.
func isCurrent(c *replica.Copy) bool {
	_, readAt := c.ReadPosition()
	return !readAt.IsZero() && c.HasBeenComplete() && c.IsCurrent()
}

// BackupSnapshot returns a topic for a backup; ok is false if the copy is not complete.
func (s *State) BackupSnapshot(topic replica.Topic) (snap backup.Snapshot, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.copies[topic]
	if !isCurrent(c) {
		return backup.Snapshot{}, false
	}
	held, _ := c.ReadPosition()
	return backup.Snapshot{Topic: topic, EndOffset: held, Epoch: c.Epoch(), Digest: c.Digest(), Records: c.Live()}, true
}

// HasBeenComplete reports whether the copy of a topic was complete at some time.
func (s *State) HasBeenComplete(topic replica.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].HasBeenComplete()
}

// restoredReadAge is the age that the read of a restored topic counts as having: old enough
// that the node goes on trying to read the topic itself.
const restoredReadAge = time.Minute

// ApplyBackup merges a snapshot into a copy that was never complete, as if the topic had been
// read restoredReadAge ago, and returns the records that changed it.
func (s *State) ApplyBackup(snap backup.Snapshot, reader replica.ReaderID, now time.Time) (changed []replica.Record) {
	if s.HasBeenComplete(snap.Topic) {
		return nil
	}
	changed = s.ApplyListing(snap.Topic, replica.Listing{Records: snap.Records, EndOffset: snap.EndOffset, Epoch: snap.Epoch}, "backup", now)
	s.FinishRead(replica.ReadMark{Topic: snap.Topic, EndOffset: snap.EndOffset, Reader: reader, Epoch: snap.Epoch}, now.Add(-restoredReadAge))
	return changed
}
