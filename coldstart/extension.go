package coldstart

import (
	"time"

	"github.com/apricotmount/apricotmount/member"
)

// Extensions keep cold targets in service while the log is unavailable.
//
// While the log is unavailable, no node can renew a lease or take one over. A
// holder cannot distinguish this from being the only node that is disconnected
// from the log. It therefore sends a request to all other nodes, and extends
// its leases if every one of them then grants a hold: a commitment to take over
// no shard for Settings.HoldDuration. No node stores anything for another. A
// single node that does not respond prevents the extension: the bound on cold
// targets takes precedence over their service.
//
// Extensions are safe for the following reasons:
//
//   - A holder extends only leases that have not expired, so when each hold is
//     granted, no other node can have taken the shard over.
//   - Consecutive holds leave no gap, since an extension ends a tenth before
//     the holds do and is counted from before the request was sent.
//   - A hold applies to every record sent before its end, including records in
//     transit when it was granted.
//   - A node that restarts has lost the holds that it granted. It takes nothing
//     over for longer than a hold lasts.
//   - Every response carries the node's view of the membership, so a holder
//     detects nodes that are missing in its own. The exception is a node that
//     no other node has contacted and that is still missing in the platform's
//     list of nodes after TakeoverDelay: it would not be detected.

// extensionRequest is the pending request for an extension.
type extensionRequest struct {
	nonce   uint64
	sentAt  dualTime
	view    member.ViewHash
	pending map[member.Incarnation]bool
}

// RequestExtension starts an extension of this node's leases and returns the
// nonce that responses must carry; ok is false if the node holds no lease or is
// stopping. The caller sends the requests. others are all other live members,
// and view is this node's view of the membership.
func (m *Manager) RequestExtension(now time.Time, others []member.Incarnation, view member.ViewHash) (nonce uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || !m.hasLease(now) {
		return 0, false
	}
	m.extension = extensionRequest{nonce: m.extension.nonce + 1, sentAt: dualTimeOf(now), view: view, pending: map[member.Incarnation]bool{}}
	for _, i := range others {
		m.extension.pending[i] = true
	}
	m.extendIfConfirmed(now)
	return m.extension.nonce, true
}

// GrantHold grants a hold: this node takes over no shard for
// Settings.HoldDuration.
func (m *Manager) GrantHold(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdGrantedAt = dualTimeOf(now)
}

// HandleHold processes the response of another node that granted a hold, with
// that node's view of the membership. The leases are extended once all other
// nodes have responded with the view of the request.
func (m *Manager) HandleHold(now time.Time, from member.Incarnation, nonce uint64, view member.ViewHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if nonce != m.extension.nonce || view != m.extension.view || !m.extension.pending[from] {
		return
	}
	delete(m.extension.pending, from)
	m.extendIfConfirmed(now)
}

// extendIfConfirmed extends the leases that have not expired, once no response
// is pending. m.mu must be held.
func (m *Manager) extendIfConfirmed(now time.Time) {
	if len(m.extension.pending) > 0 || m.stopping {
		return
	}
	duration := m.Settings.withDefaults().HoldDuration
	extended := localLease{sentAt: m.extension.sentAt, usableFor: duration - duration/marginDivisor}
	for i := range m.leases {
		if m.leases[i].remaining(now) > 0 {
			m.leases[i] = m.leases[i].laterLease(extended, now)
		}
	}
}

func (m *Manager) hasLease(now time.Time) bool {
	for _, l := range m.leases {
		if l.remaining(now) > 0 {
			return true
		}
	}
	return false
}
