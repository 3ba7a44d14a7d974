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
	// leaseLogContactTimeout is how long after sending the last successful read of the
	// lease stream a node starts to extend its leases through its peers. It must be
	// longer than the longest wait of a read (2 s, the default of stream.Settings) and
	// leaseReadInterval together.
	leaseLogContactTimeout = 6 * time.Second
	// maxVMListAge is the greatest age of the VM list at which an extension is
	// requested.
	maxVMListAge = 5 * time.Second
)

// extendLeases keeps links to all peers while the log is unavailable, and extends
// the node's cold-start leases if every other live member grants it. A member that
// grants an extension does not take over any lease for a time.
func (n *Node) extendLeases(ctx context.Context) {
	runPeriodically(ctx, leaseExtensionInterval, func() {
		leaseStreamUnavailable := n.leaseFollower.ReadAge() > leaseLogContactTimeout
		n.hub.SetDialAll(leaseStreamUnavailable)
		if leaseStreamUnavailable && n.vmListMatchesMembers() {
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
	nonce, ok := n.leaseManager.RequestExtension(time.Now(), others, n.members.ViewHash())
	if !ok {
		return
	}
	for _, i := range others {
		if l := n.hub.LinkTo(i); l != nil {
			l.Send(peer.Message{HoldRequest: &peer.HoldRequest{Nonce: nonce}})
		}
	}
}

// vmListMatchesMembers reports whether the VM list is fresh and every entry node on
// it is a live member. A listed node that sends no heartbeats may still be serving
// calls.
func (n *Node) vmListMatchesMembers() bool {
	n.services.mu.Lock()
	isFresh := time.Since(n.services.vmListReadAt) < maxVMListAge
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
	return isFresh
}

// receiveLeaseMessages answers the extension request of a peer with a grant, and
// records the grant of a peer.
func (n *Node) receiveLeaseMessages(m peer.Message, from *peer.Link) {
	now := time.Now()
	if m.HoldRequest != nil {
		n.leaseManager.GrantHold(now)
		from.Send(peer.Message{HoldGrant: &peer.HoldGrant{Nonce: m.HoldRequest.Nonce, From: n.members.Self().Incarnation, ViewHash: n.members.ViewHash()}})
	}
	if m.HoldGrant != nil {
		n.leaseManager.HandleHold(now, m.HoldGrant.From, m.HoldGrant.Nonce, m.HoldGrant.ViewHash)
	}
}
