package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// fault is one way to break something; it returns when it is mended or the
// mending is under way.
type fault struct {
	name string
	act  func(w *world, n *node)
}

const (
	// shortest and longest bound how long one thing stays broken.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// pauseMost is the longest pause between two faults; they overlap.
	pauseMost = 700 * time.Millisecond
)

var faults = []fault{
	{"kill", func(w *world, n *node) {
		n.kill(syscall.SIGKILL)
		n.await(time.Second)
		w.restart(n)
	}},
	{"stop", func(w *world, n *node) {
		n.stop()
		w.awaitStop(n)
	}},
	{"stop-and-reload", func(w *world, n *node) {
		n.stop()
		time.Sleep(shortest)
		n.signal(syscall.SIGHUP)
		w.awaitStop(n)
	}},
	{"pause", func(w *world, n *node) {
		n.kill(syscall.SIGSTOP)
		time.Sleep(w.span())
		n.disturb(time.Now())
		n.signal(syscall.SIGCONT)
	}},
	{"reload", func(w *world, n *node) {
		if err := n.write(false); err != nil {
			w.account.broken("soak", "%v", err)
		}
		n.signal(syscall.SIGHUP)
	}},
	{"store-link", func(w *world, n *node) { w.breakLink(n, n.store) }},
	{"peer-links", func(w *world, n *node) { w.breakLink(n, n.peers) }},
	{"all-peer-links", func(w *world, _ *node) {
		how := w.brokenLink()
		for _, n := range w.nodes {
			n.disturb(time.Now())
			n.peers.set(how)
		}
		time.Sleep(w.span())
		for _, n := range w.nodes {
			n.peers.set(open)
			n.peers.reset()
			n.disturb(time.Now())
		}
	}},
	{"target-link", func(w *world, _ *node) {
		w.mu.Lock()
		t := w.pick()
		w.mu.Unlock()
		t.link.set(w.brokenLink())
		time.Sleep(w.span())
		t.link.set(open)
		t.link.reset()
	}},
	{"reset", func(w *world, n *node) {
		n.disturb(time.Now())
		n.store.reset()
		n.peers.reset()
	}},
	{"plan", func(w *world, _ *node) { w.plan() }},
	{"target-joins", func(w *world, _ *node) {
		if err := w.addTarget(true); err != nil {
			w.account.broken("soak", "%v", err)
		}
	}},
	{"target-leaves", func(w *world, _ *node) { w.removeTarget() }},
	{"target-replaced", func(w *world, _ *node) {
		if err := w.replaceTarget(); err != nil {
			w.account.broken("soak", "%v", err)
		}
	}},
	{"target-cools", func(w *world, _ *node) { w.coolTarget() }},
	{"zones", func(w *world, _ *node) { w.changeZones() }},
}

// storeFaults break the store for all nodes.
var storeFaults = []fault{
	{"store", func(w *world, _ *node) {
		w.breakStore()
		w.store.SetFault(platformtest.Fault(1 + w.roll(3)))
		time.Sleep(w.span())
		w.store.SetFault(platformtest.NoFault)
		w.breakStore()
	}},
	{"store-forgets", func(w *world, _ *node) {
		w.breakStore()
		w.store.ExpireRecords(platformtest.TargetsTopic)
		w.store.ExpireRecords(platformtest.OperatorTopic)
	}},
	{"store-behind", func(w *world, _ *node) {
		w.breakStore()
		w.store.SetReadLag(1 + w.roll(3))
		time.Sleep(w.span())
		w.store.SetReadLag(0)
		w.breakStore()
	}},
}

// breakThings breaks one thing after the other, several at a time, for as long as
// the settings say, and waits until each is mended.
func (w *world) breakThings(ctx context.Context) error {
	busy := make(chan struct{}, max(1, len(w.nodes)/2))
	inUse := map[*node]chan struct{}{}
	for _, n := range w.nodes {
		inUse[n] = make(chan struct{}, 1)
	}
	kinds := w.settings.kinds()
	for end := time.Now().Add(w.settings.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		f, n := kinds[w.roll(len(kinds))], w.nodes[w.roll(len(w.nodes))]
		pause := time.Duration(w.roll(int(pauseMost)))
		select {
		case inUse[n] <- struct{}{}:
		default:
			time.Sleep(pause / 4)
			continue
		}
		busy <- struct{}{}
		w.mu.Lock()
		w.faults[f.name]++
		w.mu.Unlock()
		w.note("%s %s", f.name, n.name)
		go func() {
			f.act(w, n)
			<-inUse[n]
			<-busy
		}()
		time.Sleep(pause)
	}
	for range cap(busy) {
		busy <- struct{}{}
	}
	return ctx.Err()
}

// kinds returns the faults of a run. With an even seed the store works, so that
// changes must be in force in time.
func (s Settings) kinds() (kinds []fault) {
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

// brokenLink draws how a link is broken.
func (w *world) brokenLink() link { return link(1 + w.roll(int(links)-1)) }

// breakLink breaks a node's link for a while and resets it.
func (w *world) breakLink(n *node, p *proxy) {
	n.disturb(time.Now())
	p.set(w.brokenLink())
	time.Sleep(w.span())
	p.set(open)
	p.reset()
	n.disturb(time.Now())
}

// roll draws a number below n.
func (w *world) roll(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// span is how long something stays broken.
func (w *world) span() time.Duration {
	return shortest + time.Duration(w.roll(int(longest-shortest)))
}

func (w *world) breakStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeBroken = time.Now()
}

// awaitStop waits for the end of a planned stop and starts the node again.
func (w *world) awaitStop(n *node) {
	if n.await(2 * grace * time.Second) {
		w.account.broken("stop-in-time", "%s had not ended %d s after the signal to stop", n.name, 2*grace)
	}
	n.disturb(time.Now())
	w.restart(n)
}

func (w *world) restart(n *node) {
	if err := n.write(false); err != nil {
		w.account.broken("soak", "%v", err)
		return
	}
	if err := n.start(); err != nil {
		w.account.broken("soak", "%v", err)
	}
}
