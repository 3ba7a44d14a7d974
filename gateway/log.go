package gateway

import (
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
)

// endEvents are the events of calls' ends.
var endEvents = map[outcome.Outcome]event.Event{
	outcome.Done:    event.CallDone,
	outcome.NotRun:  event.CallNotRun,
	outcome.Unknown: event.CallUnknown,
}

// stepEvents are the events of decisions on calls.
var stepEvents = map[dispatch.DecisionKind]event.Event{
	dispatch.Placed:  event.CallPlaced,
	dispatch.Hedged:  event.CallHedged,
	dispatch.Waiting: event.CallWaits,
	dispatch.Failed:  event.CallFailed,
}

// ObserveDecision logs a decision on a call with what decided it.
func (n *Node) ObserveDecision(c *dispatch.Call, d dispatch.Decision) {
	fields := []zap.Field{
		zap.String("id", c.ID), zap.String("target", string(d.Target.ID)), zap.Int64("since-ms", d.SinceArrival.Milliseconds()),
		zap.Int64("version", n.planVersion()), zap.Int64("forecast-ms", d.Forecast.Milliseconds()), zap.Int64("limit-ms", d.ForecastLimit.Milliseconds()),
	}
	if d.LoadReport.IsDetailed {
		fields = append(fields, zap.Int("running", d.LoadReport.RunningCount), zap.Int("waiting", d.LoadReport.WaitingCount),
			zap.Float64("pace", d.LoadReport.SlowdownFactor), zap.Int64("report-age-ms", d.LoadReportAge.Milliseconds()))
	}
	if d.Target.Zone != n.settings.Zone {
		fields = append(fields, zap.String("zone", string(d.Target.Zone)))
	}
	if d.IsLate {
		fields = append(fields, zap.Bool("late", true))
	}
	if d.Kind == dispatch.Failed {
		fields = append(fields, zap.Stringer("result", d.Result), zap.Bool("written", d.Written))
	}
	stepEvents[d.Kind].Log(n.logger, fields...)
}

// noteEvents are the events of what tables note.
var noteEvents = map[target.Change]event.Event{
	target.StateChanged:     event.TargetState,
	target.InstanceChanged:  event.TargetInstance,
	target.TargetEjected:    event.TargetEjected,
	target.TargetReinstated: event.TargetReturned,
	target.EjectionSkipped:  event.MostTargetsFailing,
	target.ListIncomplete:   event.ListIncomplete,
}

// ended logs how a call ended.
func (n *Node) ended(e entry.CallResult) {
	fields := []zap.Field{
		zap.Int64("version", n.planVersion()),
		zap.String("id", e.Request.Header.Get(n.requestID)), zap.String("service", string(e.Service)),
		zap.Int64("took-ms", e.TotalDuration.Milliseconds()), zap.Int("further", e.ExtraAttempts),
		zap.String("target", string(e.Target.ID)), zap.String("reason", string(e.Reason)), zap.Int("status", e.Status),
	}
	if e.Service != "" {
		n.figures.RecordCall(e.Service, e.Outcome, e.TotalDuration)
	}
	endEvents[e.Outcome].Log(n.logger, fields...)
}
