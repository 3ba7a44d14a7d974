package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/relay"
)

// initRelay connects the node to the others for calls to targets that only one side reaches.
func (n *Node) initRelay() {
	n.receiver = &relay.Receiver{
		Handler: n.handler, Self: n.self.ID, Instance: strconv.FormatUint(uint64(n.hub.Self), 16),
		IsMember: n.state.IsNodeIP, CanServe: n.isReady, Prepare: n.relayedTenant,
		OnCall: n.logRelayed, OnRefusal: n.logRelayRefused,
	}
	n.sender = relay.NewSender(relay.Settings{
		Zone: n.settings.Zone, Callers: n.handler, OnCallEnd: n.recordForwardEnd,
		Dispatcher: &dispatch.Dispatcher{Checks: n.invariants, ExtraAttemptCounter: n.callMetrics, Observer: forwardObserver{n}},
	})
	n.handler.Forwarder = n.sender
}

// logRelayed logs a call that another node has sent.
func (n *Node) logRelayed(r *http.Request, from string) {
	event.CallRelayed.Log(n.logger, event.RequestID(r.Header.Get(n.requestIDHeader)), zap.String("from", from), zap.Int64("version", n.planVersion()))
}

// logRelayRefused logs a call of another node that this one did not take, and counts it.
func (n *Node) logRelayRefused(r *http.Request, from string, reason relay.Refusal) {
	n.gatewayMetrics.CountRelayRefusal(string(reason))
	event.RelayRefused.Log(n.logger, event.RequestID(r.Header.Get(n.requestIDHeader)), zap.String("from", from), zap.String("reason", string(reason)))
}

// forwardObserver logs the decisions on calls that go through other nodes.
type forwardObserver struct{ node *Node }

// ObserveDecision logs to which node a call is sent, or that this failed.
func (o forwardObserver) ObserveDecision(c *dispatch.Call, d dispatch.Decision) {
	fields := []zap.Field{event.RequestID(c.ID), zap.String("via", string(d.Target.ID)), zap.Int64("since-ms", d.SinceArrival.Milliseconds()), zap.Int64("version", o.node.planVersion())}
	switch d.Kind {
	case dispatch.Placed:
		event.CallForwarded.Log(o.node.logger, append(fields, zap.Int("runs", d.RunCount), zap.Int("extra-left", d.ExtraAttemptsLeft))...)
	case dispatch.Failed:
		event.ForwardFailed.Log(o.node.logger, append(fields, zap.Stringer("result", d.Result), zap.Bool("written", d.Written), zap.String("reason", string(d.Reason)))...)
	}
}

// recordForwardEnd logs the end of a call that went through another node, and adds it to the
// metrics.
func (n *Node) recordForwardEnd(e entry.CallResult) {
	n.returnQuota(e)
	if e.Service != "" {
		n.gatewayMetrics.RecordCall(e.Service, e.Outcome, e.TotalDuration)
	}
	outcomeEvents[e.Outcome].Log(n.logger, append(n.callEndFields(e), zap.String("via", string(e.Target.ID)))...)
}

// relayedCheckInterval is the time between two checks whether relayed calls have ended.
const relayedCheckInterval = 10 * time.Millisecond

// waitForRelayed waits until the calls that other nodes have sent have ended, or ctx ends.
func (n *Node) waitForRelayed(ctx context.Context) {
	for n.receiver.OpenCallCount() > 0 && ctx.Err() == nil {
		pause.For(ctx, relayedCheckInterval)
	}
}
