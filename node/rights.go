package node

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// leaseExtensionInterval is the time between two extension requests while the log
	// is unavailable.
	leaseExtensionInterval = 4 * time.Second
	// leaseLogContactTimeout is the time since the last read of the lease stream after
	// which nodes extend leases through their peers. It must be longer than the wait
	// and the pace of a read together.
	leaseLogContactTimeout = 6 * time.Second
	// maxVMListAge is the greatest age of the VM list at which an extension is
	// requested.
	maxVMListAge = 5 * time.Second
)

// extendLeases keeps the node's cold-start leases while the log is unavailable,
// provided that every other node grants not to take any of them over.
func (n *Node) extendLeases(ctx context.Context) {
	runPeriodically(ctx, leaseExtensionInterval, func() {
		logUnavailable := time.Since(n.leaseFollower.Contact()) > leaseLogContactTimeout
		n.hub.SetDialAll(logUnavailable)
		if logUnavailable && n.vmListMatchesMembers() {
			n.requestLeaseExtension()
		}
	})
}

// requestLeaseExtension requests a grant from every other live member.
func (n *Node) requestLeaseExtension() {
	var others []member.Incarnation
	self := n.members.Self().Incarnation
	for _, e := range n.members.Live() {
		if e.Incarnation != self {
			others = append(others, e.Incarnation)
		}
	}
	nonce, ok := n.leaseManager.RequestExtension(time.Now(), others, n.members.View())
	if !ok {
		return
	}
	for _, i := range others {
		if l := n.hub.To(i); l != nil {
			l.Send(peer.Message{Hold: &peer.Hold{Nonce: nonce}})
		}
	}
}

// vmListMatchesMembers reports whether the VM list is fresh and every entry node on
// it is a live member. A listed node that sends no heartbeats may still be serving
// calls.
func (n *Node) vmListMatchesMembers() bool {
	n.services.mu.Lock()
	fresh := time.Since(n.services.vmListReadAt) < maxVMListAge
	n.services.mu.Unlock()
	live := map[vm.Address]bool{}
	for _, e := range n.members.Live() {
		live[e.Address] = true
	}
	for _, v := range n.services.entryVMs() {
		if v.ID != n.settings.VM && !live[v.Address] {
			return false
		}
	}
	return fresh
}

// receiveLeaseGrants grants the request of a peer that extends its leases, and
// records the grants of peers.
func (n *Node) receiveLeaseGrants(m peer.Message, from *peer.Link) {
	now := time.Now()
	if m.Hold != nil {
		n.leaseManager.Grant(now)
		from.Send(peer.Message{Held: &peer.Held{Nonce: m.Hold.Nonce, From: n.members.Self().Incarnation, View: n.members.View()}})
	}
	if m.Held != nil {
		n.leaseManager.Granted(now, m.Held.From, m.Held.Nonce, m.Held.View)
	}
}
