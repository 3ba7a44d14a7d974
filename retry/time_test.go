package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// The extra attempts of all nodes of a fleet in any 10 s must stay within their
// common bound, however few calls there are. A node without calls must
// therefore earn TokensPerSecond, and no more.
func TestBudgetRefillsByElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Settings: Settings{TokensPerCall: 0.16, Burst: 2, TokensPerSecond: 0.2}}
		spent := 0
		for range 100 {
			for b.Spend() {
				spent++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if spent < 1 || spent > 4 {
			t.Errorf("tokens spent in 10 s: got %d, want 1 to 4 (the burst and 0.2 a second)", spent)
		}
	})
}

func TestSpendAboveReserveLeavesReserve(t *testing.T) {
	b := &Budget{Settings: Settings{TokensPerCall: 1, Burst: 10}}
	for range 10 {
		b.Earn()
	}
	spent := 0
	for b.SpendAboveReserve(0.4) {
		spent++
	}
	if spent != 6 {
		t.Errorf("tokens spent above the reserve: got %d, want 6", spent)
	}
	if !b.Spend() {
		t.Error("Spend of the reserve: got false, want true")
	}
}
