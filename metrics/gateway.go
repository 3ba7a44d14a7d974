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
	scope      tally.Scope
	questions  tally.Counter
	unanswered tally.Counter

	mu        sync.Mutex
	latencies map[latencyKey]tally.Histogram
}

type latencyKey struct {
	service service.Name
	outcome outcome.Outcome
}

// GatewayState is what a node's gauges show.
type GatewayState struct {
	IsReady       bool
	IsStoreReader bool
	// Version is the plan's in force.
	PlanVersion int64
	// OperatorAge and TargetsAge are how long ago the store's topics were read, by
	// whomever, in seconds.
	OperatorAgeSeconds, TargetsAgeSeconds   float64
	NodeCount, PeerLinkCount, HeldCallCount int
}

// NewGateway returns the metrics of a scope.
func NewGateway(scope tally.Scope) *Gateway {
	g := &Gateway{scope: scope, questions: scope.Counter("questions"), unanswered: scope.Counter("questions_unanswered"), latencies: map[latencyKey]tally.Histogram{}}
	g.questions.Inc(0)
	g.unanswered.Inc(0)
	return g
}

// Asked counts a question to a target.
func (g *Gateway) CountLoadQuery(answered bool) {
	g.questions.Inc(1)
	if !answered {
		g.unanswered.Inc(1)
	}
}

// Ended notes how long a call of a service took until it ended so.
func (g *Gateway) RecordCall(s service.Name, o outcome.Outcome, took time.Duration) {
	g.latency(latencyKey{s, o}).RecordDuration(took)
}

func (g *Gateway) latency(key latencyKey) tally.Histogram {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.latencies[key]
	if h == nil {
		tags := map[string]string{"service": string(key.service), "outcome": string(key.outcome)}
		h = g.scope.Tagged(tags).Histogram("service_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, serviceBuckets))
		g.latencies[key] = h
	}
	return h
}

// serviceBuckets is how many buckets a service's histogram has, from 1 ms to 16 s.
const serviceBuckets = 15

// Set shows a node's state.
func (g *Gateway) UpdateGauges(s GatewayState) {
	for name, value := range map[string]float64{
		"ready": one(s.IsReady), "reading": one(s.IsStoreReader), "plan_version": float64(s.PlanVersion),
		"operator_age_seconds": s.OperatorAgeSeconds, "targets_age_seconds": s.TargetsAgeSeconds,
		"nodes": float64(s.NodeCount), "peer_links": float64(s.PeerLinkCount), "calls_held": float64(s.HeldCallCount),
	} {
		g.scope.Gauge(name).Update(value)
	}
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
