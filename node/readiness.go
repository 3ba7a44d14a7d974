package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
)

const (
	// platformEvery is how often the platform's services are judged.
	platformEvery = 500 * time.Millisecond
	// awayAfter is the silence after which the log counts as away.
	awayAfter = 5 * time.Second
)

// watchPlatform tells when the log goes and comes, and keeps readiness.
func (n *Node) watchPlatform(ctx context.Context) {
	away, claimsReady := false, false
	reported := ""
	gauges := metrics.NewNode(n.metrics.Scope)
	every(ctx, platformEvery, func() {
		if !claimsReady && n.claimFollower.HasCaughtUp() {
			claimsReady = true
			event.ClaimsReady.Log(n.logger, zap.Int("held", n.claims.State.Len()))
		}
		silent := time.Since(n.configFollower.LastReadAt()) > awayAfter
		if silent != away {
			away = silent
			if away {
				event.LogAway.Log(n.logger)
			} else {
				event.LogBack.Log(n.logger)
			}
		}
		reason := n.unreadyReason()
		n.ready.Store(reason == "")
		gauges.UpdateGauges(n.gaugeState(reason == ""))
		if reason == reported {
			return
		}
		if reason == "" {
			event.NodeReady.Log(n.logger, zap.Uint64("revision", uint64(n.book.Current().Revision)))
		} else {
			event.NodeUnready.Log(n.logger, zap.String("reason", reason))
		}
		reported = reason
	})
}

// unreadyReason says why the node does not ask for work, or "".
func (n *Node) unreadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case !n.book.HasConfiguration() && !n.configFollower.HasCaughtUp():
		return "no-configuration"
	case n.fleet.selfWithdrawn():
		return "out-of-service"
	default:
		return ""
	}
}

// gaugeState gathers what the node's gauges show.
func (n *Node) gaugeState(ready bool) metrics.NodeState {
	spent, traffic := n.ledger.Totals(), n.hub.Traffic()
	return metrics.NodeState{
		IsReady:             ready,
		ConfigRevision:      uint64(n.book.Current().Revision),
		LogAgeSeconds:       time.Since(n.configFollower.LastReadAt()).Seconds(),
		MemberCount:         len(n.members.Live()),
		HeldCallCount:       n.fleet.pool.HeldCount(),
		HeldClaimCount:      n.claims.State.Len(),
		ColdShardCount:      n.rights.HeldShardCount(time.Now()),
		ProbeCount:          spent.Spent.Messages,
		RefusalProbeCount:   spent.Spent.Refusals,
		SkippedProbeCount:   spent.Skipped,
		PeerLinkCount:       len(n.hub.Links()),
		PeerBytesSent:       traffic.SentBytes,
		PeerMessagesDropped: traffic.DroppedMessages,
	}
}
