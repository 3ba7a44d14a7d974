package model

import (
	"math"
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// drawServiceTime returns a random service time.
func (t *Target) drawServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.settings
	d := float64(s.MeanServiceTime) * math.Exp(s.ServiceTimeSigma*t.rng.NormFloat64()-s.ServiceTimeSigma*s.ServiceTimeSigma/2) * t.serviceTimeFactor
	if t.isSlow() {
		d *= s.SlowFactor
	}
	return time.Duration(d)
}

// isSlow advances the random sequence of slow and normal periods to the current
// time and reports whether the target is slow. t.mu must be held.
func (t *Target) isSlow() bool {
	s := t.settings
	if s.SlowFraction == 0 {
		return false
	}
	now := time.Now()
	if t.slowChangeAt.IsZero() {
		t.slowChangeAt = now.Add(t.drawPhaseDuration(false))
	}
	for !now.Before(t.slowChangeAt) {
		t.slow = !t.slow
		t.slowChangeAt = t.slowChangeAt.Add(t.drawPhaseDuration(t.slow))
	}
	return t.slow
}

func (t *Target) drawPhaseDuration(slow bool) time.Duration {
	mean := float64(t.settings.MeanSlowDuration)
	if !slow {
		mean *= (1 - t.settings.SlowFraction) / t.settings.SlowFraction
	}
	return time.Duration(t.rng.ExpFloat64() * mean)
}

// serveProbe serves a probe, which takes the given time at the target.
func (t *Target) serveProbe(cost time.Duration) target.Report {
	time.Sleep(cost)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ProbeCount++
	t.ProbeTime += cost
	return t.report()
}
