package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
)

// Gateway holds the metrics of a node on the users' platform, except those of its
// calls, which Calls holds. It is safe for concurrent use.
type Gateway struct {
	scope             tally.Scope
	loadQueries       tally.Counter
	unansweredQueries tally.Counter
	limited           map[LimitedResult]tally.Counter
	intakeRefusals    map[intake.Refusal]tally.Counter

	// mu guards durations, which holds the histograms registered so far.
	mu        sync.Mutex
	durations map[durationKey]tally.Histogram
}

// durationKey holds the labels of a service_seconds histogram.
type durationKey struct {
	service service.Name
	outcome outcome.Outcome
}

// GatewayState holds the values of a gateway node's gauges.
type GatewayState struct {
	IsReady bool
	// IsStoreReader reports whether this node reads a topic of the store for all nodes.
	IsStoreReader bool
	// PlanVersion is the version of the active plan, and PlanAgeSeconds how long it has been
	// active; zero without one.
	PlanVersion    int64
	PlanAgeSeconds float64
	// OperatorAgeSeconds and TargetsAgeSeconds are the times since any node last read
	// the operator topic and the targets topic of the store.
	OperatorAgeSeconds, TargetsAgeSeconds float64
	// NodeCount is the number of known nodes, PeerLinkCount of open peer links and
	// HeldCallCount of calls in this node.
	NodeCount, PeerLinkCount, HeldCallCount int
	// LimitedTargetCount is the number of targets with a rate limit.
	LimitedTargetCount int
	// HeldRequestCount is the number of requests that are held back, LostPathCount that of
	// services to whose targets this node has no path, and RelayedCallCount that of calls in
	// progress for other nodes.
	HeldRequestCount, LostPathCount, RelayedCallCount int
}

// LimitedResult is what became of a call whose targets name rate limits.
type LimitedResult string

// The results.
const (
	LimitedSent    LimitedResult = "sent"
	LimitedWaiting LimitedResult = "waiting"
	LimitedRefused LimitedResult = "refused"
)

// NewGateway registers the metrics in a scope. The counters start at 0.
func NewGateway(scope tally.Scope) *Gateway {
	g := &Gateway{scope: scope, loadQueries: scope.Counter("questions"), unansweredQueries: scope.Counter("questions_unanswered"), durations: map[durationKey]tally.Histogram{}}
	g.loadQueries.Inc(0)
	g.unansweredQueries.Inc(0)
	g.limited = map[LimitedResult]tally.Counter{}
	for _, r := range []LimitedResult{LimitedSent, LimitedWaiting, LimitedRefused} {
		g.limited[r] = scope.Tagged(map[string]string{"result": string(r)}).Counter("calls_limited")
		g.limited[r].Inc(0)
	}
	g.intakeRefusals = countersByReason(scope, "intake_refusals", intake.Refusals)
	return g
}

// CountIntakeRefusal counts a request that was refused before its head was parsed, or a connection
// that was closed for a limit.
func (g *Gateway) CountIntakeRefusal(r intake.Refusal) { incrementReason(g.intakeRefusals, r) }

// CountLimited counts a call that a rate limit let through or held back.
func (g *Gateway) CountLimited(r LimitedResult) { g.limited[r].Inc(1) }

// CountRelayRefusal counts a call of another node that this one did not take.
func (g *Gateway) CountRelayRefusal(reason string) {
	g.scope.Tagged(map[string]string{"reason": reason}).Counter("relay_refusals").Inc(1)
}

// CountLoadQuery counts a load query to a target; isAnswered reports whether the
// target responded in time.
func (g *Gateway) CountLoadQuery(isAnswered bool) {
	g.loadQueries.Inc(1)
	if !isAnswered {
		g.unansweredQueries.Inc(1)
	}
}

// RecordCall records the duration of a call by service and outcome.
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
// double from 1 ms to about 16 s.
const serviceBucketCount = 15

// UpdateGauges sets all gauges to the given state.
func (g *Gateway) UpdateGauges(s GatewayState) {
	for name, value := range map[string]float64{
		"ready": boolGauge(s.IsReady), "reading": boolGauge(s.IsStoreReader), "plan_version": float64(s.PlanVersion), "plan_age_seconds": s.PlanAgeSeconds,
		"operator_age_seconds": s.OperatorAgeSeconds, "targets_age_seconds": s.TargetsAgeSeconds,
		"nodes": float64(s.NodeCount), "peer_links": float64(s.PeerLinkCount), "calls_held": float64(s.HeldCallCount),
		"targets_limited": float64(s.LimitedTargetCount), "requests_quarantined": float64(s.HeldRequestCount),
		"paths_lost": float64(s.LostPathCount), "calls_relayed": float64(s.RelayedCallCount),
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
