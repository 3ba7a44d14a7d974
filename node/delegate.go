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

// maxEntriesPerMessage is the most member entries in one state message.
const maxEntriesPerMessage = 10

// peerDelegate adapts a Node to peer.Delegate.
type peerDelegate struct{ node *Node }

// State returns the periodic state message, which the hub sends to one peer after
// another.
func (d peerDelegate) State() peer.Message {
	now := time.Now()
	return peer.Message{
		Entries:      d.node.members.NextEntries(maxEntriesPerMessage),
		Observations: d.node.observations.recentObservations(now),
		Withdrawals:  d.node.services.unexpiredWithdrawals(now),
		Suspects:     d.node.suspects.Recent(now),
	}
}

// Receive applies a message from a peer and sends the configuration if the peer
// requests it.
func (d peerDelegate) Receive(l *peer.Link, m peer.Message) {
	n := d.node
	n.logMemberChanges(n.members.Merge(time.Now(), m.Entries))
	n.compareConfigs(m.Entries)
	if m.WantConfig && n.configState.HasConfiguration() {
		l.Send(peer.Message{Config: config.EncodeConfiguration(n.configState.Current())})
	}
	if len(m.Config) > 0 {
		n.installPeerConfig(m.Config)
	}
	n.receiveLeaseMessages(m, l)
	n.receiveObservations(m.Observations, l)
	n.receiveWithdrawals(m.Withdrawals, l)
	n.suspects.Receive(m, l)
}

// installPeerConfig installs an encoded whole configuration from a peer if it is
// newer than the node's own. A configuration that cannot be decoded is ignored.
func (n *Node) installPeerConfig(b []byte) {
	c, err := config.DecodeConfiguration(b)
	if err != nil {
		return
	}
	if n.configState.InstallIfNewer(c) {
		event.ConfigFromPeer.Log(n.logger, zap.Uint64("revision", uint64(c.Revision)))
	}
}

// compareConfigs checks the invariant that nodes at the same log offset hold the
// same configuration.
func (n *Node) compareConfigs(entries []member.Entry) {
	self := n.members.Self()
	for _, e := range entries {
		if e.ConfigNext != self.ConfigNext || self.ConfigNext == 0 || e.ConfigDigest == 0 {
			continue
		}
		n.invariantChecks.Check(e.ConfigDigest == self.ConfigDigest, invariant.ConfigSameEverywhere)
	}
}

func (n *Node) logMemberChanges(changes []member.Change) {
	for _, c := range changes {
		memberEvent := event.MemberGone
		if c.Live {
			memberEvent = event.MemberLive
		}
		memberEvent.Log(n.logger, zap.String("address", string(c.Entry.Address)), zap.String("zone", string(c.Entry.Zone)),
			zap.Stringer("status", c.Entry.Status))
	}
}

// LinkUp logs a new link. A node without a configuration requests it over the link.
func (d peerDelegate) LinkUp(l *peer.Link) {
	event.PeerUp.Log(d.node.logger)
	d.node.suspects.SendAll(l)
	if !d.node.configState.HasConfiguration() {
		l.Send(peer.Message{WantConfig: true})
	}
}

// LinkDown logs a closed link with the reason.
func (d peerDelegate) LinkDown(l *peer.Link) {
	event.PeerDown.Log(d.node.logger, zap.String("reason", l.CloseReason()))
}

// PeerRefused logs a connection attempt without the peer token.
func (d peerDelegate) PeerRefused(remote string) {
	event.PeerRefused.Log(d.node.logger, zap.String("remote", remote))
}

// peerAddresses returns the addresses of other entry nodes: those on the VM list
// and those of live members.
func (n *Node) peerAddresses() []vm.Address {
	self := n.members.Self().Address
	added := map[vm.Address]bool{self: true}
	var out []vm.Address
	add := func(a vm.Address) {
		if a != "" && !added[a] {
			added[a] = true
			out = append(out, a)
		}
	}
	for _, v := range n.services.entryVMs() {
		if v.ID != n.settings.VM {
			add(v.Address)
		}
	}
	for _, e := range n.members.Live() {
		add(e.Address)
	}
	return out
}
