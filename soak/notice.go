package soak

import (
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// A target may tell nodes that it is about to stop, or to send nothing for a while. These
// checks hold each node to what it was told, unless the node or the link to the target
// was disturbed since.
const (
	// leavingLimit is how long after a node was told that a target leaves its calls may
	// still reach the target, with a second for slow machines.
	leavingLimit = 3 * time.Second
	// refusalReaction is how long after a refusal calls may still follow it, and
	// maxRefusedArrivals how many may do so later.
	refusalReaction    = 500 * time.Millisecond
	maxRefusedArrivals = 2
	// minRefusal and maxRefusal bound the time for which a target refuses requests.
	minRefusal, maxRefusal = time.Second, 3 * time.Second
)

// notice is what a target told one node.
type notice struct {
	leavingAt, refusedAt time.Time
	refusedArrivals      int
}

// announceLeave makes a random target say that it is about to stop. It is removed from
// the store later.
func (h *harness) announceLeave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.activeTargets()) <= minTargets {
		return
	}
	t := h.randomTarget()
	t.announced = true
	t.SetLeaving()
	time.AfterFunc(2*leavingLimit, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if t.leftAt.IsZero() {
			t.leftAt = time.Now()
		}
		h.store.Put(platformtest.TargetsTopic, t.ID, "")
	})
}

// refuseForAWhile makes a random target refuse all requests for a random time.
func (h *harness) refuseForAWhile() {
	d := minRefusal + time.Duration(h.randomInt(int(maxRefusal-minRefusal)))
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.randomTarget()
	t.refusingUntil = time.Now().Add(d)
	clear(t.notices)
	t.RefuseFor(d)
}

// checkNotices checks a call of a node that reaches a target against what the target told
// the node. h.mu must be held.
func (h *harness) checkNotices(t *target, n *node, now time.Time) {
	if n == nil {
		return
	}
	if t.notices == nil {
		t.notices = map[*node]*notice{}
	}
	told := t.notices[n]
	if told == nil {
		told = &notice{}
		t.notices[n] = told
	}
	if t.announced {
		if told.leavingAt.IsZero() || !h.toldUndisturbed(t, n, told.leavingAt) {
			told.leavingAt = now
		} else if now.Sub(told.leavingAt) > leavingLimit {
			h.recorder.addFinding("leaving-target", "%s sent a call to %s %s after it said that it leaves", n.name, t.ID, now.Sub(told.leavingAt).Round(time.Millisecond))
		}
	}
	if now.After(t.refusingUntil) {
		return
	}
	if told.refusedAt.IsZero() || !h.toldUndisturbed(t, n, told.refusedAt) {
		told.refusedAt, told.refusedArrivals = now, 0
	} else if now.Sub(told.refusedAt) > refusalReaction {
		if told.refusedArrivals++; told.refusedArrivals > maxRefusedArrivals {
			h.recorder.addFinding("refusing-target", "%s sent %d calls to %s, which had asked for none", n.name, told.refusedArrivals, t.ID)
		}
	}
}

// toldUndisturbed reports whether neither the node nor the target's link was disturbed
// since the node was told something. h.mu must be held.
func (h *harness) toldUndisturbed(t *target, n *node, at time.Time) bool {
	now := time.Now()
	return n.undisturbedFor(now, now.Sub(at)) && t.linkDisturbedAt.Before(at)
}

// restoreStore returns the store to a copy that lacks its newest records. Afterwards the
// targets write what holds again, and so does the operator, but for the configuration in
// every other case: it must stay in force all the same.
func (h *harness) restoreStore() {
	h.recordStoreFault()
	h.store.Restore(1 + h.randomInt(maxLostRecords))
	time.Sleep(h.randomFaultDuration() / 3)
	if h.randomInt(2) == 0 {
		h.publishConfig()
	}
	h.mu.Lock()
	for _, z := range zones {
		value := ""
		if _, isOut := h.zonesOut[z]; isOut {
			value = "{}"
		}
		h.store.Put(platformtest.OperatorTopic, "evacuate/"+z, value)
	}
	for _, t := range h.targets {
		if t.leftAt.IsZero() {
			h.putRecord(t, "ready")
		} else {
			h.store.Put(platformtest.TargetsTopic, t.ID, "")
		}
	}
	h.mu.Unlock()
	h.recordStoreFault()
}

// maxLostRecords is the maximum number of records of a topic that a restored store lacks.
const maxLostRecords = 6
