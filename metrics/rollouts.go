package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/apricotmount/apricotmount/service"
)

// Rollouts holds the gauges of roll-outs. It is safe for concurrent use.
type Rollouts struct{ scope tally.Scope }

// NewRollouts returns the metrics of roll-outs, which appear with the first order.
func NewRollouts(scope tally.Scope) *Rollouts { return &Rollouts{scope: scope} }

// RolloutState holds the values of a service's gauges.
type RolloutState struct {
	Service service.Name
	// Phase is the number of the phase.
	Phase int
	// NewSamples and PairedSamples are the numbers of samples of the new and of the old
	// version, TargetCount that of usable targets of the new one.
	NewSamples, PairedSamples, TargetCount int
}

// Update sets the gauges of a service.
func (r *Rollouts) Update(s RolloutState) {
	scope := r.scope.Tagged(map[string]string{"service": string(s.Service)})
	scope.Gauge("rollout_phase").Update(float64(s.Phase))
	scope.Gauge("rollout_samples_new").Update(float64(s.NewSamples))
	scope.Gauge("rollout_samples_old").Update(float64(s.PairedSamples))
	scope.Gauge("rollout_targets").Update(float64(s.TargetCount))
}
