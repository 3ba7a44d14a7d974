package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
)

// toldEntries is how many members one message tells of.
const toldEntries = 10

// host is the node as its hub sees it.
type host struct{ n *Node }

// State returns what to tell a peer in turn.
func (h host) State() peer.Message {
	now := time.Now()
	return peer.Message{
		Entries:      h.n.members.NextEntries(toldEntries),
		Observations: h.n.observations.tell(now),
		Withdrawals:  h.n.fleet.tellWithdrawals(now),
	}
}

// Receive takes a message.
func (h host) Receive(l *peer.Link, m peer.Message) {
	n := h.n
	n.noteChanges(n.members.Merge(time.Now(), m.Entries))
	n.compareConfigs(m.Entries)
	if m.WantConfig && n.book.HasConfiguration() {
		l.Send(peer.Message{Config: config.EncodeConfiguration(n.book.Current())})
	}
	if len(m.Config) > 0 {
		n.takeConfig(m.Config)
	}
	n.hearHolds(m, l)
	n.hearObservations(m.Observations, l)
	n.hearWithdrawals(m.Withdrawals, l)
}

// takeConfig installs a whole configuration from a peer if it is ahead.
func (n *Node) takeConfig(b []byte) {
	c, err := config.DecodeConfiguration(b)
	if err != nil {
		return
	}
	if n.book.InstallIfNewer(c) {
		event.ConfigFromPeer.Log(n.logger, zap.Uint64("revision", uint64(c.Revision)))
	}
}

// compareConfigs checks that nodes at the same offset hold the same
// configuration.
func (n *Node) compareConfigs(entries []member.Entry) {
	self := n.members.Self()
	for _, e := range entries {
		if e.ConfigNext != self.ConfigNext || self.ConfigNext == 0 || e.ConfigDigest == 0 {
			continue
		}
		n.checks.Check(e.ConfigDigest == self.ConfigDigest, invariant.ConfigSameEverywhere)
	}
}

func (n *Node) noteChanges(changes []member.Change) {
	for _, c := range changes {
		what := event.MemberGone
		if c.Live {
			what = event.MemberLive
		}
		what.Log(n.logger, zap.String("address", string(c.Entry.Address)), zap.String("zone", string(c.Entry.Zone)),
			zap.Stringer("status", c.Entry.Status))
	}
}

// LinkUp tells of a new link; a node that lacks a configuration asks for it.
func (h host) LinkUp(l *peer.Link) {
	event.PeerUp.Log(h.n.logger)
	if !h.n.book.HasConfiguration() {
		l.Send(peer.Message{WantConfig: true})
	}
}

// LinkDown tells of a link that ended.
func (h host) LinkDown(l *peer.Link) {
	event.PeerDown.Log(h.n.logger, zap.String("reason", l.CloseReason()))
}

// Refused tells of someone without the peers' token.
func (h host) PeerRefused(remote string) {
	event.PeerRefused.Log(h.n.logger, zap.String("remote", remote))
}

// peerAddresses returns where other entry nodes may be: those listed and those
// heard of.
func (n *Node) peerAddresses() []vm.Address {
	self := n.members.Self().Address
	seen := map[vm.Address]bool{self: true}
	var out []vm.Address
	add := func(a vm.Address) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, v := range n.fleet.entryVMs() {
		if v.ID != n.settings.VM {
			add(v.Address)
		}
	}
	for _, e := range n.members.Live() {
		add(e.Address)
	}
	return out
}
