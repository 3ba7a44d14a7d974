package gateway

import (
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
)

// receiveLimits applies rate limits that targets have named to a peer. They are not
// forwarded: each node that receives one from the target sends it to its own peers. A node
// that has just started may not hold the target yet; the limit waits for it.
func (n *Node) receiveLimits(limits []peer.TargetLimit, now time.Time) {
	for _, l := range limits {
		if !l.PerSecond.IsValid() {
			continue
		}
		limit := l.PeerLimit(now)
		if !n.upstreams.recordPeerLimit(l.Service, limit) {
			n.pendingLimits.Add(l.Service, limit)
		}
	}
}

// recordPeerLimit records a rate limit. It reports false if the target is not known.
func (u *upstreams) recordPeerLimit(name service.Name, l target.PeerLimit) (isKnown bool) {
	s := u.active.Load().services[name]
	return s != nil && s.dispatch.Table.RecordPeerLimit(l)
}

// pendingLimitRetention is how long a limit waits for its target.
const pendingLimitRetention = 10 * time.Second

// applyPendingLimits records the limits of targets that are known by now.
func (n *Node) applyPendingLimits(now time.Time) {
	for _, p := range n.pendingLimits.Take() {
		if !n.upstreams.recordPeerLimit(p.Service, p.Limit) && now.Sub(p.Limit.ToldAt) < pendingLimitRetention {
			n.pendingLimits.Add(p.Service, p.Limit)
		}
	}
}

// announceLimit sends the rate limit that a target named to the peers of the node's zone.
// Targets are preferred by the nodes of their zone, and bytes between zones are expensive.
func (n *Node) announceLimit(c target.LimitChange) {
	n.hub.BroadcastTo(peer.Message{Limits: []peer.TargetLimit{peer.NewTargetLimit(c)}}, n.isLocalLink)
}

// maxLimitsPerMessage is the number of rate limits in one message to a new link.
const maxLimitsPerMessage = 512

// sendLimits sends the rate limits in force over a new link of the node's zone: the peer was
// not linked when the targets named them.
func (n *Node) sendLimits(l *peer.Link) {
	var limits []peer.TargetLimit
	for _, s := range n.upstreams.active.Load().services {
		for _, c := range s.dispatch.Table.Limits() {
			limits = append(limits, peer.NewTargetLimit(c))
		}
	}
	for chunk := range slices.Chunk(limits, maxLimitsPerMessage) {
		l.Send(peer.Message{Limits: chunk})
	}
}
