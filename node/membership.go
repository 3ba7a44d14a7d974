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
	// beatEvery is how often the node counts its beat up.
	beatEvery = time.Second
	// lagAllowed is how long a peer may be ahead of the log before its
	// configuration is asked for.
	lagAllowed = 700 * time.Millisecond
)

// watchMembers counts the node's beat up, notes who has gone, tells peers of
// targets that changed, and catches up with peers that are ahead.
func (n *Node) watchMembers(ctx context.Context) {
	n.loops.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-n.observations.wake:
				n.spreadObservations()
			}
		}
	})
	var behind time.Time
	every(ctx, beatEvery, func() {
		c := n.book.Current()
		status := n.status()
		n.members.Update(func(e *member.Entry) {
			e.Status = status
			if e.ConfigNext != c.NextOffset {
				e.ConfigNext, e.ConfigDigest = c.NextOffset, c.Digest()
			}
		})
		n.noteChanges(n.members.ExpireMembers(time.Now()))
		behind = n.catchUp(c, behind)
	})
}

// catchUp asks a peer for its configuration if it has been ahead for longer
// than the log should take. It returns since when a peer has been ahead.
func (n *Node) catchUp(c *config.Configuration, since time.Time) time.Time {
	ahead, ok := n.members.NewestConfigMember(c.NextOffset)
	if !ok {
		return time.Time{}
	}
	now := time.Now()
	if since.IsZero() {
		return now
	}
	if now.Sub(since) < lagAllowed {
		return since
	}
	if l := n.hub.LinkTo(ahead.Incarnation); l != nil {
		l.Send(peer.Message{WantConfig: true})
		return since
	}
	// No link leads there; any peer may have it by now.
	if links := n.hub.Links(); len(links) > 0 {
		links[rand.IntN(len(links))].Send(peer.Message{WantConfig: true})
	}
	return since
}

func (n *Node) status() member.Status {
	switch {
	case n.leaving.Load():
		return member.Leaving
	case n.ready.Load():
		return member.Ready
	default:
		return member.Joining
	}
}
