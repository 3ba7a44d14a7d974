package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// temporaryWithdrawal takes an availability zone out of service until it expires.
// Several may be active at once; the zone is out of service while any is. A temporary
// withdrawal never returns to service what the configuration withdraws.
type temporaryWithdrawal struct {
	zone      zone.Name
	expiresAt time.Time
	// isEnded is set if an operator ended the withdrawal before it expired.
	isEnded bool
}

// maxWithdrawalDuration bounds a temporary withdrawal.
const maxWithdrawalDuration = time.Hour

// applyWithdrawal begins or ends a temporary withdrawal and reports whether that
// changed anything. An ended withdrawal cannot begin again until its record expires.
func (r *serviceRegistry) applyWithdrawal(w peer.Withdrawal, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := min(time.Duration(w.RemainingMillis)*time.Millisecond, maxWithdrawalDuration)
	stored, ok := r.temporaryWithdrawals[w.ID]
	if remaining <= 0 || ok && stored.isEnded == w.Ended || ok && stored.isEnded {
		return false
	}
	r.temporaryWithdrawals[w.ID] = temporaryWithdrawal{zone: w.Zone, expiresAt: now.Add(remaining), isEnded: w.Ended}
	r.refreshTablesLocked()
	return true
}

// unexpiredWithdrawals returns the temporary withdrawals that have not expired. Ended
// ones are included, so that peers receive the end too.
func (r *serviceRegistry) unexpiredWithdrawals(now time.Time) (out []peer.Withdrawal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.temporaryWithdrawals {
		remaining := w.expiresAt.Sub(now)
		if remaining <= 0 {
			delete(r.temporaryWithdrawals, id)
			continue
		}
		out = append(out, peer.Withdrawal{Zone: w.zone, ID: id, RemainingMillis: peer.Milliseconds(remaining), Ended: w.isEnded})
	}
	return out
}

// withdrawnFuncLocked returns a function that reports whether a VM or zone is
// withdrawn, by the configuration or temporarily. r.mu must be held.
func (r *serviceRegistry) withdrawnFuncLocked(c *config.Configuration) func(vm.ID, zone.Name) bool {
	now := time.Now()
	withdrawnZones := map[zone.Name]bool{}
	for _, w := range r.temporaryWithdrawals {
		if !w.isEnded && now.Before(w.expiresAt) {
			withdrawnZones[w.zone] = true
		}
	}
	return func(id vm.ID, z zone.Name) bool { return withdrawnZones[z] || c.IsWithdrawn(id, z) }
}

// isSelfWithdrawn reports whether this node's own VM or zone is withdrawn.
func (r *serviceRegistry) isSelfWithdrawn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.node.settings
	return r.withdrawnFuncLocked(r.active.Load().config)(s.VM, s.Zone)
}

// receiveWithdrawals applies temporary withdrawals and forwards the new ones to the
// peers other than from, which may be nil.
func (n *Node) receiveWithdrawals(received []peer.Withdrawal, from *peer.Link) {
	now := time.Now()
	var newWithdrawals []peer.Withdrawal
	for _, w := range received {
		if n.services.applyWithdrawal(w, now) {
			event.ZoneWithdrawn.Log(n.logger, zap.String("zone", string(w.Zone)), zap.Uint32("left-ms", w.RemainingMillis), zap.Bool("ended", w.Ended))
			newWithdrawals = append(newWithdrawals, w)
		}
	}
	if len(newWithdrawals) > 0 {
		n.hub.Broadcast(peer.Message{Withdrawals: newWithdrawals}, from)
	}
}
