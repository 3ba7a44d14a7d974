package measuring

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Costs are spent at random times. At each time, the sum spent since the start
// must be within the rate of the budget plus one burst.
func TestSpendStaysWithinBudget(t *testing.T) {
	cfg := Settings{MessagesPerSecond: 10, BytesPerSecond: 1000, TargetTimePerSecond: 50 * time.Millisecond, RefusalsPerSecond: 20}
	l := &Budget{Settings: cfg}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Date(2026, 12, 3, 4, 0, 0, 0, time.UTC)
	now := start
	for range 5000 {
		now = now.Add(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		l.Spend(now, Cost{Messages: 1, Bytes: unit.Bytes(rng.IntN(200)), TargetTime: time.Duration(rng.IntN(10)) * time.Millisecond})
		l.Spend(now, Cost{Refusals: 1})
		budgetSeconds := now.Sub(start).Seconds() + burstWindow.Seconds()
		spent := l.Totals().Spent
		if float64(spent.Messages) > cfg.MessagesPerSecond*budgetSeconds+1e-6 || float64(spent.Bytes) > float64(cfg.BytesPerSecond)*budgetSeconds+1e-6 || spent.TargetTime.Seconds() > cfg.TargetTimePerSecond.Seconds()*budgetSeconds+1e-6 || float64(spent.Refusals) > cfg.RefusalsPerSecond*budgetSeconds+1e-6 {
			t.Fatalf("spent after %s: got %+v, want within the budget", now.Sub(start), spent)
		}
	}
	if got := l.Totals(); got.Skipped == 0 || got.Spent.Messages == 0 {
		t.Errorf("totals: got %+v, want some spent and some skipped", got)
	}
}
