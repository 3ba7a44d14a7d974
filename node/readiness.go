package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
)

const (
	// readinessCheckInterval is the time between two checks of the log's availability
	// and the node's readiness.
	readinessCheckInterval = 500 * time.Millisecond
	// logContactTimeout is how long after sending the last successful read of the
	// configuration stream the log counts as unavailable.
	logContactTimeout = 5 * time.Second
)

// watchReadiness logs when the claim stream has been read to its end and when the log
// becomes unavailable or available. It also updates the node's readiness and gauges.
func (n *Node) watchReadiness(ctx context.Context) {
	logUnavailable, loggedClaimsReady := false, false
	loggedReason := ""
	gauges := metrics.NewNode(n.metrics.Scope)
	runPeriodically(ctx, readinessCheckInterval, func() {
		if !loggedClaimsReady && n.claimFollower.HasCaughtUp() {
			loggedClaimsReady = true
			event.ClaimsReady.Log(n.logger, zap.Int("held", n.claimManager.State.Len()))
		}
		timedOut := n.configFollower.ReadAge() > logContactTimeout
		if timedOut != logUnavailable {
			logUnavailable = timedOut
			if logUnavailable {
				event.LogAway.Log(n.logger)
			} else {
				event.LogBack.Log(n.logger)
			}
		}
		reason := n.unreadyReason()
		n.isReady.Store(reason == "")
		gauges.UpdateGauges(n.gaugeValues(reason == ""))
		if reason == loggedReason {
			return
		}
		if reason == "" {
			event.NodeReady.Log(n.logger, zap.Uint64("revision", uint64(n.configState.Current().Revision)))
		} else {
			event.NodeUnready.Log(n.logger, zap.String("reason", reason))
		}
		loggedReason = reason
	})
}

// unreadyReason returns why the node is not ready for calls, or "" if it is ready.
func (n *Node) unreadyReason() string {
	switch {
	case n.isLeaving.Load():
		return "leaving"
	case !n.configState.HasConfiguration() && !n.configFollower.HasCaughtUp():
		return "no-configuration"
	case n.services.isSelfWithdrawn():
		return "out-of-service"
	default:
		return ""
	}
}

// gaugeValues returns the values of the node's gauges.
func (n *Node) gaugeValues(ready bool) metrics.NodeState {
	probeTotals, traffic := n.probeBudget.Totals(), n.hub.Traffic()
	return metrics.NodeState{
		IsReady:             ready,
		ConfigRevision:      uint64(n.configState.Current().Revision),
		LogAgeSeconds:       n.configFollower.ReadAge().Seconds(),
		MemberCount:         len(n.members.Live()),
		HeldCallCount:       n.services.admissionPool.HeldCount(),
		HeldClaimCount:      n.claimManager.State.Len(),
		ColdShardCount:      n.leaseManager.HeldShardCount(time.Now()),
		ProbeCount:          probeTotals.Spent.Messages,
		RefusalProbeCount:   probeTotals.Spent.Refusals,
		SkippedProbeCount:   probeTotals.Skipped,
		PeerLinkCount:       len(n.hub.Links()),
		PeerBytesSent:       traffic.SentBytes,
		PeerMessagesDropped: traffic.DroppedMessages,
	}
}
