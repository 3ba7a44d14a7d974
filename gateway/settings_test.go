package gateway

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/retry"
)

// The limit applies to the whole fleet: the sum of all nodes' shares must not exceed it,
// and each share must allow at least one extra attempt.
func TestExtraAttemptSharesStayWithinFleetLimit(t *testing.T) {
	limit := ExtraAttemptLimit{AttemptsPerCall: 0.2, BaseAttempts: 56, Window: 10 * time.Second}
	for _, n := range []int{1, 13, 17, 50, 56} {
		s := limit.share(n)
		perWindow := s.Burst + s.TokensPerSecond*limit.Window.Seconds()
		if got := float64(n) * perWindow; got > limit.BaseAttempts*1.01 {
			t.Errorf("%d nodes: got %.1f extra attempts in a window, want at most %.1f", n, got, limit.BaseAttempts)
		}
		if s.Burst < 1 {
			t.Errorf("%d nodes: got burst %.2f, want at least 1", n, s.Burst)
		}
		if s.TokensPerCall >= limit.AttemptsPerCall {
			t.Errorf("%d nodes: got %.2f tokens per call, want less than %.2f", n, s.TokensPerCall, limit.AttemptsPerCall)
		}
	}
}

// A limit of no extra attempts for calls must not become the default of the budget.
func TestNoExtraAttemptsForCalls(t *testing.T) {
	budget := retry.Budget{Settings: ExtraAttemptLimit{Window: 10 * time.Second}.share(13)}
	for range 100 {
		budget.Earn()
	}
	if budget.Spend() {
		t.Error("extra attempt: got one, want none for a limit of zero")
	}
}

// The store may fail to wake a read that began while a record was being written. The
// next read must return the record in time.
func TestOperatorReadWaitAllowsForMissedRecord(t *testing.T) {
	const (
		// applyTimeout is the shortest time that users allow for a configuration to
		// become active, and spreadTime is how long it takes from the reader to all
		// nodes on a slow VM.
		applyTimeout = 2000 * time.Millisecond
		spreadTime   = 500 * time.Millisecond
	)
	if got, want := pacing.OperatorReadWait, applyTimeout-spreadTime; got > want {
		t.Errorf("wait of one read: got %s, want at most %s", got, want)
	}
}
