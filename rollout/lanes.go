package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// unlistedRetention is how long after a success targets of other versions are kept from
// use. They stop at once, and their records expire within seconds.
const unlistedRetention = 15 * time.Second

// Lanes returns the lane of each target by its ID; nil if calls may use all of them.
// operatorReadAt is when the operator topic was last read. With recheck, the result may
// change by time alone.
func (s *Service) Lanes(targets []vm.VM, now, operatorReadAt time.Time) (lanes map[vm.ID]target.Lane, recheck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.holdUnknown(targets, now, operatorReadAt)
	s.countTargets(targets)
	if !s.hasOrder && len(s.rejected) == 0 && len(held) == 0 {
		return nil, false
	}
	lanes = make(map[vm.ID]target.Lane, len(targets))
	for _, t := range targets {
		lane := s.laneOf(Version(t.Version), now)
		if held[Version(t.Version)] && lane == target.LaneOpen {
			lane = target.LaneClosed
		}
		lanes[t.ID] = lane
	}
	return lanes, len(held) > 0 || s.hasOrder && s.state.Phase == Succeeded && now.Sub(s.state.ChangedAt) <= unlistedRetention
}

// holdUnknown returns the versions whose order may not be read yet. s.mu must be held.
func (s *Service) holdUnknown(targets []vm.VM, now, operatorReadAt time.Time) (held map[Version]bool) {
	isFirst := s.listedSince == nil
	if isFirst {
		s.listedSince = map[Version]time.Time{}
	}
	for _, t := range targets {
		v := Version(t.Version)
		since, known := s.listedSince[v]
		if !known {
			if !isFirst {
				since = now
			}
			s.listedSince[v] = since
		}
		isOrdered := s.hasOrder && v == s.state.Order.Version
		if s.Bounds.HoldUnknownVersions && !isOrdered && !operatorReadAt.After(since) {
			if held == nil {
				held = map[Version]bool{}
			}
			held[v] = true
		}
	}
	if len(held) == len(s.listedSince) {
		return nil
	}
	return held
}

// countTargets updates the usable targets of the order's version. s.mu must be held.
func (s *Service) countTargets(targets []vm.VM) {
	s.canaries = s.canaries[:0]
	s.newSlots, s.oldSlots, s.hasOthers = 0, 0, false
	for _, t := range targets {
		v := Version(t.Version)
		isNew := s.hasOrder && v == s.state.Order.Version
		if t.State != vm.StateLive {
			continue
		}
		switch {
		case isNew:
			s.canaries = append(s.canaries, t.ID)
			s.newSlots += max(1, t.Slots)
		case !s.rejected[v]:
			s.hasOthers = true
			s.oldSlots += max(1, t.Slots)
		}
	}
	seed := s.state.Order.ID.ValueHash
	slices.SortFunc(s.canaries, func(a, b vm.ID) int {
		return cmp.Compare(xxhash.Sum64String(string(a))^seed, xxhash.Sum64String(string(b))^seed)
	})
}

// laneOf returns the lane of the targets of a version. Without any live target of another
// version, a version that is not known to be bad is used. s.mu must be held.
func (s *Service) laneOf(v Version, now time.Time) target.Lane {
	isNew := s.hasOrder && v == s.state.Order.Version
	if !isNew && s.rejected[v] {
		if s.hasOthers || s.newSlots > 0 {
			return target.LaneClosed
		}
		return target.LaneOpen
	}
	if !s.hasOrder {
		return target.LaneOpen
	}
	switch s.state.Phase {
	case Pending:
		if isNew && s.hasOthers {
			return target.LaneClosed
		}
	case Observing:
		if isNew && s.hasOthers {
			return target.LaneCanary
		}
	case Moving:
		if !isNew && s.newSlots > 0 {
			return target.LaneClosed
		}
	case Succeeded:
		if !isNew && s.newSlots > 0 && now.Sub(s.state.ChangedAt) <= unlistedRetention {
			return target.LaneClosed
		}
	case Stopped, RolledBack:
		if isNew {
			return target.LaneClosed
		}
	}
	return target.LaneOpen
}
