package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// turnInterval is the time for which the same targets get the calls of the new
	// version.
	turnInterval = time.Second
	// turnTargets is the number of targets that get these calls: few, so that they are
	// full at times.
	turnTargets = 3
	// maxSamplesPerSecond bounds the samples of the new version that the whole fleet
	// exchanges, and maxSavedSamples those that a node may make at once.
	maxSamplesPerSecond = 40
	maxSavedSamples     = 3.0
	// maxSaved is the number of calls that a route may send later because no target of
	// the new version was free.
	maxSaved = 2.0
)

// Targets returns the targets of the new version among which a call of a route is to be
// sent; nil if it goes to the old version. The call counts as sent to the new one unless it
// is given back with Return.
func (s *Service) Targets(route profile.Name) []vm.ID {
	if !s.isActive.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Phase != Observing || len(s.canaries) == 0 || !s.hasOthers {
		return nil
	}
	if !s.takeShare(route) {
		return nil
	}
	if s.isRamp(time.Now()) {
		return slices.Clone(s.canaries)
	}
	first := int(time.Now().UnixMilli() / turnInterval.Milliseconds() % int64(len(s.canaries)))
	ids := make([]vm.ID, 0, turnTargets)
	for i := range min(turnTargets, len(s.canaries)) {
		ids = append(ids, s.canaries[(first+i)%len(s.canaries)])
	}
	return ids
}

// isRamp reports whether the move is about to begin. s.mu must be held.
func (s *Service) isRamp(now time.Time) bool {
	begin := s.state.Order.moveAfter(s.callTimeout) - s.state.Order.rampTime()
	age := now.Sub(s.state.StartedAt)
	return s.state.Phase == Observing && age >= begin && age < begin+s.state.Order.rampTime() && s.log.newCount() >= minNewSamples
}

// takeSample reports whether this node may exchange one more sample of the new version.
// s.mu must be held.
func (s *Service) takeSample(now time.Time) bool {
	perSecond := float64(maxSamplesPerSecond) / float64(max(1, s.fleetSize))
	if s.sampledAt.IsZero() {
		s.sampleTokens = maxSavedSamples
	} else {
		s.sampleTokens = min(maxSavedSamples, s.sampleTokens+perSecond*now.Sub(s.sampledAt).Seconds())
	}
	s.sampledAt = now
	if s.sampleTokens < 1 {
		return false
	}
	s.sampleTokens--
	return true
}

// takeShare counts one call of a route and reports whether it is one of those for the new
// version. A random start makes the sum over nodes with few calls each as exact as with
// many. s.mu must be held.
func (s *Service) takeShare(route profile.Name) bool {
	if s.shares == nil {
		s.shares, s.pairsWanted = map[profile.Name]float64{}, map[profile.Name]float64{}
	}
	saved, known := s.shares[route]
	if !known {
		saved = rand.Float64()
	}
	saved = min(saved+s.Bounds.callShare(s.isRamp(time.Now())), maxSaved)
	isDue := saved >= 1
	if isDue {
		saved--
	}
	s.shares[route] = saved
	return isDue
}

// Return gives back a call that no target of the new version could take.
func (s *Service) Return(route profile.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares[route] = min(s.shares[route]+1, maxSaved)
}
