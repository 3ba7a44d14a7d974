package gateway

import (
	"math"
	"time"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings hold a node's identity, its addresses and the limits it shares with the
// fleet.
type Settings struct {
	Name string
	Zone zone.Name
	// CallerAddress, ReadinessAddress and MetricsAddress are the addresses on which the
	// node listens for callers, readiness checks and metric scrapes.
	CallerAddress, ReadinessAddress, MetricsAddress string
	// PeerAddress is the address on which the node listens for links of other nodes.
	PeerAddress vm.Address
	// AdvertisedAddress is the address at which other nodes reach this one, if it differs
	// from PeerAddress.
	AdvertisedAddress vm.Address
	// IsFirstFleetStart is set if the whole fleet starts for the first time.
	IsFirstFleetStart bool
	// MemoryLimitMB is the memory limit of the process in megabytes; zero means no
	// limit. It bounds the request bodies that are buffered, the heads that are open and
	// the connections.
	MemoryLimitMB float64
	// MaxDescriptors is the number of descriptors that the process may open; zero means no
	// limit. It bounds the connections.
	MaxDescriptors int
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod   time.Duration
	ExtraAttempts ExtraAttemptLimit
	// Rollouts bound what a bad version of a service may cost.
	Rollouts rollout.Bounds
	// StoreAddress is the address of the platform's store, in which a topic has
	// PartitionsPerTopic partitions.
	StoreAddress       string
	PartitionsPerTopic int
	// BackupLimits are what the store allows for snapshots.
	BackupLimits backup.Limits
}

// ExtraAttemptLimit limits the extra attempts (retries and hedges) that reach the targets
// of one service from the whole fleet within a window.
type ExtraAttemptLimit struct {
	// AttemptsPerCall is the number of extra attempts allowed for each call, and
	// BaseAttempts the number allowed in each window regardless of calls.
	AttemptsPerCall float64
	BaseAttempts    float64
	Window          time.Duration
}

const (
	// perCallShare is the part of ExtraAttemptLimit.AttemptsPerCall that each call adds to
	// the token bucket. The rest is a margin: the limit counts calls of the same window,
	// while the bucket may hold tokens earned in an earlier one.
	perCallShare = 0.8
	// burstShare is the part of a node's share of BaseAttempts that its token bucket can
	// hold, but at least one attempt; the rest is refilled over the window.
	burstShare = 0.5
)

// share returns the token bucket settings of one of nodeCount nodes.
func (l ExtraAttemptLimit) share(nodeCount int) retry.Settings {
	baseAttempts := l.BaseAttempts / float64(max(1, nodeCount))
	window := max(l.Window, time.Second).Seconds()
	burst := max(1, burstShare*baseAttempts)
	return retry.Settings{
		// Zero would select the default.
		TokensPerCall:   max(perCallShare*l.AttemptsPerCall, math.SmallestNonzeroFloat64),
		Burst:           burst,
		TokensPerSecond: max(0, baseAttempts-burst) / window,
	}
}
