package rollout

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"
)

// drawnVersion is a version drawn at random, with the faults around it.
type drawnVersion struct {
	isBad, isSlowKind, isOneRoute, onlyFull bool
	// badFrom is when it becomes bad, badShare the share of its bad calls and slowness
	// the factor of slow ones.
	badFrom            time.Duration
	badShare, slowness float64
	routes             int
	perSecond          float64
	// greyShare is the share of targets, of both versions, that fail greyRate of their calls.
	greyShare, greyRate float64
	errorRate           float64
}

func drawVersion(r *rand.Rand, isBad bool) drawnVersion {
	v := drawnVersion{
		isBad: isBad, isSlowKind: r.IntN(2) == 0, routes: 1 + r.IntN(3), perSecond: 6 + 20*r.Float64(), errorRate: 0.01 * r.Float64(),
		badShare: 0.3 + 0.5*r.Float64(), slowness: 4 + 4*r.Float64(),
	}
	v.isOneRoute = r.IntN(3) == 0
	v.onlyFull = r.IntN(3) == 0
	if r.IntN(3) == 0 {
		v.badFrom = time.Duration(1+r.IntN(6)) * time.Second
	}
	if r.IntN(4) == 0 {
		v.greyShare, v.greyRate = 0.15, 0.2+0.4*r.Float64()
	}
	return v
}

const (
	drawnOrder     = 15 * time.Second
	drawnDuration  = 11 * time.Second
	drawnTargets   = 30
	drawnLatency   = 100 * time.Millisecond
	drawnFullShare = 0.4
)

// rate returns the samples a second of the new version, and whether its targets are full at
// times.
func (v drawnVersion) rate(at time.Duration) (perSecond float64, mayBeFull bool) {
	ramp := Order{Duration: drawnOrder}.rampTime()
	if at >= drawnDuration-ramp {
		return min(v.perSecond*rampFactor/plannedPart, maxSamplesPerSecond), false
	}
	return v.perSecond, true
}

// maxBadResponses is the number of bad responses after which a version must be stopped
// within the time for a rollback, less that in which all nodes learn of it.
const (
	maxBadResponses = 50
	maxStopTime     = 5*time.Second - spreadTime - 500*time.Millisecond
)

// playResult is what became of a drawn version: badCount is the number of its bad responses,
// and isLate reports whether it was not stopped in time after maxBadResponses.
type playResult struct {
	version           drawnVersion
	isStopped, isLate bool
	badCount          int
}

// play adds the samples of a drawn version in order until it is stopped or the move begins.
func (v drawnVersion) play(r *rand.Rand) (res playResult) {
	res.version = v
	var lastBadAt time.Duration
	var l sampleLog
	start := time.Unix(1_000_000, 0)
	old := drawnVersion{errorRate: v.errorRate, greyShare: v.greyShare / 3, greyRate: v.greyRate}
	var nextVerdict time.Duration
	number := uint32(0)
	for at := time.Duration(0); at < drawnDuration; {
		perSecond, mayBeFull := v.rate(at)
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		number++
		route := uint32(r.IntN(v.routes))
		target := (uint32(at/turnInterval) + uint32(r.IntN(turnTargets))) % drawnTargets
		if !mayBeFull {
			target = r.Uint32N(drawnTargets)
		}
		s, isBad := v.sample(r, route, target, at, mayBeFull)
		s.Number, s.IsNew, s.At = 2*number, true, start.Add(at)
		if isBad {
			res.badCount++
		}
		if isBad && res.badCount == maxBadResponses {
			lastBadAt = at
		}
		l.add(s)
		paired, _ := old.sample(r, route, r.Uint32N(drawnTargets), at, false)
		paired.Number, paired.At = 2*number+1, start.Add(at)
		l.add(paired)
		if at < nextVerdict {
			continue
		}
		nextVerdict = at + verdictInterval
		if judge(&l, drawnTargets, start.Add(at)).IsBad {
			res.isStopped = true
			return res
		}
		if res.badCount >= maxBadResponses && at > lastBadAt+maxStopTime {
			res.isLate = true
			return res
		}
	}
	return res
}

// sample draws one attempt. VMs slow down for 300 ms at a time, which reports do not always
// show in time.
func (v drawnVersion) sample(r *rand.Rand, route, target uint32, at time.Duration, mayBeFull bool) (s Sample, isBad bool) {
	s = Sample{Route: route, Target: target, Ratio: 1, Latency: time.Duration((0.7 + 0.6*r.Float64()) * float64(drawnLatency))}
	isFull := mayBeFull && r.Float64() < drawnFullShare
	if isFull {
		s.Latency = time.Duration(1.7 * float64(s.Latency))
	}
	episode := rand.New(rand.NewPCG(uint64(target), uint64(at/(300*time.Millisecond))))
	if episode.Float64() < 0.25 && r.Float64() < 0.2 {
		s.Latency *= 4
	}
	// The order of turns is random.
	isGrey := float64(target*7%drawnTargets)/drawnTargets < v.greyShare
	s.IsFailure = r.Float64() < v.errorRate || isGrey && r.Float64() < v.greyRate
	isBad = v.isBad && at >= v.badFrom && (!v.isOneRoute || route == 0) && (!v.onlyFull || isFull) && r.Float64() < v.badShare
	if isBad && v.isSlowKind {
		s.Latency = time.Duration(v.slowness * float64(s.Latency))
	}
	if isBad && !v.isSlowKind {
		s.IsFailure = true
	}
	return s, isBad
}

// Guards against a judgement that rolls good versions back, or lets bad ones go on. Of
// 1,000 good versions fewer than one may be stopped. A bad version must be stopped in time
// after its 50th bad response; one that reaches the move without a verdict may have shown
// at most maxMissedResponses.
func TestJudgementOfDrawnVersions(t *testing.T) {
	const (
		count              = 20_000
		maxMissedResponses = 50
	)
	results := make([]playResult, count)
	var group sync.WaitGroup
	for worker := range runtime.NumCPU() {
		group.Go(func() {
			for i := worker; i < count; i += runtime.NumCPU() {
				r := rand.New(rand.NewPCG(34, uint64(i)))
				results[i] = drawVersion(r, i%2 == 1).play(r)
			}
		})
	}
	group.Wait()
	stoppedGood, missedBad, lateBad := 0, 0, 0
	for _, res := range results {
		switch {
		case !res.version.isBad && res.isStopped:
			stoppedGood++
		case res.version.isBad && (res.isLate || !res.isStopped && res.badCount > maxMissedResponses):
			lateBad++
			t.Logf("late: %+v", res)
		case res.version.isBad && !res.isStopped:
			missedBad++
		}
	}
	t.Logf("of %d good: stopped %d; of %d bad: left to the move %d, late %d", count/2, stoppedGood, count/2, missedBad, lateBad)
	if want := count / 2 / 1000; stoppedGood >= want {
		t.Errorf("good versions stopped: got %d of %d, want fewer than %d", stoppedGood, count/2, want)
	}
	if lateBad > 0 {
		t.Errorf("bad versions stopped too late: got %d, want none", lateBad)
	}
}
