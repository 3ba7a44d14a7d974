package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
)

// claims lets callers send keyed calls, again and again and through several
// nodes, while the log fails, records expire, and nodes are paused, killed and
// replaced. No key may be sent twice within its window.
var claims = scenario{
	name:      "claims",
	play:      playClaims,
	mutations: []mutation{"claim-by-own-knowledge", "use-twice", "release-after-send"},
}

// keyWindow is the window of the keys; the log keeps records for as long.
const keyWindow = 10 * time.Minute

// claimer is one node's claims.
type claimer struct {
	claims *claim.Claimer
	checks *invariant.Checks
	cancel context.CancelFunc
}

func newClaimer(log stream.Log, self int, fleet int) *claimer {
	c := &claimer{checks: &invariant.Checks{}}
	c.claims = &claim.Claimer{
		Log: log, Holder: member.Incarnation(self), Book: &claim.Book{}, Checks: c.checks, Fleet: func() int { return fleet },
	}
	f := &stream.Follower{Log: log, Name: claim.Stream, Fold: c.claims.Book}
	c.claims.Ready = f.CaughtUp
	c.claims.Start()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go f.Run(ctx)
	go c.claims.Run(ctx)
	return c
}

// ledger is what targets saw.
type ledger struct {
	mu    sync.Mutex
	sends map[string][]time.Time
}

func (l *ledger) send(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends[key] = append(l.sends[key], time.Now())
}

func playClaims(r *run, m mutation) {
	log := &standin.Log{Retention: keyWindow}
	ctx, cancel := context.WithCancel(context.Background())
	go r.breakLog(ctx, log, 10*time.Second, 8*time.Second)
	nodes := make([]*claimer, 2+r.rng.IntN(4))
	for i := range nodes {
		nodes[i] = newClaimer(log, i+1, len(nodes))
	}
	next := len(nodes) + 1
	l := &ledger{sends: map[string][]time.Time{}}
	var wg sync.WaitGroup
	for step := range 300 {
		time.Sleep(r.between(0, 2*time.Second))
		if r.chance(0.03) {
			r.fault("node-killed-and-replaced")
			i := r.rng.IntN(len(nodes))
			nodes[i].cancel()
			nodes[i] = newClaimer(log, next, len(nodes))
			next++
		}
		// Callers come back with keys of a moment or of minutes ago.
		key := fmt.Sprintf("key-%d", max(0, step-r.rng.IntN(20)*r.rng.IntN(3)))
		for range 1 + r.rng.IntN(2) {
			node := nodes[r.rng.IntN(len(nodes))]
			pause := time.Duration(0)
			if r.chance(0.1) {
				r.fault("paused-before-the-send")
				pause = r.between(0, keyWindow)
			}
			fails := r.chance(0.2)
			wg.Go(func() { callOnce(node, key, pause, fails, l, m) })
		}
	}
	cancel()
	wg.Wait()
	for _, n := range nodes {
		if got := n.checks.Total(); got > 0 {
			r.breach("promises broken inside the program: %d", got)
		}
		n.cancel()
	}
	time.Sleep(30 * time.Second)
	for key, at := range l.sends {
		for i := 1; i < len(at); i++ {
			if at[i].Sub(at[i-1]) < keyWindow {
				r.breach("%s was sent twice, %s apart", key, at[i].Sub(at[i-1]))
			}
		}
	}
}

// callOnce carries a keyed call as the dispatcher does: claim, pause, use, send.
func callOnce(n *claimer, key string, pause time.Duration, fails bool, l *ledger, m mutation) {
	c, refusal := n.claims.New("khata", key, keyWindow, []byte("same-body"))
	if refusal.Reason != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if m == "claim-by-own-knowledge" {
		if _, held := n.claims.Book.Holder(claim.DigestOf("khata", key)); !held {
			l.send(key)
		}
		return
	}
	if c.Acquire(ctx).Reason != "" {
		return
	}
	time.Sleep(pause)
	if fails {
		// No target could be reached; the call was not run.
		c.Release()
		return
	}
	if !c.Use() {
		return
	}
	l.send(key)
	if m == "use-twice" {
		c.Use()
		l.send(key)
	}
	if m == "release-after-send" {
		c.Unused()
		c.Release()
	}
}
