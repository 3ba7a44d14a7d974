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

// withdrawal is a temporary withdrawal of an availability zone. Several may
// hold at once; the zone is out while any does. They can only take work away.
type withdrawal struct {
	zone  zone.Name
	until time.Time
	// ended says that an operator ended it before its time.
	ended bool
}

// maxWithdrawal bounds a temporary withdrawal.
const maxWithdrawal = time.Hour

// takeWithdrawal puts a temporary withdrawal in force or ends it; it reports
// whether that was news.
func (f *fleet) takeWithdrawal(w peer.Withdrawal, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := min(time.Duration(w.RemainingMillis)*time.Millisecond, maxWithdrawal)
	old, known := f.temporary[w.ID]
	if left <= 0 || known && old.ended == w.Ended || known && old.ended {
		return false
	}
	f.temporary[w.ID] = withdrawal{zone: w.Zone, until: now.Add(left), ended: w.Ended}
	f.refresh()
	return true
}

// tellWithdrawals returns the temporary withdrawals whose time has not passed,
// ended ones included.
func (f *fleet) tellWithdrawals(now time.Time) (out []peer.Withdrawal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.temporary {
		left := w.until.Sub(now)
		if left <= 0 {
			delete(f.temporary, id)
			continue
		}
		out = append(out, peer.Withdrawal{Zone: w.zone, ID: id, RemainingMillis: peer.Milliseconds(left), Ended: w.ended})
	}
	return out
}

// withdrawn tells whether operators have a VM or zone out, in the configuration
// or for the time being. The lock must be held.
func (f *fleet) withdrawn(c *config.Configuration) func(vm.ID, zone.Name) bool {
	now := time.Now()
	out := map[zone.Name]bool{}
	for _, w := range f.temporary {
		if !w.ended && now.Before(w.until) {
			out[w.zone] = true
		}
	}
	return func(id vm.ID, z zone.Name) bool { return out[z] || c.IsWithdrawn(id, z) }
}

// selfWithdrawn reports whether this node's own VM or zone is out of service.
func (f *fleet) selfWithdrawn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.node.settings
	return f.withdrawn(f.current.Load().config)(s.VM, s.Zone)
}

// hearWithdrawals takes peers' temporary withdrawals and passes on what is new.
func (n *Node) hearWithdrawals(list []peer.Withdrawal, from *peer.Link) {
	now := time.Now()
	var fresh []peer.Withdrawal
	for _, w := range list {
		if n.fleet.takeWithdrawal(w, now) {
			event.ZoneWithdrawn.Log(n.logger, zap.String("zone", string(w.Zone)), zap.Uint32("left-ms", w.RemainingMillis), zap.Bool("ended", w.Ended))
			fresh = append(fresh, w)
		}
	}
	if len(fresh) > 0 {
		n.hub.Broadcast(peer.Message{Withdrawals: fresh}, from)
	}
}
