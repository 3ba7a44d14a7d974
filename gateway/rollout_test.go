package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

const (
	rolloutTargets  = 8
	rolloutDuration = 10 * time.Second
	// rolloutCallDuration is long compared with the delays of a busy test machine.
	rolloutCallDuration = 20 * time.Millisecond
)

// startRollout starts nodes and targets of two versions, the new one with the given share
// of failures, and orders the new version.
func (c *testCluster) startRollout(failsOneIn int64) (newTargets []*platformtest.Target) {
	c.t.Helper()
	c.putPlan(1, "a")
	for i := range rolloutTargets {
		c.startTarget(fmt.Sprint("old-", i), "a", "east").WarmCallDuration = rolloutCallDuration
	}
	for range 3 {
		c.startNode("east", c.storeAddress)
	}
	c.linkNodes()
	for i := range rolloutTargets {
		id := fmt.Sprint("new-", i)
		target := &platformtest.Target{ID: id, Slots: 4, WarmCallDuration: rolloutCallDuration, Version: "v2", FailsOneIn: failsOneIn}
		c.targets[id] = target
		c.targetAddresses[id] = c.listen(target)
		newTargets = append(newTargets, target)
	}
	c.store.Put(platformtest.OperatorTopic, "rollout/a", fmt.Sprintf(`{"service":"a","targetVersion":"v2","durationS":%v}`, rolloutDuration.Seconds()))
	for i := range rolloutTargets {
		c.putTarget(fmt.Sprint("new-", i), "a", "east", "ready")
	}
	return newTargets
}

// rolloutState returns the state of the last status, and whether it was written once only.
func (c *testCluster) rolloutState() (state string, isOnce bool) {
	values := c.store.Values(platformtest.StatusTopic, "rollout/a")
	if len(values) == 0 {
		return "", true
	}
	last := values[len(values)-1]
	for _, s := range []string{"running", "succeeded", "rolled_back"} {
		if strings.Contains(last, fmt.Sprintf(`"state":%q`, s)) {
			state = s
		}
	}
	return state, len(values) <= 2
}

func rolloutPath(int) string { return "/x/1" }

func arrivalsOf(targets []*platformtest.Target) (n int64) {
	for _, t := range targets {
		n += t.ArrivalCount()
	}
	return n
}

// Guards against an order that is not read: without one, calls go to both versions alike.
func TestBadVersionIsRolledBackWithinItsExposure(t *testing.T) {
	c := newTestCluster(t)
	newTargets := c.startRollout(2)
	var load sync.WaitGroup
	var sent int
	load.Go(func() { _, sent = c.load(rolloutDuration, 4*time.Millisecond, rolloutPath) })
	c.waitFor(rolloutDuration, "a result", func() bool { state, _ := c.rolloutState(); return state != "" && state != "running" })
	state, isOnce := c.rolloutState()
	if state != "rolled_back" || !isOnce {
		t.Errorf("result: got %q, once %v, want rolled_back once", state, isOnce)
	}
	atResult := arrivalsOf(newTargets)
	load.Wait()
	if got := arrivalsOf(newTargets); got > atResult+5 {
		t.Errorf("calls to the bad version after the result: got %d, want none but those in flight", got-atResult)
	}
	if got, want := arrivalsOf(newTargets), int64(0.1*float64(sent)+50); got > want || got == 0 {
		t.Errorf("calls to the bad version: got %d of %d, want some and at most %d", got, sent, want)
	}
}

// Guards against a good version that is not in place by its deadline, and against calls at
// old targets after the success, with which these stop at once. One of the nodes, which may
// be the one that decides, stops half way.
func TestGoodVersionIsInPlaceByDeadline(t *testing.T) {
	c := newTestCluster(t)
	newTargets := c.startRollout(0)
	var load sync.WaitGroup
	load.Go(func() { c.load(rolloutDuration, 4*time.Millisecond, rolloutPath) })
	c.waitFor(rolloutDuration, "the status that it runs", func() bool { state, _ := c.rolloutState(); return state == "running" })
	time.Sleep(rolloutDuration / 4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.nodes[0].Stop(ctx)
	c.waitFor(rolloutDuration, "a result", func() bool { state, _ := c.rolloutState(); return state != "running" })
	if state, isOnce := c.rolloutState(); state != "succeeded" || !isOnce {
		t.Errorf("result: got %q, once %v, want succeeded once", state, isOnce)
	}
	var oldTargets []*platformtest.Target
	for id, target := range c.targets {
		if strings.HasPrefix(id, "old-") {
			oldTargets = append(oldTargets, target)
		}
	}
	atResult, newAtResult := arrivalsOf(oldTargets), arrivalsOf(newTargets)
	load.Wait()
	if got := arrivalsOf(oldTargets); got > atResult {
		t.Errorf("calls to the old version after the success: got %d, want none", got-atResult)
	}
	if got := arrivalsOf(newTargets); got <= newAtResult {
		t.Errorf("calls to the new version after the success: got none, want some")
	}
}
