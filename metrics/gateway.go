package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
)

// Gateway holds the metrics of a node on the users' platform, beside those of its
// calls.
type Gateway struct {
	scope             tally.Scope
	loadQueries       tally.Counter
	unansweredQueries tally.Counter

	mu        sync.Mutex
	durations map[durationKey]tally.Histogram
}

type durationKey struct {
	service service.Name
	outcome outcome.Outcome
}

// GatewayState is what a node's gauges show.
type GatewayState struct {
	Ready   bool
	Reading bool
	// Version is the plan's in force.
	Version int64
	// OperatorAge and TargetsAge are how long ago the store's topics were read, by
	// whomever, in seconds.
	OperatorAge, TargetsAge float64
	Nodes, Links, Held      int
}

// NewGateway returns the metrics of a scope.
func NewGateway(scope tally.Scope) *Gateway {
	g := &Gateway{scope: scope, loadQueries: scope.Counter("questions"), unansweredQueries: scope.Counter("questions_unanswered"), durations: map[durationKey]tally.Histogram{}}
	g.loadQueries.Inc(0)
	g.unansweredQueries.Inc(0)
	return g
}

// Asked counts a question to a target.
func (g *Gateway) Asked(answered bool) {
	g.loadQueries.Inc(1)
	if !answered {
		g.unansweredQueries.Inc(1)
	}
}

// Ended notes how long a call of a service took until it ended so.
func (g *Gateway) Ended(s service.Name, o outcome.Outcome, took time.Duration) {
	g.histogram(durationKey{s, o}).RecordDuration(took)
}

func (g *Gateway) histogram(key durationKey) tally.Histogram {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.durations[key]
	if h == nil {
		tags := map[string]string{"service": string(key.service), "outcome": string(key.outcome)}
		h = g.scope.Tagged(tags).Histogram("service_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, serviceBucketCount))
		g.durations[key] = h
	}
	return h
}

// serviceBucketCount is how many buckets a service's histogram has, from 1 ms to 16 s.
const serviceBucketCount = 15

// Set shows a node's state.
func (g *Gateway) Set(s GatewayState) {
	for name, value := range map[string]float64{
		"ready": boolGauge(s.Ready), "reading": boolGauge(s.Reading), "plan_version": float64(s.Version),
		"operator_age_seconds": s.OperatorAge, "targets_age_seconds": s.TargetsAge,
		"nodes": float64(s.Nodes), "peer_links": float64(s.Links), "calls_held": float64(s.Held),
	} {
		g.scope.Gauge(name).Update(value)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
