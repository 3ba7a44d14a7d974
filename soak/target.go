package soak

import (
	"fmt"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// target is a target behind a proxy, and what was said of it.
type target struct {
	*platformtest.Target
	zone  string
	proxy *proxy
	// leftAt is when it said that it leaves, or was taken away; zero if it stays.
	leftAt time.Time
	// cold holds when the calls of the last second came while it was cold.
	coldArrivals []time.Time
}

// addTarget adds a target, in cold start if calls are already under way.
func (h *harness) addTarget(cold bool) error {
	p, err := newProxy("")
	if err != nil {
		return err
	}
	h.closers = append(h.closers, p.close)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startTarget(&target{zone: zones[len(h.targets)%len(zones)], proxy: p}, cold)
}

// serve starts a new instance behind a target's proxy. The lock must be held.
func (h *harness) startTarget(t *target, cold bool) error {
	t.Target = &platformtest.Target{
		ID: fmt.Sprint("t-", len(h.targets)), Slots: 6, Work: 20 * time.Millisecond,
		Arrived: func(id string, forThisInstance bool) { h.onArrival(t, id, forThisInstance) },
		Ran:     func(id string) { h.onRun(t, id) },
	}
	if cold {
		t.Cool(platformtest.WarmUp)
	}
	address, closeTarget, err := platformtest.Listen(t.Target)
	if err != nil {
		return err
	}
	h.closers = append(h.closers, closeTarget)
	t.proxy.setUpstream(address)
	h.targets = append(h.targets, t)
	h.putRecord(t, "ready")
	return nil
}

// say writes what a target says of itself. The lock must be held.
func (h *harness) putRecord(t *target, state string) {
	h.store.Put(platformtest.Targets, t.ID, t.Record("a", t.zone, t.proxy.address(), state, int(h.sequence.Add(1))))
}

// present returns the targets that have not left. The lock must be held.
func (h *harness) activeTargets() (active []*target) {
	for _, t := range h.targets {
		if t.leftAt.IsZero() {
			active = append(active, t)
		}
	}
	return active
}

// pick draws a target that has not left. The lock must be held.
func (h *harness) randomTarget() *target {
	active := h.activeTargets()
	return active[h.rng.IntN(len(active))]
}

// fewestTargets stay when others leave.
const minTargets = 3

// removeTarget lets a target drain and go.
func (h *harness) removeTarget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.activeTargets()) <= minTargets {
		return
	}
	t := h.randomTarget()
	t.leftAt = time.Now()
	if h.settings.Unheard {
		return
	}
	h.putRecord(t, "draining")
	time.AfterFunc(time.Second, func() { h.store.Put(platformtest.Targets, t.ID, "") })
}

// replaceTarget ends a target without notice and starts another at its address,
// which is in cold start.
func (h *harness) replaceTarget() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.randomTarget()
	t.leftAt = time.Now()
	err := h.startTarget(&target{zone: t.zone, proxy: t.proxy}, true)
	t.proxy.reset()
	h.store.Put(platformtest.Targets, t.ID, "")
	return err
}

// coolTarget makes a target cold without a word in the store.
func (h *harness) makeTargetCold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.randomTarget().Cool(platformtest.WarmUp)
}

// zoneOut is how long a zone stays out of service at least: longer than nodes may
// take to follow.
const minZoneOutDuration = propagationLimit + 3*time.Second

// changeZones takes a zone out of service, or brings back the one that has been out
// for long enough.
func (h *harness) toggleZone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for z, since := range h.zonesOut {
		if time.Since(since) > minZoneOutDuration {
			h.restoreZone(z)
		}
		return
	}
	z := zones[h.rng.IntN(len(zones))]
	h.zonesOut[z] = time.Now()
	h.store.Put(platformtest.Operator, "evacuate/"+z, "{}")
}

// bringBack puts a zone into service again. The lock must be held.
func (h *harness) restoreZone(z string) {
	delete(h.zonesOut, z)
	h.store.Put(platformtest.Operator, "evacuate/"+z, "")
}

// coldMost is how many calls a target in cold start may get in a second: the
// platform's overage and slack.
const maxColdPerSecond = platformtest.ColdPerSecond*3/2 + 5

// arrived checks a call that reaches a target, whether or not it runs; one that is
// meant for another instance costs a target nothing.
func (h *harness) onArrival(t *target, id string, forThisInstance bool) {
	h.recorder.recordArrival(id)
	if !forThisInstance || t.ColdLeft() == 0 {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(t.coldArrivals) > 0 && now.Sub(t.coldArrivals[0]) > time.Second {
		t.coldArrivals = t.coldArrivals[1:]
	}
	t.coldArrivals = append(t.coldArrivals, now)
	if len(t.coldArrivals) > maxColdPerSecond {
		h.recorder.addFinding("cold-start", "%s got %d calls in a second, %d are allowed", t.ID, len(t.coldArrivals), maxColdPerSecond)
	}
}

// ran checks a call that a target runs.
func (h *harness) onRun(t *target, id string) {
	n := h.recorder.recordRun(id)
	if n == nil {
		return
	}
	h.mu.Lock()
	leftAt, zoneOutAt := t.leftAt, h.zonesOut[t.zone]
	h.mu.Unlock()
	if h.mustBeActive(n, leftAt) {
		h.recorder.addFinding("no-work-after-drain", "%s by %s ran at %s, %s after it left", id, n.name, t.ID, time.Since(leftAt).Round(time.Millisecond))
	}
	if h.mustBeActive(n, zoneOutAt) {
		h.recorder.addFinding("no-work-in-a-zone-out", "%s by %s ran at %s, %s after %s was taken out", id, n.name, t.ID, time.Since(zoneOutAt).Round(time.Millisecond), t.zone)
	}
}

// overdue reports whether a change must be in force at a node: it was made long ago,
// and since then neither the node nor the store was disturbed.
func (h *harness) mustBeActive(n *node, changedAt time.Time) bool {
	if changedAt.IsZero() {
		return false
	}
	h.mu.Lock()
	storeFaultAt := h.storeFaultAt
	h.mu.Unlock()
	now := time.Now()
	return now.Sub(changedAt) > propagationLimit && now.Sub(storeFaultAt) > propagationLimit && n.undisturbedFor(now, propagationLimit)
}
