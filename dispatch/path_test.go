package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/retry"
)

// trialQuarantine takes each copy of a request for a trial.
type trialQuarantine struct {
	Quarantine
	trialCount int
}

func (q *trialQuarantine) IsEmpty() bool { return false }

func (q *trialQuarantine) Admit(quarantine.Digest) quarantine.Admission {
	q.trialCount++
	return quarantine.Admission{Verdict: quarantine.Held, IsTrial: true}
}

func (q *trialQuarantine) Leave(quarantine.Digest) {}

// knownIdentity is the identity of a request whose digest is known.
type knownIdentity struct{}

func (knownIdentity) Digest(bool) (d quarantine.Digest, ok bool) { return d, true }

// newLostFixture returns a fixture whose node has no path to the targets.
func newLostFixture(t *testing.T) *fixture {
	f := newFixture(t, 6, nil)
	lost, cancel := context.WithCancel(t.Context())
	cancel()
	f.svc.Path = fakePath{lost}
	return f
}

// Guards against a node without a path that takes the trial of a held request: the node that
// could run it refuses it then.
func TestTrialIsLeftToNodeWithPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLostFixture(t)
		q := &trialQuarantine{}
		f.Quarantine = q
		c := newCall(idempotent())
		c.Identity = knownIdentity{}
		if _, fail := f.Do(t.Context(), f.svc, c, f.sender); fail == nil || !fail.CanForward {
			t.Errorf("failure: got %+v, want one of a call that may go through another node", fail)
		}
		if q.trialCount != 0 {
			t.Errorf("trials: got %d, want none", q.trialCount)
		}
	})
}

// Guards against a call that earns tokens for extra attempts at two nodes: at one without a
// path and at the one that serves it.
func TestCallWithoutPathEarnsNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLostFixture(t)
		f.svc.ExtraAttemptBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 1}}
		f.do(t.Context(), newCall(idempotent()))
		if f.svc.ExtraAttemptBudget.Spend() {
			t.Error("tokens for extra attempts: got one, want none")
		}
	})
}
