package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings hold a node's identity, its addresses and the limits it shares with the
// fleet.
type Settings struct {
	Name string
	Zone zone.Name
	// Callers, Readiness and Metrics are the addresses on which the node listens for
	// callers, readiness checks and metric scrapes.
	CallerAddress, ReadinessAddress, MetricsAddress string
	// Peers is the address on which the node listens for links of other nodes.
	PeerAddress vm.Address
	// Advertised is the address at which other nodes reach this one, if it differs from
	// Peers.
	AdvertisedAddress vm.Address
	// FirstStart is set if the whole fleet starts for the first time.
	IsFirstFleetStart bool
	// MemoryMB is the memory limit of the process in megabytes; zero means no limit.
	// This package does not enforce it.
	MemoryLimitMB float64
	// Grace is the time from the signal to stop until the process is killed.
	GracePeriod   time.Duration
	ExtraAttempts ExtraAttemptLimit
	// Store is the address of the platform's store.
	StoreAddress string
}

// Arrivals limits the extra attempts (retries and hedges) that reach the targets of one
// service from the whole fleet within a window.
type ExtraAttemptLimit struct {
	// PerCall is the number of extra attempts allowed for each call, and Slack the number
	// allowed in each window regardless of calls.
	AttemptsPerCall float64
	BaseAttempts    float64
	Window          time.Duration
}

const (
	// perCallShare is the part of Arrivals.PerCall that each call adds to the token
	// bucket. The rest is a margin: the limit counts calls of the same window, while the
	// bucket may hold tokens earned in an earlier one.
	perCallShare = 0.8
	// burstShare is the part of a node's slack that its token bucket can hold, but at
	// least one attempt; the rest is refilled over the window.
	burstShare = 0.5
)

// share returns the token bucket settings of one of nodeCount nodes.
func (a ExtraAttemptLimit) share(nodeCount int) retry.Settings {
	slack := a.BaseAttempts / float64(max(1, nodeCount))
	window := max(a.Window, time.Second).Seconds()
	burst := max(1, burstShare*slack)
	return retry.Settings{
		TokensPerCall:   perCallShare * a.AttemptsPerCall,
		Burst:           burst,
		TokensPerSecond: max(0, slack-burst) / window,
	}
}
