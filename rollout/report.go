package rollout

import (
	"time"

	"github.com/apricotmount/apricotmount/service"
)

// Report is the state of an order in a message between nodes, with some of its samples.
type Report struct {
	Service service.Name `cbor:"1,keyasint"`
	ID      OrderID      `cbor:"2,keyasint"`
	Phase   Phase        `cbor:"3,keyasint"`
	// AgeMillis is the time since the fleet learned of the order, in milliseconds.
	AgeMillis uint32           `cbor:"4,keyasint"`
	Samples   []ReportedSample `cbor:"5,keyasint,omitempty"`
}

// ReportedSample is a sample in a report.
type ReportedSample struct {
	_             struct{} `cbor:",toarray"`
	Node, Number  uint32
	Route, Target uint32
	Flags         SampleFlags
	LatencyMillis uint32
	RatioPercent  uint32
	// AgeMillis is the time since the attempt ended, in milliseconds.
	AgeMillis uint32
}

// SampleFlags are the properties of a sample that are true.
type SampleFlags uint8

const (
	flagNew SampleFlags = 1 << iota
	flagFailure
	flagOpenEnded
)

// maxMillis bounds the times in reports, and maxRatio the ratios.
const (
	maxMillis = 1 << 31
	maxRatio  = 1000
)

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, maxMillis))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(min(ms, maxMillis)) * time.Millisecond
}

// NewReport returns the report of a state with some samples.
func NewReport(state State, samples []Sample, now time.Time) Report {
	r := Report{Service: state.Order.Service, ID: state.Order.ID, Phase: state.Phase, AgeMillis: toMillis(now.Sub(state.StartedAt))}
	for _, s := range samples {
		reported := ReportedSample{
			Node: s.Node, Number: s.Number, Route: s.Route, Target: s.Target,
			LatencyMillis: toMillis(s.Latency), RatioPercent: uint32(min(max(s.Ratio, 0), maxRatio) * 100), AgeMillis: toMillis(now.Sub(s.At)),
		}
		reported.set(flagNew, s.IsNew)
		reported.set(flagFailure, s.IsFailure)
		reported.set(flagOpenEnded, s.IsOpenEnded)
		r.Samples = append(r.Samples, reported)
	}
	return r
}

func (s *ReportedSample) set(f SampleFlags, isSet bool) {
	if isSet {
		s.Flags |= f
	}
}

// StartedAt returns when the fleet learned of the order.
func (r Report) StartedAt(now time.Time) time.Time {
	return now.Add(-fromMillis(r.AgeMillis))
}

// Decoded returns the samples of the report.
func (r Report) Decoded(now time.Time) (samples []Sample) {
	for _, s := range r.Samples {
		samples = append(samples, Sample{
			Node: s.Node, Number: s.Number, Route: s.Route, Target: s.Target,
			IsNew: s.Flags&flagNew != 0, IsFailure: s.Flags&flagFailure != 0, IsOpenEnded: s.Flags&flagOpenEnded != 0,
			Latency: fromMillis(s.LatencyMillis), Ratio: float64(s.RatioPercent) / 100, At: now.Add(-fromMillis(s.AgeMillis)),
		})
	}
	return samples
}

// SampleCount returns the number of reports and of their samples together.
func SampleCount(reports []Report) (n int) {
	for _, r := range reports {
		n += 1 + len(r.Samples)
	}
	return n
}
