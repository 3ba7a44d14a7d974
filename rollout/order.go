package rollout

import (
	"time"

	"github.com/apricotmount/apricotmount/service"
)

// Version is the version of a target's software.
type Version string

// OrderID identifies an order by its record in the operator topic. It does not depend on
// the epoch of the store, so that a restored store names the same order.
type OrderID struct {
	Offset uint64 `cbor:"1,keyasint"`
	// ValueHash is a hash of the record's value.
	ValueHash uint64 `cbor:"2,keyasint"`
}

// Order is an operator's order to move a service to targets of a version.
type Order struct {
	ID      OrderID
	Service service.Name
	Version Version
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// Bounds bound what a bad version may cost.
type Bounds struct {
	// ExposureShare is the share of a service's calls that a bad version may get.
	ExposureShare float64
	// HoldUnknownVersions keeps targets of a version that was not listed before unused
	// until the operator topic was read since: their order may still be unread.
	HoldUnknownVersions bool
}

// DefaultExposureShare is the ExposureShare if the settings name none.
const DefaultExposureShare = 0.1

// Parts of the exposure that an order allows, which is ExposureShare of all calls until the
// deadline. What is left of it is for rounding and for the time until a version that shows
// its fault only during the move is stopped everywhere.
const (
	// plannedPart is used by the share of calls while the version is observed.
	plannedPart = 0.6
	// rampPart is used in addition by the ramp, in which more samples show faults of rare
	// calls before all calls move.
	rampPart = 0.2
	// rampFactor is the share of calls during the ramp, as a multiple of ExposureShare.
	rampFactor = 2.5
)

// exposureShare returns the share of all calls that a bad version may get.
func (b Bounds) exposureShare() float64 {
	if b.ExposureShare <= 0 {
		return DefaultExposureShare
	}
	return min(b.ExposureShare, 1)
}

// callShare returns the share of calls that each node sends to a new version.
func (b Bounds) callShare(isRamp bool) float64 {
	if isRamp {
		return min(rampFactor*b.exposureShare(), 1)
	}
	return plannedPart * b.exposureShare()
}

// rampTime returns the length of the ramp of an order, which ends with the begin of the
// move: as long as it takes the calls beyond callShare to use up rampPart.
func (o Order) rampTime() time.Duration {
	return time.Duration(rampPart / (rampFactor - plannedPart) * float64(o.Duration))
}

const (
	// spreadTime is the time within which all linked nodes receive a change of phase.
	spreadTime = time.Second
	// resultMargin is reserved for writing the result before the deadline, to a store
	// that may be slow.
	resultMargin = 1200 * time.Millisecond
	// minObservedShare is the least part of an order's duration in which the version is
	// observed before the move.
	minObservedShare = 0.4
)

// moveAfter returns the time from an order to the move of all calls: as late as the
// deadline allows, since a version may become bad at any time. callTimeout is the longest
// timeout of the service's calls.
func (o Order) moveAfter(callTimeout time.Duration) time.Duration {
	latest := o.Duration - settleTime(callTimeout) - resultMargin
	return max(latest, time.Duration(minObservedShare*float64(o.Duration)))
}

// settleTime returns the time after the begin of the move in which all nodes learn of it
// and the calls that are open at old targets end.
func settleTime(callTimeout time.Duration) time.Duration {
	return spreadTime + callTimeout
}

// Phase is the phase of a roll-out. Phases of two nodes are merged by taking the greater
// one. Their numbers are part of the peer protocol.
type Phase uint8

// The phases.
const (
	// Pending: it is not known yet whether the store holds a result.
	Pending Phase = iota
	// Observing: a share of the calls goes to the new version.
	Observing
	// Moving: all calls go to the new version, and the old targets finish theirs.
	Moving
	// Stopped: the new version is bad and gets no calls.
	Stopped
	// Succeeded: the store holds the result that the version is in place.
	Succeeded
	// RolledBack: the store holds the result that the version is bad.
	RolledBack
)

var phaseNames = [...]string{"pending", "observing", "moving", "stopped", "succeeded", "rolled-back"}

// String returns the name of the phase, as used in logs.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// IsFinal reports whether the result is written.
func (p Phase) IsFinal() bool { return p == Succeeded || p == RolledBack }

// isValid reports whether the phase is one of this build.
func (p Phase) isValid() bool { return int(p) < len(phaseNames) }
