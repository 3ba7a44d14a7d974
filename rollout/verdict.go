package rollout

import (
	"math"
	"time"
)

const (
	// slowFactor is the multiple of the old version's median latency on the same route
	// from which an attempt is slow.
	slowFactor = 2.5
	// minPairedLatencies is the number of latencies of the old version on a route that
	// its median needs.
	minPairedLatencies = 8
	// minEvidence is the least log-likelihood ratio of a bad version to a good one. A
	// verdict is sought several times a second, each time with more samples.
	minEvidence = 9.0
	// minBadSamples is the least number of failed or slow attempts of a bad version.
	minBadSamples = 5
	// minBadTargets is the number of targets that a bad version fails on, if as many were
	// tried: faults of single targets are not the version's.
	minBadTargets = 3
	// minFailingTargetShare and minSlowTargetShare are the shares of the tried targets
	// that a bad version fails on, or is mostly slow on.
	minFailingTargetShare = 0.4
	minSlowTargetShare    = 0.6
	// baseFailureRate and baseSlowRate are the least rates that a good version is assumed
	// to have. Shared VMs slow down for some hundred milliseconds at a time.
	baseFailureRate = 0.01
	baseSlowRate    = 0.25
	// minSlowRate is the least rate of slow attempts of a bad version.
	minSlowRate = 0.5
	// recentWindow is the time in which a version that has become bad is compared anew.
	recentWindow = 4 * time.Second
)

// Verdict is what the samples say about a version.
type Verdict struct {
	IsBad bool
	// IsSlow distinguishes a slow version from a failing one.
	IsSlow bool
	// NewCount and PairedCount are the numbers of samples of the new and of the old
	// version that decided, NewBad and PairedBad those of them that failed or were slow.
	NewCount, NewBad, PairedCount, PairedBad int
	// BadTargets and TriedTargets are the numbers of targets of the new version.
	BadTargets, TriedTargets int
	// Evidence is the log-likelihood ratio.
	Evidence float64
}

// judge compares the new version with the old one over all samples and over the recent
// ones, on all routes together and on each.
func judge(l *sampleLog, now time.Time) Verdict {
	for _, samples := range [][]Sample{l.samples, l.since(now.Add(-recentWindow))} {
		byRoute := map[uint32][]Sample{}
		for _, s := range samples {
			byRoute[s.Route] = append(byRoute[s.Route], s)
		}
		slow := slowSamples(byRoute)
		scopes := [][]Sample{samples}
		if len(byRoute) > 1 {
			for _, routeSamples := range byRoute {
				scopes = append(scopes, routeSamples)
			}
		}
		for _, scope := range scopes {
			if v := compareFailures(scope); v.IsBad {
				return v
			}
			if v := compareLatencies(scope, slow); v.IsBad {
				return v
			}
		}
	}
	return Verdict{}
}

// slowSamples returns for each sample whose route has enough latencies whether it was slow.
// An attempt that ended early without a response shows neither.
func slowSamples(byRoute map[uint32][]Sample) map[sampleKey]bool {
	slow := map[sampleKey]bool{}
	for _, samples := range byRoute {
		var paired []Sample
		for _, s := range samples {
			if !s.IsNew {
				paired = append(paired, s)
			}
		}
		m, n := median(paired)
		if n < minPairedLatencies {
			continue
		}
		limit := time.Duration(slowFactor * float64(m))
		for _, s := range samples {
			isSlow := s.Latency > limit
			if isSlow || !s.IsOpenEnded {
				slow[sampleKey{s.Node, s.Number}] = isSlow
			}
		}
	}
	return slow
}

// tally counts the samples of both versions and the targets of the new one.
type tally struct {
	newCount, newBad, pairedCount, pairedBad int
	// countByTarget and badByTarget count the samples of each target of the new version.
	countByTarget, badByTarget map[uint32]int
}

func (t *tally) add(s Sample, isBad bool) {
	bad := 0
	if isBad {
		bad = 1
	}
	if !s.IsNew {
		t.pairedCount++
		t.pairedBad += bad
		return
	}
	t.newCount++
	t.newBad += bad
	t.countByTarget[s.Target]++
	t.badByTarget[s.Target] += bad
}

func newTally() tally {
	return tally{countByTarget: map[uint32]int{}, badByTarget: map[uint32]int{}}
}

// verdict returns the verdict on the counted samples, with the number of targets that count
// as bad.
func (t *tally) verdict(badTargets int, minTargetShare, baseRate, minRate float64) Verdict {
	v := Verdict{
		NewCount: t.newCount, NewBad: t.newBad, PairedCount: t.pairedCount, PairedBad: t.pairedBad,
		BadTargets: badTargets, TriedTargets: len(t.countByTarget),
	}
	if t.newBad < minBadSamples || badTargets < min(minBadTargets, v.TriedTargets) {
		return v
	}
	if float64(badTargets) < minTargetShare*float64(v.TriedTargets) || float64(t.newBad) < minRate*float64(t.newCount) {
		return v
	}
	v.Evidence = evidence(t.newBad, t.newCount, t.pairedBad, t.pairedCount, baseRate)
	v.IsBad = v.Evidence >= minEvidence
	return v
}

// compareFailures compares the rates of server errors.
func compareFailures(samples []Sample) Verdict {
	t := newTally()
	for _, s := range samples {
		if !s.IsOpenEnded {
			t.add(s, s.IsFailure)
		}
	}
	failing := 0
	for _, n := range t.badByTarget {
		if n > 0 {
			failing++
		}
	}
	return t.verdict(failing, minFailingTargetShare, baseFailureRate, 0)
}

// compareLatencies compares the rates of slow attempts.
func compareLatencies(samples []Sample, slow map[sampleKey]bool) Verdict {
	t := newTally()
	for _, s := range samples {
		if isSlow, ok := slow[sampleKey{s.Node, s.Number}]; ok {
			t.add(s, isSlow)
		}
	}
	mostlySlow := 0
	for target, n := range t.badByTarget {
		if 2*n > t.countByTarget[target] {
			mostlySlow++
		}
	}
	v := t.verdict(mostlySlow, minSlowTargetShare, baseSlowRate, minSlowRate)
	v.IsSlow = v.IsBad
	return v
}

// evidence returns the log-likelihood ratio of the new version's own bad rate to that of
// the old version, of which one more sample than seen is assumed to be bad; zero if the new
// version is not worse.
func evidence(newBad, newCount, pairedBad, pairedCount int, baseRate float64) float64 {
	if newCount == 0 {
		return 0
	}
	expected := max(baseRate, float64(pairedBad+1)/float64(pairedCount+2))
	if pairedCount == 0 {
		expected = max(baseRate, 0.5)
	}
	rate := float64(newBad) / float64(newCount)
	if rate <= expected {
		return 0
	}
	return xLogY(newBad, rate/expected) + xLogY(newCount-newBad, (1-rate)/(1-expected))
}

// xLogY returns n times the natural logarithm of y, and 0 if n is 0.
func xLogY(n int, y float64) float64 {
	if n == 0 {
		return 0
	}
	return float64(n) * math.Log(y)
}
