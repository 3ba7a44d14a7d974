package target

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// SetList applies the platform's list of the service's VMs. A target missing
// from it is removed at once with Settings.ListIsAuthoritative, otherwise after
// unlistedGracePeriod or when it fails; it is kept if the list seems
// incomplete. The function withdrawn reports whether operators have withdrawn a
// VM or its zone.
func (t *Table) SetList(now time.Time, list []vm.VM, withdrawn func(vm.ID, zone.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[vm.ID]bool, len(list))
	for _, v := range list {
		listed[v.ID] = true
		t.upsertListed(v)
	}
	incomplete := t.updateListIncomplete(listed)
	t.removeWhere(func(e *entry) bool { return !listed[e.ref.ID] && t.shouldRemoveUnlisted(e, now) && !incomplete })
	for _, e := range t.entries {
		if listed[e.ref.ID] {
			e.unlistedSince = time.Time{}
		}
		e.withdrawn = withdrawn(e.ref.ID, e.ref.Zone)
	}
	slices.SortFunc(t.entries, func(a, b *entry) int { return strings.Compare(string(a.ref.ID), string(b.ref.ID)) })
}

// removeWhere removes the targets for which the predicate is true. t.mu must be
// held.
func (t *Table) removeWhere(remove func(e *entry) bool) {
	t.entries = slices.DeleteFunc(t.entries, func(e *entry) bool {
		if !remove(e) {
			return false
		}
		delete(t.byID, e.ref.ID)
		return true
	})
}

// updateListIncomplete records and returns whether the list seems incomplete: it
// lacks more than half of the known targets, and more than half of the missing
// ones have responded and not failed since. Missing targets then stay in use.
// t.mu must be held.
func (t *Table) updateListIncomplete(listed map[vm.ID]bool) bool {
	missingCount, respondingCount := 0, 0
	for _, e := range t.entries {
		if listed[e.ref.ID] {
			continue
		}
		missingCount++
		if e.consecutiveFailures == 0 && !e.lastResponseAt.IsZero() {
			respondingCount++
		}
	}
	incomplete := !t.settings.ListIsAuthoritative && 2*missingCount > len(t.entries) && 2*respondingCount > missingCount
	if incomplete && !t.listIncomplete {
		t.notifyChange(&entry{ref: Ref{Service: t.svc.Name}}, ListIncomplete)
	}
	t.listIncomplete = incomplete
	return incomplete
}

// upsertListed adds or updates the entry of a listed VM. t.mu must be held.
func (t *Table) upsertListed(v vm.VM) {
	e := t.find(v.ID)
	if e == nil {
		// A new VM at the address of an old one replaces it.
		t.removeWhere(func(old *entry) bool { return old.ref.Address == v.Address })
		e = &entry{ref: Ref{ID: v.ID, Service: t.svc.Name, Address: v.Address, Zone: v.Zone}, sameZone: v.Zone == t.settings.Zone, rank: t.rankOf(v.ID)}
		t.entries = append(t.entries, e)
		t.byID[v.ID] = e
	}
	if v.Incarnation != 0 && v.Incarnation != e.incarnation {
		// Another process runs under the same ID.
		e.incarnation = v.Incarnation
		e.clearNotices()
	}
	e.listedLeaving = v.State == vm.StateLeaving
	e.slots = v.Slots
}

// shouldRemoveUnlisted reports whether a target missing from the list is
// removed: at once with Settings.ListIsAuthoritative, after
// unlistedGracePeriod, or when it has no open attempts and its last attempts
// failed. It sets e.unlistedSince if the target was listed before. t.mu must be
// held.
func (t *Table) shouldRemoveUnlisted(e *entry, now time.Time) bool {
	if e.unlistedSince.IsZero() {
		e.unlistedSince = now
	}
	if t.settings.ListIsAuthoritative {
		return true
	}
	unlistedDuration := now.Sub(e.unlistedSince)
	if unlistedDuration >= unlistedGracePeriod {
		return true
	}
	return e.ownInFlight == 0 && e.consecutiveFailures >= ejectAfterFailures
}

// SetWithdrawn applies the withdrawals of VMs and zones by operators; see
// SetList for withdrawn.
func (t *Table) SetWithdrawn(withdrawn func(vm.ID, zone.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.withdrawn = withdrawn(e.ref.ID, e.ref.Zone)
	}
}
