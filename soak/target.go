package soak

import (
	"fmt"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// target is a target behind a proxy, and what was said of it.
type target struct {
	*platformtest.Target
	zone string
	link *proxy
	// leftAt is when it said that it leaves, or was taken away; zero if it stays.
	leftAt time.Time
	// cold holds when the calls of the last second came while it was cold.
	cold []time.Time
}

// addTarget adds a target, in cold start if calls are already under way.
func (w *world) addTarget(cold bool) error {
	link, err := newProxy("")
	if err != nil {
		return err
	}
	w.closers = append(w.closers, link.close)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serve(&target{zone: zones[len(w.targets)%len(zones)], link: link}, cold)
}

// serve starts a new instance behind a target's proxy. The lock must be held.
func (w *world) serve(t *target, cold bool) error {
	t.Target = &platformtest.Target{
		ID: fmt.Sprint("t-", len(w.targets)), Slots: 6, WarmCallDuration: 20 * time.Millisecond,
		OnArrival: func(id string, mine bool) { w.arrived(t, id, mine) },
		OnRun:     func(id string) { w.ran(t, id) },
	}
	if cold {
		t.StartColdPeriod(platformtest.ColdPeriod)
	}
	address, closeTarget, err := platformtest.StartServer(t.Target)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, closeTarget)
	t.link.lead(address)
	w.targets = append(w.targets, t)
	w.say(t, "ready")
	return nil
}

// say writes what a target says of itself. The lock must be held.
func (w *world) say(t *target, state string) {
	w.store.Put(platformtest.TargetsTopic, t.ID, t.RecordJSON("a", t.zone, t.link.address(), state, int(w.sequence.Add(1))))
}

// present returns the targets that have not left. The lock must be held.
func (w *world) present() (here []*target) {
	for _, t := range w.targets {
		if t.leftAt.IsZero() {
			here = append(here, t)
		}
	}
	return here
}

// pick draws a target that has not left. The lock must be held.
func (w *world) pick() *target {
	here := w.present()
	return here[w.rng.IntN(len(here))]
}

// fewestTargets stay when others leave.
const fewestTargets = 3

// removeTarget lets a target drain and go.
func (w *world) removeTarget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.present()) <= fewestTargets {
		return
	}
	t := w.pick()
	t.leftAt = time.Now()
	if w.settings.UnannouncedLeave {
		return
	}
	w.say(t, "draining")
	time.AfterFunc(time.Second, func() { w.store.Put(platformtest.TargetsTopic, t.ID, "") })
}

// replaceTarget ends a target without notice and starts another at its address,
// which is in cold start.
func (w *world) replaceTarget() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.pick()
	t.leftAt = time.Now()
	err := w.serve(&target{zone: t.zone, link: t.link}, true)
	t.link.reset()
	w.store.Put(platformtest.TargetsTopic, t.ID, "")
	return err
}

// coolTarget makes a target cold without a word in the store.
func (w *world) coolTarget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pick().StartColdPeriod(platformtest.ColdPeriod)
}

// zoneOut is how long a zone stays out of service at least: longer than nodes may
// take to follow.
const zoneOut = applied + 3*time.Second

// changeZones takes a zone out of service, or brings back the one that has been out
// for long enough.
func (w *world) changeZones() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for z, since := range w.out {
		if time.Since(since) > zoneOut {
			w.bringBack(z)
		}
		return
	}
	z := zones[w.rng.IntN(len(zones))]
	w.out[z] = time.Now()
	w.store.Put(platformtest.OperatorTopic, "evacuate/"+z, "{}")
}

// bringBack puts a zone into service again. The lock must be held.
func (w *world) bringBack(z string) {
	delete(w.out, z)
	w.store.Put(platformtest.OperatorTopic, "evacuate/"+z, "")
}

// coldMost is how many calls a target in cold start may get in a second: the
// platform's overage and slack.
const coldMost = platformtest.MaxColdCallsPerSecond*3/2 + 5

// arrived checks a call that reaches a target, whether or not it runs; one that is
// meant for another instance costs a target nothing.
func (w *world) arrived(t *target, id string, mine bool) {
	w.account.arrived(id)
	if !mine || t.ColdRemaining() == 0 {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(t.cold) > 0 && now.Sub(t.cold[0]) > time.Second {
		t.cold = t.cold[1:]
	}
	t.cold = append(t.cold, now)
	if len(t.cold) > coldMost {
		w.account.broken("cold-start", "%s got %d calls in a second, %d are allowed", t.ID, len(t.cold), coldMost)
	}
}

// ran checks a call that a target runs.
func (w *world) ran(t *target, id string) {
	n := w.account.ran(id)
	if n == nil {
		return
	}
	w.mu.Lock()
	left, out := t.leftAt, w.out[t.zone]
	w.mu.Unlock()
	if w.overdue(n, left) {
		w.account.broken("no-work-after-drain", "%s by %s ran at %s, %s after it left", id, n.name, t.ID, time.Since(left).Round(time.Millisecond))
	}
	if w.overdue(n, out) {
		w.account.broken("no-work-in-a-zone-out", "%s by %s ran at %s, %s after %s was taken out", id, n.name, t.ID, time.Since(out).Round(time.Millisecond), t.zone)
	}
}

// overdue reports whether a change must be in force at a node: it was made long ago,
// and since then neither the node nor the store was disturbed.
func (w *world) overdue(n *node, changed time.Time) bool {
	if changed.IsZero() {
		return false
	}
	w.mu.Lock()
	broken := w.storeBroken
	w.mu.Unlock()
	now := time.Now()
	return now.Sub(changed) > applied && now.Sub(broken) > applied && n.calm(now, applied)
}
