package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// decisionLog records the decisions on calls. It is safe for concurrent use.
type decisionLog struct {
	mu        sync.Mutex
	decisions []Decision
}

func (l *decisionLog) ObserveDecision(_ *Call, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions = append(l.decisions, d)
}

// A hedge that every target refuses must be recorded with the target that refused it last:
// the log names it, and the call excludes it from its next choice.
func TestRefusedHedgeNamesItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHedgingFixture(t, func(n int, _ Attempt) action {
			if n == 1 {
				return action{delay: 30 * time.Millisecond, failure: brokenAfterWrite}
			}
			return action{failure: refusedByTarget}
		})
		log := &decisionLog{}
		f.Observer = log
		p := idempotent()
		p.Hedge, p.HedgePercentile = true, 95
		f.do(t.Context(), newCall(p))
		synctest.Wait()
		failed := 0
		for _, d := range log.decisions {
			if d.Kind != Failed {
				continue
			}
			failed++
			if d.Target.ID == "" {
				t.Errorf("failed attempt %d: got no target, want one", failed)
			}
		}
		if failed < 2 {
			t.Errorf("failed attempts: got %d, want the first one and the hedge at least", failed)
		}
	})
}
