package measuring

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Measurements of several goroutines read the clock before they take the lock, so their times
// may come out of order. No interval may be refilled twice.
func TestRefillIgnoresEarlierTimes(t *testing.T) {
	b := &Budget{Settings: Settings{MessagesPerSecond: 1}}
	now := time.Now()
	for range 3 {
		b.Spend(now, Cost{Messages: 1})
	}
	spent := 0
	for i := range 20 {
		if b.Spend(now.Add(time.Duration(i%2)*time.Second), Cost{Messages: 1}) {
			spent++
		}
	}
	if spent != 1 {
		t.Errorf("measurements in one second at one a second: got %d, want 1", spent)
	}
}

// Costs are spent at random times. At each time, the sum spent since the start
// must be within the rate of the budget plus one burst.
func TestSpendStaysWithinBudget(t *testing.T) {
	cfg := Settings{MessagesPerSecond: 10, BytesPerSecond: 1000, TargetTimePerSecond: 50 * time.Millisecond, RefusalsPerSecond: 20}
	b := &Budget{Settings: cfg}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)
	now := start
	for range 5000 {
		now = now.Add(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		b.Spend(now, Cost{Messages: 1, Bytes: unit.Bytes(rng.IntN(200)), TargetTime: time.Duration(rng.IntN(10)) * time.Millisecond})
		b.Spend(now, Cost{Refusals: 1})
		budgetSeconds := now.Sub(start).Seconds() + burstWindow.Seconds()
		spent := b.Totals().Spent
		if float64(spent.Messages) > cfg.MessagesPerSecond*budgetSeconds+1e-6 || float64(spent.Bytes) > float64(cfg.BytesPerSecond)*budgetSeconds+1e-6 || spent.TargetTime.Seconds() > cfg.TargetTimePerSecond.Seconds()*budgetSeconds+1e-6 || float64(spent.Refusals) > cfg.RefusalsPerSecond*budgetSeconds+1e-6 {
			t.Fatalf("spent after %s: got %+v, want within the budget", now.Sub(start), spent)
		}
	}
	if got := b.Totals(); got.Skipped == 0 || got.Spent.Messages == 0 {
		t.Errorf("totals: got %+v, want some spent and some skipped", got)
	}
}
