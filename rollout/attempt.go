package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/target"
)

// RecordAttempt records how an attempt ended if it is a sample. It must not block.
func (s *Service) RecordAttempt(a target.FinishedAttempt) {
	if !s.isActive.Load() {
		return
	}
	isOpenEnded := a.Result == target.Cancelled || a.Result == target.TimedOut
	if !isOpenEnded && a.Result != target.Answered && a.Result != target.ServerFailed || a.WasCold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	route := profile.Name(a.Route)
	isNew := a.Lane == target.LaneCanary
	switch {
	case isNew:
		if !s.takeSample(a.EndedAt) {
			return
		}
		s.pairsWanted[route]++
	case s.state.Phase == Moving:
		// All calls go to the new version; a share of them are samples.
		if isNew = slices.Contains(s.canaries, a.ID) && s.takeShare(route) && s.takeSample(a.EndedAt); !isNew {
			return
		}
	case s.pairsWanted[route] >= 1:
		s.pairsWanted[route]--
	default:
		return
	}
	sample := Sample{
		Node: s.Node, Number: s.number.Add(1), Route: hash32(string(a.Route)), Target: hash32(string(a.ID)),
		IsNew: isNew, IsFailure: a.Result == target.ServerFailed, IsOpenEnded: isOpenEnded, Latency: a.Latency, Ratio: a.ForecastRatio, At: a.EndedAt,
	}
	if s.log.add(sample) {
		s.outbox = append(s.outbox, sample)
	}
}

func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// AddSamples adds samples of peers, and returns those that are new.
func (s *Service) AddSamples(id OrderID, samples []Sample) (added []Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOrder || s.state.Order.ID != id {
		return nil
	}
	for _, sample := range samples {
		if s.log.add(sample) {
			added = append(added, sample)
		}
	}
	return added
}

// TakeOutbox returns the samples of this node since the last call.
func (s *Service) TakeOutbox() (samples []Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples, s.outbox = s.outbox, nil
	return samples
}

// Samples returns all samples.
func (s *Service) Samples() []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log.samples)
}
