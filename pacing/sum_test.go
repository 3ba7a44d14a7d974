package pacing

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/backup"
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
	start := StoreTimeout + RejoinWait + maxRestartSpread
	attempt := StoreTimeout + maxRestoreSpread + backup.CallTimeout
	pauseBetween := RestoreRetryInterval
	for range 1000 {
		pauseBetween = max(pauseBetween, RetryDelayWithoutCopy(64, 472))
	}
	if got := start + 2*attempt + pauseBetween + allowance; got > recoveryBound {
		t.Errorf("longest time until a node serves: got %s, want at most %s", got, recoveryBound)
	}
}
