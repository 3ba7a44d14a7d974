package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Sample is one attempt at a target of the new version, or one at the old version that is
// compared with it.
type Sample struct {
	// Node and Number identify the sample, so that it is counted once.
	Node   uint32
	Number uint32
	// Route and Target are hashes of the names.
	Route, Target uint32
	IsNew         bool
	// IsFailure reports whether the target responded with a server error.
	IsFailure bool
	// IsOpenEnded reports whether the attempt ended without a response, so that Latency
	// is only a lower bound.
	IsOpenEnded bool
	Latency     time.Duration
	// At is when the attempt ended.
	At time.Time
}

type sampleKey struct{ node, number uint32 }

// sampleLog holds the samples of one order. Its zero value is empty and ready to use.
type sampleLog struct {
	known   map[sampleKey]bool
	samples []Sample
}

// maxSamples bounds the samples of one order. A verdict needs some hundred.
const maxSamples = 8192

// add adds a sample and reports whether it is new.
func (l *sampleLog) add(s Sample) bool {
	key := sampleKey{s.Node, s.Number}
	if l.known[key] || len(l.samples) >= maxSamples {
		return false
	}
	if l.known == nil {
		l.known = map[sampleKey]bool{}
	}
	l.known[key] = true
	l.samples = append(l.samples, s)
	return true
}

// since returns the samples that ended after a given time.
func (l *sampleLog) since(at time.Time) (samples []Sample) {
	for _, s := range l.samples {
		if s.At.After(at) {
			samples = append(samples, s)
		}
	}
	return samples
}

// newCount returns the number of samples of the new version.
func (l *sampleLog) newCount() (n int) {
	for i := range l.samples {
		if l.samples[i].IsNew {
			n++
		}
	}
	return n
}

// median returns the median latency of completed samples, and their number.
func median(samples []Sample) (latency time.Duration, n int) {
	var latencies []time.Duration
	for _, s := range samples {
		if !s.IsOpenEnded {
			latencies = append(latencies, s.Latency)
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.SortFunc(latencies, cmp.Compare[time.Duration])
	return latencies[len(latencies)/2], len(latencies)
}
