package coldstart

import (
	"time"

	"github.com/apricotmount/apricotmount/member"
)

// Extensions keep cold targets in service while the log is unavailable.
//
// While the log is unavailable, no node can renew a lease or take one over. A
// holder cannot distinguish this from being disconnected from the log alone. It
// therefore asks all other nodes: it extends its leases if every one of them
// has granted a hold since the request, a commitment to take over no shard for
// a while. No node stores anything for another. A single node that does not
// respond prevents the extension: the bound on cold targets takes precedence
// over their service.
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
//     list after Settle: it would not be detected.

// extensionRequest is the pending request for an extension.
type extensionRequest struct {
	nonce   uint64
	sentAt  dualTime
	view    member.ViewHash
	pending map[member.Incarnation]bool
}

// RequestExtension starts an extension of this node's leases and returns the
// nonce that responses must carry; ok is false if the node holds no lease or is
// stopping. others are all other live members, and view is this node's view of
// the membership.
func (k *Manager) RequestExtension(now time.Time, others []member.Incarnation, view member.ViewHash) (nonce uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping || !k.hasLease(now) {
		return 0, false
	}
	k.extension = extensionRequest{nonce: k.extension.nonce + 1, sentAt: dualTimeOf(now), view: view, pending: map[member.Incarnation]bool{}}
	for _, i := range others {
		k.extension.pending[i] = true
	}
	k.extendIfConfirmed(now)
	return k.extension.nonce, true
}

// GrantHold grants a hold: this node takes over no shard for the duration
// Settings.Promise.
func (k *Manager) GrantHold(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdGrantedAt = dualTimeOf(now)
}

// RecordHold records that another node granted a hold, and that node's view of the
// membership. The leases are extended once all other nodes have responded with
// the view of the request.
func (k *Manager) HandleHold(now time.Time, from member.Incarnation, nonce uint64, view member.ViewHash) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if nonce != k.extension.nonce || view != k.extension.view || !k.extension.pending[from] {
		return
	}
	delete(k.extension.pending, from)
	k.extendIfConfirmed(now)
}

// extendIfConfirmed extends the leases that have not expired, once no response
// is pending. k.mu must be held.
func (k *Manager) extendIfConfirmed(now time.Time) {
	if len(k.extension.pending) > 0 || k.stopping {
		return
	}
	duration := k.Settings.withDefaults().HoldDuration
	extended := localLease{sentAt: k.extension.sentAt, usableFor: duration - duration/marginDivisor}
	for i := range k.leases {
		if k.leases[i].remaining(now) > 0 {
			k.leases[i] = k.leases[i].longer(extended, now)
		}
	}
}

func (k *Manager) hasLease(now time.Time) bool {
	for _, l := range k.leases {
		if l.remaining(now) > 0 {
			return true
		}
	}
	return false
}
