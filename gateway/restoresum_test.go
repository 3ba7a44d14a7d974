package gateway

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/inventory"
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

// A restored topic must count as read so long ago that the node takes over reading it, and does
// not assume that its plan is the newest.
func TestRestoredTopicCountsAsReadLongAgo(t *testing.T) {
	oldest := max(takeoverAge+takeoverSpread, inventory.OutageThreshold)
	if restoredReadAge <= oldest {
		t.Errorf("age of a restored read: got %s, want more than %s", restoredReadAge, oldest)
	}
}
