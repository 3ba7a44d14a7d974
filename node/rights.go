package node

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// extendEvery is how often rights are extended while the log is away.
	extendEvery = 4 * time.Second
	// rightsLogAway is the silence of the log after which nodes ask each other;
	// it must be longer than a read's wait and pace together.
	rightsLogAway = 6 * time.Second
	// freshList is how old the platform's list may be for an extension.
	freshList = 5 * time.Second
)

// extendRights keeps the rights to cold targets while the log is away, as long
// as every other node promises to take none over.
func (n *Node) extendRights(ctx context.Context) {
	every(ctx, extendEvery, func() {
		away := time.Since(n.rightFollower.LastReadAt()) > rightsLogAway
		n.hub.SetDialAll(away)
		if away && n.listAgrees() {
			n.askToHold()
		}
	})
}

// askToHold asks every other live member.
func (n *Node) askToHold() {
	var others []member.Incarnation
	self := n.members.Self().Incarnation
	for _, e := range n.members.Live() {
		if e.Incarnation != self {
			others = append(others, e.Incarnation)
		}
	}
	nonce, ok := n.rights.RequestExtension(time.Now(), others, n.members.ViewHash())
	if !ok {
		return
	}
	for _, i := range others {
		if l := n.hub.LinkTo(i); l != nil {
			l.Send(peer.Message{HoldRequest: &peer.HoldRequest{Nonce: nonce}})
		}
	}
}

// listAgrees reports whether the platform's list is fresh and each entry node
// on it is a live member: one that is listed and silent may be at work.
func (n *Node) listAgrees() bool {
	n.fleet.mu.Lock()
	fresh := time.Since(n.fleet.listAt) < freshList
	n.fleet.mu.Unlock()
	live := map[vm.Address]bool{}
	for _, e := range n.members.Live() {
		live[e.Address] = true
	}
	for _, v := range n.fleet.entryVMs() {
		if v.ID != n.settings.VM && !live[v.Address] {
			return false
		}
	}
	return fresh
}

// hearHolds answers holders that ask, and takes the answers of others.
func (n *Node) hearHolds(m peer.Message, from *peer.Link) {
	now := time.Now()
	if m.HoldRequest != nil {
		n.rights.GrantHold(now)
		from.Send(peer.Message{HoldGrant: &peer.HoldGrant{Nonce: m.HoldRequest.Nonce, From: n.members.Self().Incarnation, ViewHash: n.members.ViewHash()}})
	}
	if m.HoldGrant != nil {
		n.rights.HandleHold(now, m.HoldGrant.From, m.HoldGrant.Nonce, m.HoldGrant.ViewHash)
	}
}
