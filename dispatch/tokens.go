package dispatch

import (
	"time"

	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
)

// earnTokens adds the tokens that a new call earns to the budgets for extra
// attempts.
func (s *Service) earnTokens() {
	if s.ExtraAttemptBudget != nil {
		s.ExtraAttemptBudget.Earn()
		return
	}
	s.RetryBudget.Earn()
	s.HedgeBudget.EarnFraction(retry.HedgeTokenFraction(s.Table.AverageLoad()))
}

// spendRetryToken spends a token for a retry after an attempt that may have run. It
// reports whether there was one.
func (s *Service) spendRetryToken() bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.Spend()
	}
	return s.RetryBudget.Spend()
}

// spendHedgeToken spends a token for a hedge. It reports whether there was one.
func (s *Service) spendHedgeToken() bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.SpendAboveReserve(hedgeReserveShare)
	}
	return s.HedgeBudget.Spend()
}

// hedgeReserveShare is the share of the burst of ExtraAttemptBudget that hedges
// leave to retries.
const hedgeReserveShare = 0.4

// spendRefusalRetryToken spends a token for an attempt after a refusal, from
// ExtraAttemptBudget if it is set and otherwise from RefusalBudget, because a
// refusal serves as a probe. It reports whether the attempt may be made.
func (d *Dispatcher) spendRefusalRetryToken(s *Service) bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.Spend()
	}
	return d.RefusalBudget == nil || d.RefusalBudget.Spend(time.Now(), measuring.Cost{Refusals: 1})
}

// countExtraAttempt counts an extra attempt, made or skipped.
func (d *Dispatcher) countExtraAttempt(r outcome.ExtraAttemptReason) {
	if d.ExtraAttemptCounter != nil {
		d.ExtraAttemptCounter.CountExtraAttempt(r)
	}
}
