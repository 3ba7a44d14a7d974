package gateway

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/replica"
)

// Every node of a fleet that returns while the topics are away must serve within the time that
// users allow, by the longest times of all steps: it lists the members, waits for peers, reads
// the topic without a response, waits for its turn to restore, restores without a response,
// and does so once more after the pauses in between.
func TestRestoreFitsIntoRecoveryBound(t *testing.T) {
	const (
		recoveryBound = 15 * time.Second
		// allowance stands for the start of the process and applying a long plan on a
		// slow VM.
		allowance = 2 * time.Second
	)
	start := storeTimeout + rejoinWait + maxRestartSpread
	attempt := storeTimeout + maxRestoreSpread + backup.CallTimeout
	pauseBetween := restoreRetryInterval
	for range 1000 {
		pauseBetween = max(pauseBetween, withoutCopyRetryDelay(storeRetryDelay(472)))
	}
	if got := start + 2*attempt + pauseBetween + allowance; got > recoveryBound {
		t.Errorf("longest time until a node serves: got %s, want at most %s", got, recoveryBound)
	}
}

// A restored topic must count as read too long ago for the node to leave reading it to others,
// or to trust that its plan is the newest.
func TestRestoredTopicCountsAsReadLongAgo(t *testing.T) {
	const maxBackupAge = 2 * time.Second
	oldest := max(takeoverAge+takeoverSpread, inventory.OutageThreshold)
	if restoredReadAge <= oldest {
		t.Errorf("age of a restored read: got %s, want more than %s", restoredReadAge, oldest)
	}
	for topic := range replica.TopicCount {
		if got := backupInterval[topic]; got > maxBackupAge {
			t.Errorf("%s: the snapshot may lack what was read in the last %s, want at most %s", topic, got, maxBackupAge)
		}
	}
}

// Whatever changes, the snapshots that the store still keeps must leave most of its room to
// others: it has 400 MB, and keeps records for 300 s on the users' platform.
func TestSnapshotsFitIntoStore(t *testing.T) {
	const (
		storeBytes = 400e6
		keepTime   = 300 * time.Second
	)
	sum := 0.0
	for topic := range replica.TopicCount {
		highest := 0.0
		for _, snapshotBytes := range []int{1, 1 << 10, 32 << 10, backup.MaxValueBytes} {
			written := backup.CopyCount * snapshotBytes
			highest = max(highest, float64(written)/backupPause(topic, written).Seconds())
		}
		sum += highest * keepTime.Seconds()
	}
	if sum > storeBytes/2 {
		t.Errorf("bytes of snapshots in the store: got up to %.0f MB, want at most half of %.0f MB", sum/1e6, storeBytes/1e6)
	}
}
