package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings are who and where a node is, and the bounds it shares with the fleet.
type Settings struct {
	Name string
	Zone zone.Name
	// Callers, Readiness and Metrics are the addresses of the node's ports.
	CallerAddress, ReadinessAddress, MetricsAddress string
	// Peers is where other nodes open links.
	PeerAddress vm.Address
	// Advertised is where other nodes reach this one, if it is not where it listens.
	AdvertisedAddress vm.Address
	// FirstStart says that the whole fleet starts for the first time.
	IsFirstFleetStart bool
	// MemoryMB is the most memory the process may use; zero means no bound.
	MemoryLimitMB float64
	// Grace is the time between the signal to stop and the kill.
	GracePeriod   time.Duration
	ExtraAttempts ExtraAttemptLimit
	// Store is the address of the platform's store.
	StoreAddress string
}

// Arrivals bounds, summed over the fleet and for each service, how many attempts
// beyond the first of each call may reach targets within a window.
type ExtraAttemptLimit struct {
	// PerCall is what each call adds, and Slack what there is besides.
	AttemptsPerCall float64
	BaseAttempts    float64
	Window          time.Duration
}

const (
	// perCallShare is the part of the fleet's bound per call that is used, since
	// the bound counts calls of the same window and tokens may be saved.
	perCallShare = 0.8
	// burstShare is the part of a node's slack that may be spent at once, if that is
	// a whole attempt; the rest comes back over the window.
	burstShare = 0.5
)

// share is a node's part of the bound if it is one of n.
func (a ExtraAttemptLimit) share(n int) retry.Settings {
	slack := a.BaseAttempts / float64(max(1, n))
	window := max(a.Window, time.Second).Seconds()
	burst := max(1, burstShare*slack)
	return retry.Settings{
		TokensPerCall:   perCallShare * a.AttemptsPerCall,
		Burst:           burst,
		TokensPerSecond: max(0, slack-burst) / window,
	}
}
