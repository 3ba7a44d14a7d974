package soak

import (
	"fmt"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// target is a stand-in target behind a proxy.
type target struct {
	*platformtest.Target
	zone  string
	proxy *platformtest.Proxy
	// leftAt is when the target began to drain or was removed; zero if it is active.
	leftAt time.Time
	// coldArrivals holds the arrival times of the calls that a target in cold start got
	// in the last second.
	coldArrivals []time.Time
	// announced reports whether the target says that it leaves, and refusingUntil until
	// when it refuses all requests. notices holds what it told each node.
	announced       bool
	refusingUntil   time.Time
	notices         map[*node]*notice
	linkDisturbedAt time.Time
	// limit is the rate limit that the target names.
	limit namedLimit
}

// addTarget adds a target. cold must be set if calls are already under way, so that the
// target begins in cold start.
func (h *harness) addTarget(cold bool) error {
	p, err := platformtest.NewProxy("")
	if err != nil {
		return err
	}
	h.closers = append(h.closers, p.Close)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startTarget(&target{zone: zones[len(h.targets)%len(zones)], proxy: p}, cold)
}

// startTarget starts a new instance behind a target's proxy. h.mu must be held.
func (h *harness) startTarget(t *target, cold bool) error {
	t.Target = &platformtest.Target{
		ID: fmt.Sprint("t-", len(h.targets)), Slots: 6, WarmCallDuration: 20 * time.Millisecond,
		OnArrival: func(id string, forThisInstance bool) { h.onArrival(t, id, forThisInstance) },
		OnRun:     func(id string) { h.onRun(t, id) },
	}
	if cold {
		t.StartColdPeriod(platformtest.ColdPeriod)
	}
	address, closeTarget, err := platformtest.StartServer(t.Target)
	if err != nil {
		return err
	}
	h.closers = append(h.closers, closeTarget)
	t.proxy.SetUpstream(address)
	h.targets = append(h.targets, t)
	h.putRecord(t, "ready")
	return nil
}

// putRecord writes a target's record into the store. h.mu must be held.
func (h *harness) putRecord(t *target, state string) {
	h.store.Put(platformtest.TargetsTopic, t.ID, t.RecordJSON("a", t.zone, t.proxy.Address(), state, int(h.sequence.Add(1))))
}

// activeTargets returns the targets that have not left. h.mu must be held.
func (h *harness) activeTargets() (active []*target) {
	for _, t := range h.targets {
		if t.leftAt.IsZero() {
			active = append(active, t)
		}
	}
	return active
}

// randomTarget draws a target that has not left. h.mu must be held.
func (h *harness) randomTarget() *target {
	active := h.activeTargets()
	return active[h.rng.IntN(len(active))]
}

// minTargets is the number of active targets that removeTarget leaves at least.
const minTargets = 3

// removeTarget drains a random target and removes it from the store 1 s later. With
// Settings.UnannouncedLeave it only marks the target as left.
func (h *harness) removeTarget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.activeTargets()) <= minTargets {
		return
	}
	t := h.randomTarget()
	t.leftAt = time.Now()
	if h.settings.UnannouncedLeave {
		return
	}
	h.putRecord(t, "draining")
	time.AfterFunc(time.Second, func() { h.store.Put(platformtest.TargetsTopic, t.ID, "") })
}

// replaceTarget removes a target without notice and starts another at its address, in
// cold start.
func (h *harness) replaceTarget() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.randomTarget()
	t.leftAt = time.Now()
	err := h.startTarget(&target{zone: t.zone, proxy: t.proxy}, true)
	t.proxy.Reset()
	h.store.Put(platformtest.TargetsTopic, t.ID, "")
	return err
}

// makeTargetCold puts a target into cold start without a record in the store.
func (h *harness) makeTargetCold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.randomTarget().StartColdPeriod(platformtest.ColdPeriod)
}

// minZoneOutDuration is the minimum time that a zone stays out of service. It is longer
// than the time that nodes may take to apply the change.
const minZoneOutDuration = propagationLimit + 3*time.Second

// toggleZone withdraws a zone if none is out of service. Otherwise it restores the zone
// that is out, if it has been out for longer than minZoneOutDuration.
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
	h.store.Put(platformtest.OperatorTopic, "evacuate/"+z, "{}")
}

// restoreZone puts a zone back into service. h.mu must be held.
func (h *harness) restoreZone(z string) {
	delete(h.zonesOut, z)
	h.store.Put(platformtest.OperatorTopic, "evacuate/"+z, "")
}

// maxColdPerSecond is how many calls a target in cold start may get in one second: the
// platform's rate with an overage of one half, and a slack of 5.
const maxColdPerSecond = platformtest.MaxColdCallsPerSecond*3/2 + 5

// onArrival checks a call that reaches a target, whether or not it runs. A call for
// another instance does not count toward the cold-start limit, because it costs the
// target nothing.
func (h *harness) onArrival(t *target, id string, forThisInstance bool) {
	n := h.recorder.recordArrival(id)
	if !forThisInstance {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkNotices(t, n, now)
	h.checkLimit(t, n, now)
	if t.ColdRemaining() == 0 {
		return
	}
	for len(t.coldArrivals) > 0 && now.Sub(t.coldArrivals[0]) > time.Second {
		t.coldArrivals = t.coldArrivals[1:]
	}
	t.coldArrivals = append(t.coldArrivals, now)
	if len(t.coldArrivals) > maxColdPerSecond {
		h.recorder.addFinding("cold-start", "%s got %d calls in one second, want at most %d", t.ID, len(t.coldArrivals), maxColdPerSecond)
	}
}

// onRun checks a call that a target runs.
func (h *harness) onRun(t *target, id string) {
	n := h.recorder.recordRun(id)
	if n == nil {
		return
	}
	h.runHarmful(t, id, n)
	h.mu.Lock()
	leftAt, zoneOutAt := t.leftAt, h.zonesOut[t.zone]
	h.mu.Unlock()
	if h.mustBeActive(n, leftAt) && h.targetsUndisturbed() {
		h.recorder.addFinding("no-work-after-drain", "%s by %s ran at %s, %s after it left", id, n.name, t.ID, time.Since(leftAt).Round(time.Millisecond))
	}
	if h.mustBeActive(n, zoneOutAt) {
		h.recorder.addFinding("no-work-in-a-zone-out", "%s by %s ran at %s, %s after %s was withdrawn", id, n.name, t.ID, time.Since(zoneOutAt).Round(time.Millisecond), t.zone)
	}
}

// mustBeActive reports whether a change must be active at a node: it was made longer
// than propagationLimit ago, and neither the node nor the store was disturbed in that
// time.
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

// targetsUndisturbed reports whether the part of the store with the targets had no fault of
// its own for propagationLimit.
func (h *harness) targetsUndisturbed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.targetsFaultAt) > propagationLimit
}
