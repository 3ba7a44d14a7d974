package rollout

import (
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
	// Ratio is the latency forecast from the load and the speed that the target reported,
	// as a multiple of the usual one; 1 without a report.
	Ratio float64
	// At is when the attempt ended.
	At time.Time

	// latency is set while samples are judged.
	latency rating
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

// relativeLatency returns the latency without the part that the reported load and speed of
// the target explain.
func (s Sample) relativeLatency() time.Duration {
	return time.Duration(float64(s.Latency) / max(1, s.Ratio))
}

// medians returns the median latency and relative latency of the completed samples of the
// old version, and their number.
func medians(samples []Sample) (latency, relative time.Duration, n int) {
	var latencies, relatives []time.Duration
	for _, s := range samples {
		if !s.IsNew && !s.IsOpenEnded {
			latencies = append(latencies, s.Latency)
			relatives = append(relatives, s.relativeLatency())
		}
	}
	if len(latencies) == 0 {
		return 0, 0, 0
	}
	slices.Sort(latencies)
	slices.Sort(relatives)
	return latencies[len(latencies)/2], relatives[len(relatives)/2], len(latencies)
}
