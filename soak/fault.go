package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// fault is one kind of fault. inject causes it at the node n or, if the fault does not
// concern a single node, ignores n. It returns when the fault is repaired or the
// repair is under way.
type fault struct {
	name   string
	inject func(h *harness, n *node)
}

const (
	// minFaultDuration and maxFaultDuration bound the duration of one fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxFaultInterval bounds the random interval between the starts of two faults.
	// Faults may overlap.
	maxFaultInterval = 700 * time.Millisecond
)

var faults = []fault{
	{"kill", func(h *harness, n *node) {
		n.disrupt(syscall.SIGKILL)
		n.awaitExit(time.Second)
		h.restart(n)
	}},
	{"stop", func(h *harness, n *node) {
		n.stop()
		h.awaitStop(n)
	}},
	{"stop-and-reload", func(h *harness, n *node) {
		n.stop()
		time.Sleep(minFaultDuration)
		n.signal(syscall.SIGHUP)
		h.awaitStop(n)
	}},
	{"pause", func(h *harness, n *node) {
		n.disrupt(syscall.SIGSTOP)
		time.Sleep(h.randomFaultDuration())
		n.recordDisturbance(time.Now())
		n.signal(syscall.SIGCONT)
	}},
	{"reload", func(h *harness, n *node) {
		if err := n.writeSettings(false); err != nil {
			h.recorder.addFinding("soak", "%v", err)
		}
		n.signal(syscall.SIGHUP)
	}},
	{"store-link", func(h *harness, n *node) { h.disruptLink(n, n.storeProxy) }},
	{"peer-links", func(h *harness, n *node) { h.disruptLink(n, n.peerProxy) }},
	{"all-peer-links", func(h *harness, _ *node) {
		mode := h.randomLinkFault()
		for _, n := range h.nodes {
			n.recordDisturbance(time.Now())
			n.peerProxy.SetMode(mode)
		}
		time.Sleep(h.randomFaultDuration())
		for _, n := range h.nodes {
			n.peerProxy.SetMode(platformtest.LinkOpen)
			n.peerProxy.Reset()
			n.recordDisturbance(time.Now())
		}
	}},
	{"target-link", func(h *harness, _ *node) {
		h.mu.Lock()
		t := h.randomTarget()
		h.mu.Unlock()
		h.recordLinkDisturbance(t)
		t.proxy.SetMode(h.randomLinkFault())
		time.Sleep(h.randomFaultDuration())
		t.proxy.SetMode(platformtest.LinkOpen)
		t.proxy.Reset()
		h.recordLinkDisturbance(t)
	}},
	{"reset", func(h *harness, n *node) {
		n.recordDisturbance(time.Now())
		n.storeProxy.Reset()
		n.peerProxy.Reset()
	}},
	{"plan", func(h *harness, _ *node) { h.publishConfig() }},
	{"targets-topic", func(h *harness, _ *node) {
		h.recordTargetsFault()
		h.store.SetTopicFault(platformtest.TargetsTopic, platformtest.Fault(1+h.randomInt(3)))
		time.Sleep(h.randomFaultDuration())
		h.store.SetTopicFault(platformtest.TargetsTopic, platformtest.NoFault)
		h.recordTargetsFault()
	}},
	{"target-joins", func(h *harness, _ *node) {
		if err := h.addTarget(true); err != nil {
			h.recorder.addFinding("soak", "%v", err)
		}
	}},
	{"target-leaves", func(h *harness, _ *node) { h.removeTarget() }},
	{"target-replaced", func(h *harness, _ *node) {
		if err := h.replaceTarget(); err != nil {
			h.recorder.addFinding("soak", "%v", err)
		}
	}},
	{"target-says-it-leaves", func(h *harness, _ *node) { h.announceLeave() }},
	{"target-refuses", func(h *harness, _ *node) { h.refuseForAWhile() }},
	{"target-names-limit", func(h *harness, _ *node) { h.nameLimits() }},
	{"target-cools", func(h *harness, _ *node) { h.makeTargetCold() }},
	{"zones", func(h *harness, _ *node) { h.toggleZone() }},
}

// storeFaults are faults of the store, which affect all nodes.
var storeFaults = []fault{
	{"store", func(h *harness, _ *node) {
		h.recordStoreFault()
		h.store.SetFault(platformtest.Fault(1 + h.randomInt(3)))
		time.Sleep(h.randomFaultDuration())
		h.store.SetFault(platformtest.NoFault)
		h.recordStoreFault()
	}},
	{"store-forgets", func(h *harness, _ *node) {
		h.recordStoreFault()
		h.store.ExpireRecords(platformtest.TargetsTopic)
		h.store.ExpireRecords(platformtest.OperatorTopic)
	}},
	{"store-restored", func(h *harness, _ *node) { h.restoreStore() }},
	{"store-behind", func(h *harness, _ *node) {
		h.recordStoreFault()
		h.store.SetReadLag(1 + h.randomInt(3))
		time.Sleep(h.randomFaultDuration())
		h.store.SetReadLag(0)
		h.recordStoreFault()
	}},
}

// injectFaults starts random faults for Settings.FaultDuration and waits until each is
// repaired. Faults overlap, but each one in progress was drawn with a different node,
// and there are at most half as many as nodes (but at least one).
func (h *harness) injectFaults(ctx context.Context) error {
	running := make(chan struct{}, max(1, len(h.nodes)/2))
	nodeInUse := map[*node]chan struct{}{}
	for _, n := range h.nodes {
		nodeInUse[n] = make(chan struct{}, 1)
	}
	kinds := h.settings.enabledFaults()
	for end := time.Now().Add(h.settings.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		f, n := kinds[h.randomInt(len(kinds))], h.nodes[h.randomInt(len(h.nodes))]
		interval := time.Duration(h.randomInt(int(maxFaultInterval)))
		select {
		case nodeInUse[n] <- struct{}{}:
		default:
			time.Sleep(interval / 4)
			continue
		}
		running <- struct{}{}
		h.mu.Lock()
		h.faultCounts[f.name]++
		h.mu.Unlock()
		h.logf("%s %s", f.name, n.name)
		go func() {
			f.inject(h, n)
			<-nodeInUse[n]
			<-running
		}()
		time.Sleep(interval)
	}
	for range cap(running) {
		running <- struct{}{}
	}
	return ctx.Err()
}

// enabledFaults returns the faults of a run. With an even seed the store has no
// faults, so that changes must become active in time.
func (s Settings) enabledFaults() (kinds []fault) {
	all := faults
	if s.Seed%2 == 1 {
		all = slices.Concat(faults, storeFaults)
	}
	for _, f := range all {
		if len(s.FaultNames) == 0 || slices.Contains(s.FaultNames, f.name) {
			kinds = append(kinds, f)
		}
	}
	return kinds
}

// linkFaults are the modes of links that randomLinkFault draws from.
var linkFaults = []platformtest.LinkMode{platformtest.LinkSlow, platformtest.LinkSilent, platformtest.LinkResponseSilent}

// randomLinkFault draws a link mode other than platformtest.LinkOpen.
func (h *harness) randomLinkFault() platformtest.LinkMode {
	return linkFaults[h.randomInt(len(linkFaults))]
}

// disruptLink applies a random link fault for a random duration, and then resets the
// connections of the link.
func (h *harness) disruptLink(n *node, p *platformtest.Proxy) {
	n.recordDisturbance(time.Now())
	p.SetMode(h.randomLinkFault())
	time.Sleep(h.randomFaultDuration())
	p.SetMode(platformtest.LinkOpen)
	p.Reset()
	n.recordDisturbance(time.Now())
}

// randomInt draws an integer in [0, n).
func (h *harness) randomInt(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

// randomFaultDuration draws the duration of a fault.
func (h *harness) randomFaultDuration() time.Duration {
	return minFaultDuration + time.Duration(h.randomInt(int(maxFaultDuration-minFaultDuration)))
}

func (h *harness) recordLinkDisturbance(t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.linkDisturbedAt = time.Now()
}

func (h *harness) recordStoreFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFaultAt = time.Now()
}

// recordTargetsFault records a fault of the part of the store with the targets. It is no
// excuse for a late configuration.
func (h *harness) recordTargetsFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targetsFaultAt = time.Now()
}

// awaitStop waits for the end of a planned stop and restarts the node.
func (h *harness) awaitStop(n *node) {
	if n.awaitExit(2 * graceSeconds * time.Second) {
		h.recorder.addFinding("stop-in-time", "%s had not exited %d s after the stop signal", n.name, 2*graceSeconds)
	}
	n.recordDisturbance(time.Now())
	h.restart(n)
}

func (h *harness) restart(n *node) {
	if err := n.writeSettings(false); err != nil {
		h.recorder.addFinding("soak", "%v", err)
		return
	}
	if err := n.start(); err != nil {
		h.recorder.addFinding("soak", "%v", err)
	}
}
