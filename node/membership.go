package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
)

const (
	// heartbeatInterval is about the time between two updates of the node's own entry,
	// each of which increments its heartbeat counter.
	heartbeatInterval = time.Second
	// maxConfigLag is how long a peer's configuration may be newer than this node's
	// before the node requests it from a peer instead of waiting for the log.
	maxConfigLag = 700 * time.Millisecond
)

// watchMembers updates the node's own entry and heartbeat, logs members that come
// and go, broadcasts changed target states, and requests the configuration from
// peers that stay ahead.
func (n *Node) watchMembers(ctx context.Context) {
	n.loops.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-n.observations.changeSignal:
				n.broadcastObservations()
			}
		}
	})
	var aheadSince time.Time
	runPeriodically(ctx, heartbeatInterval, func() {
		c := n.configState.Current()
		status := n.memberStatus()
		n.members.Update(func(e *member.Entry) {
			e.Status = status
			if e.ConfigNext != c.NextOffset {
				e.ConfigNext, e.ConfigDigest = c.NextOffset, c.Digest()
			}
		})
		n.logMemberChanges(n.members.ExpireMembers(time.Now()))
		aheadSince = n.requestNewerConfig(c, aheadSince)
	})
}

// requestNewerConfig requests the configuration from the peer with the newest one if
// some peer has been ahead for at least maxConfigLag. It returns since when a peer
// has been ahead, or the zero time if none is.
func (n *Node) requestNewerConfig(c *config.Configuration, aheadSince time.Time) time.Time {
	peerEntry, ok := n.members.NewestConfigMember(c.NextOffset)
	if !ok {
		return time.Time{}
	}
	now := time.Now()
	if aheadSince.IsZero() {
		return now
	}
	if now.Sub(aheadSince) < maxConfigLag {
		return aheadSince
	}
	if l := n.hub.LinkTo(peerEntry.Incarnation); l != nil {
		l.Send(peer.Message{WantConfig: true})
		return aheadSince
	}
	// There is no link to that peer; any other peer may have the configuration by now.
	if links := n.hub.Links(); len(links) > 0 {
		links[rand.IntN(len(links))].Send(peer.Message{WantConfig: true})
	}
	return aheadSince
}

func (n *Node) memberStatus() member.Status {
	switch {
	case n.isLeaving.Load():
		return member.Leaving
	case n.isReady.Load():
		return member.Ready
	default:
		return member.Joining
	}
}
