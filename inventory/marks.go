package inventory

import (
	"time"

	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

// mismatchTolerance is how long a copy of the targets must differ from that of the reader
// before all records are requested from a peer. Records in transit resolve most
// differences, and all records of a large fleet are a long message. Operators write rarely
// and send records before marks, so a difference in their topic is a lost record.
var mismatchTolerance = [replica.TopicCount]time.Duration{replica.Targets: 500 * time.Millisecond}

// DetectLastingMismatch compares the digest of a copy with that of a reader that has read
// at least as far; a mark of an earlier offset is ignored. It reports whether they have
// differed for mismatchTolerance, or differ at all if the copy has no mark yet.
func (s *State) DetectLastingMismatch(m replica.ReadMark, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies[m.Topic].IsBefore(m) {
		return false
	}
	s.beginEpoch(m.Topic, m.Epoch, now)
	_, readAt := s.copies[m.Topic].ReadPosition()
	if s.copies[m.Topic].CompareDigest(m) {
		s.mismatchSince[m.Topic] = time.Time{}
		return false
	}
	if s.mismatchSince[m.Topic].IsZero() {
		s.mismatchSince[m.Topic] = now
	}
	return readAt.IsZero() || now.Sub(s.mismatchSince[m.Topic]) >= mismatchTolerance[m.Topic]
}

// ApplyMark records up to which offset and when a peer has read the store, and reports
// whether the mark is new.
func (s *State) ApplyMark(m replica.ReadMark, readAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepareMark(m, readAt)
	return s.copies[m.Topic].AdvanceReadMark(m, readAt)
}

// FinishRead records up to which offset this node has read the store and merged the
// records.
func (s *State) FinishRead(m replica.ReadMark, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepareMark(m, readAt)
	s.copies[m.Topic].FinishRead(m, readAt)
}

// prepareMark updates what follows from a mark other than its copy. s.mu must be held.
func (s *State) prepareMark(m replica.ReadMark, readAt time.Time) {
	if m.Topic == replica.Targets {
		if s.firstMarkAt.IsZero() {
			s.firstMarkAt = time.Now()
		}
		s.detectRecovery(readAt)
	}
	s.beginEpoch(m.Topic, m.Epoch, readAt)
}

// detectRecovery sets recoveredAt if a read of the targets at readAt is the first after an
// outage of their topic. s.mu must be held.
func (s *State) detectRecovery(readAt time.Time) {
	_, lastReadAt := s.copies[replica.Targets].ReadPosition()
	if !lastReadAt.IsZero() && readAt.Sub(lastReadAt) > OutageThreshold && readAt.Sub(s.recoveredAt) > OutageThreshold {
		s.recoveredAt = readAt
	}
}

// Marks returns the marks of those topics whose copy is complete and holds what the mark
// covers. Peers compare digests to find out whether they miss records, and the digest of
// any other copy cannot show that.
func (s *State) Marks(now time.Time, topics ...replica.Topic) (marks []replica.ReadMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		c := &s.copies[t]
		if _, readAt := c.ReadPosition(); isCurrent(c) {
			marks = append(marks, replica.ReadMark{Topic: t, EndOffset: c.MarkedEnd(), AgeMillis: peer.Milliseconds(now.Sub(readAt)), Reader: c.LastReader(), Digest: c.Digest(), Epoch: c.Epoch()})
		}
	}
	return marks
}

// ReadPosition returns the offset from which to read a topic, before which this node holds
// all records, and when it was last read.
func (s *State) ReadPosition(topic replica.Topic) (end replica.Offset, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].ReadPosition()
}

// HasLowerReader reports whether the last reader of a topic has a lower ID than self.
func (s *State) HasLowerReader(topic replica.Topic, self replica.ReaderID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[topic].LastReader() < self
}

// MarkAge returns the time since the last read of a topic that has been reported to this node.
func (s *State) MarkAge(topic replica.Topic, now time.Time) time.Duration {
	_, readAt := s.ReadPosition(topic)
	return now.Sub(readAt)
}
