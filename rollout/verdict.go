package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowFactor and slowRelativeFactor are the multiples of the old version's median
	// latency and relative latency on the same route from which an attempt is slow. A
	// target that is full, or whose VM is slow at that moment, is not slow by its version.
	slowFactor         = 2.5
	slowRelativeFactor = 2.0
	// minPairedLatencies is the number of latencies of the old version on a route that
	// its median needs.
	minPairedLatencies = 8
	// minEvidence is the least log-likelihood ratio of a bad version to a good one. A
	// verdict is sought several times a second, each time with more samples.
	minEvidence = 6.0
	// minBadSamples is the least number of failed or slow attempts of a bad version.
	minBadSamples = 5
	// minTriedTargets is the number of targets that must have been tried, if the version
	// has as many.
	minTriedTargets = 6
	// trimmedShare is the share of the tried targets that may be bad by their own faults,
	// which are not the version's: these, and one more, are left out in a second
	// comparison, which needs restEvidence.
	trimmedShare = 0.2
	restEvidence = 3.0
	// wholeEvidence is the evidence that a version with fewer targets needs, all of which
	// must be bad.
	wholeEvidence = 2 * minEvidence
	// baseFailureRate and baseSlowRate are the least rates that a good version is assumed
	// to have. Shared VMs slow down for some hundred milliseconds at a time.
	baseFailureRate = 0.01
	baseSlowRate    = 0.08
	// minBadRate is the least rate of failed or slow attempts of a bad version.
	minBadRate = 0.1
	// recentWindow is the time in which a version that has become bad is compared anew.
	recentWindow = 4 * time.Second
)

// Verdict is the result of comparing a new version with the old one.
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
// ones, on all routes together and on each. targetCount is the number of the new version's
// targets.
func judge(l *sampleLog, targetCount int, now time.Time) Verdict {
	for _, samples := range [][]Sample{slices.Clone(l.samples), l.since(now.Add(-recentWindow))} {
		slices.SortStableFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Route, b.Route) })
		scopes := splitByRoute(samples)
		for _, scope := range scopes {
			rateLatencies(scope)
		}
		if len(scopes) > 1 {
			scopes = append(scopes, samples)
		}
		for _, scope := range scopes {
			if v := compare(scope, failureRating, baseFailureRate, targetCount); v.IsBad {
				return v
			}
			if v := compare(scope, latencyRating, baseSlowRate, targetCount); v.IsBad {
				v.IsSlow = true
				return v
			}
		}
	}
	return Verdict{}
}

// splitByRoute splits samples that are ordered by route.
func splitByRoute(samples []Sample) (scopes [][]Sample) {
	for start := 0; start < len(samples); {
		end := start
		for end < len(samples) && samples[end].Route == samples[start].Route {
			end++
		}
		scopes = append(scopes, samples[start:end])
		start = end
	}
	return scopes
}

// rating is whether a sample is bad in one respect.
type rating uint8

const (
	unrated rating = iota
	good
	bad
)

// rateLatencies sets Sample.latency of the samples of one route, if the old version has
// enough latencies. An attempt that ended early without a response shows nothing.
func rateLatencies(samples []Sample) {
	latency, relative, n := medians(samples)
	if n < minPairedLatencies {
		return
	}
	limit := time.Duration(slowFactor * float64(latency))
	relativeLimit := time.Duration(slowRelativeFactor * float64(relative))
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Latency > limit && s.relativeLatency() > relativeLimit:
			s.latency = bad
		case !s.IsOpenEnded:
			s.latency = good
		}
	}
}

// failureRating and latencyRating return the ratings of a sample.
func failureRating(s *Sample) rating {
	switch {
	case s.IsOpenEnded:
		return unrated
	case s.IsFailure:
		return bad
	default:
		return good
	}
}

func latencyRating(s *Sample) rating { return s.latency }

// compare compares the rates of bad samples of both versions.
func compare(samples []Sample, rate func(s *Sample) rating, baseRate float64, targetCount int) (v Verdict) {
	var newCount, paired count
	for i := range samples {
		s := &samples[i]
		switch r := rate(s); {
		case r == unrated:
		case s.IsNew:
			newCount.add(r == bad)
		default:
			paired.add(r == bad)
		}
	}
	v = Verdict{NewCount: newCount.all, NewBad: newCount.bad, PairedCount: paired.all, PairedBad: paired.bad}
	if v.NewBad < minBadSamples || float64(v.NewBad) < minBadRate*float64(v.NewCount) {
		return v
	}
	v.Evidence = evidence(newCount, paired, baseRate)
	if v.Evidence < minEvidence {
		return v
	}
	targets := countByTarget(samples, rate)
	v.TriedTargets, v.BadTargets = len(targets), badTargets(targets)
	if targetCount < minTriedTargets {
		v.IsBad = v.Evidence >= wholeEvidence && v.BadTargets >= targetCount
		return v
	}
	trimmed := 1 + int(math.Ceil(trimmedShare*float64(v.TriedTargets)))
	v.IsBad = v.TriedTargets >= minTriedTargets && evidence(withoutWorst(targets, trimmed), paired, baseRate) >= restEvidence
	return v
}

// count counts samples and the bad ones among them.
type count struct{ all, bad int }

func (c *count) add(isBad bool) {
	c.all++
	if isBad {
		c.bad++
	}
}

// countByTarget counts the samples of each target of the new version.
func countByTarget(samples []Sample, rate func(s *Sample) rating) []count {
	byTarget := map[uint32]count{}
	for i := range samples {
		s := &samples[i]
		if r := rate(s); s.IsNew && r != unrated {
			c := byTarget[s.Target]
			c.add(r == bad)
			byTarget[s.Target] = c
		}
	}
	return slices.Collect(maps.Values(byTarget))
}

// badTargets returns the number of targets with bad samples.
func badTargets(targets []count) (n int) {
	for _, c := range targets {
		if c.bad > 0 {
			n++
		}
	}
	return n
}

// withoutWorst returns the samples of all targets but the n with the most bad ones.
func withoutWorst(targets []count, n int) (rest count) {
	byBad := slices.SortedFunc(slices.Values(targets), func(a, b count) int { return cmp.Compare(b.bad, a.bad) })
	for _, c := range byBad[min(n, len(byBad)):] {
		rest.all += c.all
		rest.bad += c.bad
	}
	return rest
}

// evidence returns the log-likelihood ratio of the new version's own bad rate to that of
// the old version, of which one more sample than seen is assumed to be bad; zero if the new
// version is not worse.
func evidence(new, paired count, baseRate float64) float64 {
	if new.all == 0 {
		return 0
	}
	expected := max(baseRate, float64(paired.bad+1)/float64(paired.all+2))
	rate := float64(new.bad) / float64(new.all)
	if rate <= expected {
		return 0
	}
	return xLogY(new.bad, rate/expected) + xLogY(new.all-new.bad, (1-rate)/(1-expected))
}

// xLogY returns n times the natural logarithm of y, and 0 if n is 0.
func xLogY(n int, y float64) float64 {
	if n == 0 {
		return 0
	}
	return float64(n) * math.Log(y)
}
