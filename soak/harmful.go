package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// A harmful request ends the process of each target that begins to run it, and its caller
// sends it again and again. The fleet must stop sending it.
const (
	// harmfulInterval is the time between two copies, and harmfulDuration how long one
	// request is sent.
	harmfulInterval = 200 * time.Millisecond
	harmfulDuration = 9 * time.Second
	// harmfulCrashes is the number of targets that may end under a request before the nodes
	// must hold it, contactTime how long they have then, and harmfulRuns the number of
	// copies that may run after that.
	harmfulCrashes = 3
	contactTime    = 3 * time.Second
	harmfulRuns    = 3
	// crashDelay is the time from the start of a harmful request until the process ends,
	// and crashDowntime the time until the next one starts.
	crashDelay    = 20 * time.Millisecond
	crashDowntime = time.Second
	// harmfulPrefix begins the IDs of the copies.
	harmfulPrefix = "harmful-"
)

// harmfulRequest is what targets have seen of one harmful request.
type harmfulRequest struct {
	crashCount int
	// knownFrom is when all undisturbed nodes must hold the request; zero before enough
	// targets have ended.
	knownFrom time.Time
	lateRuns  int
}

// sendHarmful sends one harmful request after the other until ctx ends.
func (h *harness) sendHarmful(ctx context.Context, rng *rand.Rand) {
	client := newClient()
	for wave := 0; ctx.Err() == nil; wave++ {
		name := fmt.Sprint(harmfulPrefix, wave)
		for start, i := time.Now(), 0; time.Since(start) < harmfulDuration && ctx.Err() == nil; i++ {
			n := h.nodes[rng.IntN(len(h.nodes))]
			id := fmt.Sprint(name, "/", i)
			kind := "safe/" + name
			if h.settings.DistinctCopies {
				kind = "safe/" + id
			}
			h.recorder.recordSent(id, false, n)
			go func() {
				status, _ := h.send(ctx, client, n, id, kind)
				h.recorder.recordOutcome(id, fmt.Sprint(harmfulPrefix, status), false)
			}()
			time.Sleep(harmfulInterval)
		}
	}
}

// runHarmful is called when a target begins to run a call. If the call is a copy of a harmful
// request, it ends the target's process.
func (h *harness) runHarmful(t *target, id string, n *node) {
	if !strings.HasPrefix(id, harmfulPrefix) {
		return
	}
	h.checkHarmful(t, id, n)
	// The process ends before it responds.
	time.Sleep(crashDelay)
	h.crashTarget(t)
}

// checkHarmful counts the run of a copy, and checks that it may run.
func (h *harness) checkHarmful(t *target, id string, n *node) {
	now := time.Now()
	name, _, _ := strings.Cut(id, "/")
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.harmful[name]
	if r == nil {
		r = &harmfulRequest{}
		h.harmful[name] = r
	}
	if !r.knownFrom.IsZero() && now.After(r.knownFrom) && n.undisturbedFor(now, 2*contactTime) {
		r.lateRuns++
		if r.lateRuns > harmfulRuns {
			h.recorder.addFinding("harmful-request", "%s by %s ran at %s, %s after the nodes had to know it; %d ran since", id, n.name, t.ID, now.Sub(r.knownFrom).Round(time.Millisecond), r.lateRuns)
		}
	}
	r.crashCount++
	if r.crashCount == harmfulCrashes {
		r.knownFrom = now.Add(crashDelay + contactTime)
	}
}

// crashTarget ends the process of a target: its connections break and new ones are closed
// until the next process starts.
func (h *harness) crashTarget(t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !t.leftAt.IsZero() {
		return
	}
	t.leftAt = time.Now()
	t.proxy.SetMode(platformtest.LinkClosed)
	t.proxy.Reset()
	time.AfterFunc(crashDowntime, func() { h.restartTarget(t) })
}

// restartTarget starts the next process of a target that has crashed, at its address.
func (h *harness) restartTarget(t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.startTarget(&target{zone: t.zone, proxy: t.proxy}, true); err != nil {
		h.recorder.addFinding("soak", "%v", err)
	}
	t.proxy.SetMode(platformtest.LinkOpen)
	h.store.Put(platformtest.TargetsTopic, t.ID, "")
}
