package backup

import (
	"time"

	"github.com/apricotmount/apricotmount/replica"
)

// Limits are what the store allows; zero values mean the defaults.
type Limits struct {
	// RecordBytes is the maximum length of a record. Default 256 KiB.
	RecordBytes int
	// KeepTime is how long the store keeps a record that was replaced. Default 300 s.
	KeepTime time.Duration
}

const (
	defaultRecordBytes = 256 << 10
	// maxRecordBytes bounds the use of long records: a page of the store's listing has 1 MB.
	maxRecordBytes  = 512 << 10
	defaultKeepTime = 300 * time.Second
	// recordOverhead is the part of a record that its key takes, in bytes.
	recordOverhead = 256
	// roomPerTopic is what the snapshots of one topic may take of the store, in bytes, with
	// those that were replaced. The store refuses the operator's writes too once it is full.
	roomPerTopic = 60_000_000
)

// maxValueBytes returns the maximum length of an encoded snapshot.
func (l Limits) maxValueBytes() int {
	if l.RecordBytes <= 0 {
		return defaultRecordBytes - recordOverhead
	}
	return max(0, min(l.RecordBytes, maxRecordBytes)-recordOverhead)
}

// minInterval is the minimum time between two saves of a topic. The operator writes seldom, and
// what it writes is due soon; targets write all the time.
var minInterval = [replica.TopicCount]time.Duration{replica.Operator: 500 * time.Millisecond, replica.Targets: 2 * time.Second}

// pauseAfter returns the time from a save of a topic, which wrote the given number of bytes, to
// the next one. It is so long that the snapshots fit into roomPerTopic.
func (l Limits) pauseAfter(t replica.Topic, writtenBytes int) time.Duration {
	keep := l.KeepTime
	if keep <= 0 {
		keep = defaultKeepTime
	}
	share := float64(writtenBytes) / roomPerTopic
	return max(minInterval[t], time.Duration(share*float64(keep)))
}
