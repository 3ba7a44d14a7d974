package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
)

// Gateway holds the metrics of a node on the users' platform, except those of its
// calls, which Calls holds. It is safe for concurrent use.
type Gateway struct {
	scope             tally.Scope
	loadQueries       tally.Counter
	unansweredQueries tally.Counter

	// mu guards durations, which maps keys to histograms registered so far.
	mu        sync.Mutex
	durations map[durationKey]tally.Histogram
}

type durationKey struct {
	service service.Name
	outcome outcome.Outcome
}

// GatewayState holds the values of a gateway node's gauges.
type GatewayState struct {
	IsReady bool
	// Reading reports whether this node reads the store on behalf of all nodes.
	IsStoreReader bool
	// Version is the version of the active plan.
	PlanVersion int64
	// OperatorAge and TargetsAge are the times since any node last read these
	// topics of the store, in seconds.
	OperatorAgeSeconds, TargetsAgeSeconds float64
	// Nodes is the number of known nodes, Links of open peer links and Held of
	// calls in this node.
	NodeCount, PeerLinkCount, HeldCallCount int
}

// NewGateway registers the metrics in a scope. The counters start at 0.
func NewGateway(scope tally.Scope) *Gateway {
	g := &Gateway{scope: scope, loadQueries: scope.Counter("questions"), unansweredQueries: scope.Counter("questions_unanswered"), durations: map[durationKey]tally.Histogram{}}
	g.loadQueries.Inc(0)
	g.unansweredQueries.Inc(0)
	return g
}

// Asked counts a load query to a target, and whether the target answered in time.
func (g *Gateway) CountLoadQuery(answered bool) {
	g.loadQueries.Inc(1)
	if !answered {
		g.unansweredQueries.Inc(1)
	}
}

// Ended records the duration of a call by service and outcome.
func (g *Gateway) RecordCall(s service.Name, o outcome.Outcome, duration time.Duration) {
	g.histogram(durationKey{s, o}).RecordDuration(duration)
}

// histogram returns the histogram of a service and an outcome, and registers it on
// first use.
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

// serviceBucketCount is the number of buckets of service_seconds. Their bounds
// double from 1 ms to 16 s.
const serviceBucketCount = 15

// Set updates all gauges.
func (g *Gateway) UpdateGauges(s GatewayState) {
	for name, value := range map[string]float64{
		"ready": boolGauge(s.IsReady), "reading": boolGauge(s.IsStoreReader), "plan_version": float64(s.PlanVersion),
		"operator_age_seconds": s.OperatorAgeSeconds, "targets_age_seconds": s.TargetsAgeSeconds,
		"nodes": float64(s.NodeCount), "peer_links": float64(s.PeerLinkCount), "calls_held": float64(s.HeldCallCount),
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
