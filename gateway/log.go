package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/target"
)

// outcomeEvents maps the outcome of a call to its log event.
var outcomeEvents = map[outcome.Outcome]event.Event{
	outcome.Done:    event.CallDone,
	outcome.NotRun:  event.CallNotRun,
	outcome.Unknown: event.CallUnknown,
}

// decisionEvents maps the kind of a decision to its log event.
var decisionEvents = map[dispatch.DecisionKind]event.Event{
	dispatch.Placed:   event.CallPlaced,
	dispatch.Hedged:   event.CallHedged,
	dispatch.Waiting:  event.CallWaits,
	dispatch.Failed:   event.CallFailed,
	dispatch.HeldBack: event.CallHeldBack,
}

// ObserveDecision logs a decision on a call with the values it was based on.
func (n *Node) ObserveDecision(c *dispatch.Call, d dispatch.Decision) {
	fields := []zap.Field{
		event.RequestID(c.ID), zap.String("target", string(d.Target.ID)), zap.Int64("since-ms", d.SinceArrival.Milliseconds()),
		zap.Int64("version", n.planVersion()), zap.Int64("forecast-ms", d.Forecast.Milliseconds()), zap.Int64("limit-ms", d.ForecastLimit.Milliseconds()),
	}
	if d.LoadReport.IsDetailed {
		fields = append(fields, zap.Int("running", d.LoadReport.RunningCount), zap.Int("waiting", d.LoadReport.WaitingCount),
			zap.Float64("pace", d.LoadReport.SlowdownFactor), zap.Int64("report-age-ms", d.LoadReportAge.Milliseconds()))
	}
	if d.Limit.Status == target.LimitNamed {
		fields = append(fields, zap.Float64("rate-limit", float64(d.Limit.PerSecond)), zap.Int64("rate-limit-age-ms", d.LimitAge.Milliseconds()))
	}
	if d.Target.Zone != n.settings.Zone {
		fields = append(fields, zap.String("zone", string(d.Target.Zone)))
	}
	if d.RunCount > 0 {
		fields = append(fields, zap.Int("runs", d.RunCount))
	}
	if d.Kind != dispatch.Hedged {
		fields = append(fields, zap.Int("extra-left", d.ExtraAttemptsLeft))
	}
	if d.IsLate {
		fields = append(fields, zap.Bool("late", true))
	}
	if d.Kind == dispatch.Failed {
		fields = append(fields, zap.Stringer("result", d.Result), zap.Bool("written", d.Written), digestField(c))
	}
	if d.Broken != "" {
		fields = append(fields, zap.String("broken", string(d.Broken)))
	}
	if d.Kind == dispatch.HeldBack {
		fields = append(fields, turnFields(d)...)
	}
	n.countLimited(d)
	decisionEvents[d.Kind].Log(n.logger, fields...)
}

// digestField returns a log field with the digest of a call's request, by which copies of it
// are found. It is left out while the digest is unknown.
func digestField(c *dispatch.Call) zap.Field {
	digest, ok := c.Digest()
	if !ok {
		return zap.Skip()
	}
	return zap.Stringer("request", digest)
}

// turnFields returns the log fields of a call that rate limits hold back.
func turnFields(d dispatch.Decision) []zap.Field {
	return []zap.Field{
		zap.Bool("refused", d.IsRefused), zap.Bool("has-turn", d.Turn.IsSender), zap.Int64("turn-ms", d.Turn.Wait.Milliseconds()), zap.Int("ahead", d.CallsAhead),
		zap.Int("targets-limited", d.Turn.TargetCount), zap.Float64("rate-limit", float64(d.Turn.Rate)), zap.Int64("rate-limit-age-ms", d.Turn.OldestLimitAge.Milliseconds()),
	}
}

// countLimited counts a decision that a rate limit had a part in.
func (n *Node) countLimited(d dispatch.Decision) {
	switch {
	case d.Kind == dispatch.HeldBack && d.IsRefused:
		n.gatewayMetrics.CountLimited(metrics.LimitedRefused)
	case d.Kind == dispatch.HeldBack:
		n.gatewayMetrics.CountLimited(metrics.LimitedWaiting)
	case d.Kind == dispatch.Placed && d.Limit.Status == target.LimitNamed:
		n.gatewayMetrics.CountLimited(metrics.LimitedSent)
	}
}

// changeEvents maps a change that a target table reports to its log event.
var changeEvents = map[target.Change]event.Event{
	target.StateChanged:     event.TargetState,
	target.InstanceChanged:  event.TargetInstance,
	target.TargetEjected:    event.TargetEjected,
	target.TargetReinstated: event.TargetReturned,
	target.EjectionSkipped:  event.MostTargetsFailing,
	target.ListIncomplete:   event.ListIncomplete,
	target.TargetLeaving:    event.TargetLeaving,
	target.TargetBackedOff:  event.TargetBackedOff,
}

// logUnknownHeader logs a header of the protocol that this version does not know.
func (n *Node) logUnknownHeader(ref target.Ref, name string) {
	event.TargetHeaderUnknown.Log(n.logger, zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID)), zap.String("header", name))
}

// handleLimitChange logs a change of a target's rate limit that its table reports, and
// tells peers of it if the target has told this node. It runs with the table's lock held
// and must not block.
func (n *Node) handleLimitChange(c target.LimitChange) {
	n.logLimitChange(c)
	isDirect := c.Source == target.LimitFromCall || c.Source == target.LimitFromLoadQuery
	if isDirect && c.Limit.Status != target.LimitUnreadable {
		n.announceLimit(c)
	}
}

// logLimitChange logs a change of a target's rate limit.
func (n *Node) logLimitChange(c target.LimitChange) {
	fields := []zap.Field{zap.String("service", string(c.Ref.Service)), zap.String("target", string(c.Ref.ID)), zap.String("source", string(c.Source))}
	if c.Previous.Status == target.LimitNamed {
		fields = append(fields, zap.Float64("previous", float64(c.Previous.PerSecond)))
	}
	switch c.Limit.Status {
	case target.LimitNamed:
		event.TargetLimited.Log(n.logger, append(fields, zap.Float64("limit", float64(c.Limit.PerSecond)))...)
	case target.LimitUnreadable:
		event.TargetLimitInvalid.Log(n.logger, append(fields, zap.String("limit-text", c.Limit.Text))...)
	default:
		event.TargetUnlimited.Log(n.logger, fields...)
	}
}

// recordCallEnd logs the end of a call and adds it to the metrics.
func (n *Node) recordCallEnd(e entry.CallResult) {
	fields := append(n.callEndFields(e), zap.String("target", string(e.Target.ID)))
	n.returnQuota(e)
	if e.Outcome == outcome.Done {
		n.recordContact(e.Service)
	}
	if e.Service != "" {
		n.gatewayMetrics.RecordCall(e.Service, e.Outcome, e.TotalDuration)
	}
	if e.Reason == outcome.Quarantined {
		fields = append(fields, digestField(e.Call))
	}
	if e.Reason == outcome.NoService {
		fields = append(fields, n.planAgeFields(time.Now())...)
	}
	outcomeEvents[e.Outcome].Log(n.logger, fields...)
}

// callEndFields returns the log fields of the end of a call.
func (n *Node) callEndFields(e entry.CallResult) []zap.Field {
	return []zap.Field{
		zap.Int64("version", n.planVersion()),
		event.RequestID(e.Request.Header.Get(n.requestIDHeader)), zap.String("service", string(e.Service)),
		zap.Int64("took-ms", e.TotalDuration.Milliseconds()), zap.Int("further", e.ExtraAttempts),
		zap.String("reason", string(e.Reason)), zap.Int("status", e.Status),
	}
}

// planAgeFields returns the log fields that tell how old the plan is by which a call was
// refused, and how long ago any node is known to have looked for a newer one.
func (n *Node) planAgeFields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.Int64("plan-age-ms", n.upstreams.active.Load().age(now).Milliseconds()),
		n.readAgeField("operator-age-ms", replica.Operator, now),
	}
}

// readAgeField returns a log field with the time since the last known read of a topic, which
// is left out before the first.
func (n *Node) readAgeField(key string, topic replica.Topic, now time.Time) zap.Field {
	_, readAt := n.state.ReadPosition(topic)
	if readAt.IsZero() {
		return zap.Skip()
	}
	return zap.Int64(key, now.Sub(readAt).Milliseconds())
}

// gaugeValues returns the values of the node's gauges.
func (n *Node) gaugeValues(now time.Time) metrics.GatewayState {
	age := func(t replica.Topic) float64 {
		_, readAt := n.state.ReadPosition(t)
		if readAt.IsZero() {
			return 0
		}
		return now.Sub(readAt).Seconds()
	}
	return metrics.GatewayState{
		IsReady: n.isReady(), IsStoreReader: n.isReading[replica.Operator].Load() || n.isReading[replica.Targets].Load(), PlanVersion: n.planVersion(), PlanAgeSeconds: n.upstreams.active.Load().age(now).Seconds(),
		OperatorAgeSeconds: age(replica.Operator), TargetsAgeSeconds: age(replica.Targets),
		NodeCount: len(n.state.FleetNodes(now)), PeerLinkCount: len(n.hub.Links()), HeldCallCount: n.upstreams.admission.HeldCount(),
		LimitedTargetCount: n.upstreams.limitedTargetCount(now),
		HeldRequestCount:   n.quarantine.Ledger.HeldCount(), LostPathCount: n.paths.LostCount(), RelayedCallCount: int(n.receiver.OpenCallCount()),
	}
}
