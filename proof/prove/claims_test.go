package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/apricotmount/apricotmount/claim"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/outcome"
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
	checks *invariant.Checker
	cancel context.CancelFunc
}

func newClaimer(log stream.Log, self int, fleet int) *claimer {
	c := &claimer{checks: &invariant.Checker{}}
	c.claims = &claim.Claimer{
		Log: log, Holder: member.Incarnation(self), State: &claim.State{}, Checks: c.checks, FleetSize: func() int { return fleet },
	}
	f := &stream.Follower{Log: log, Name: claim.Stream, Applier: c.claims.State}
	c.claims.IsCaughtUp = f.HasCaughtUp
	c.claims.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go f.Run(ctx)
	go c.claims.Run(ctx)
	return c
}

// ledger is what targets saw, and what callers were told of their claims.
type ledger struct {
	mu    sync.Mutex
	sends map[string][]time.Time
	// history holds the claims and releases on each key; undecided the keys of
	// which a claim may turn up after its call was refused.
	history   map[string][]porcupine.Operation
	undecided map[string]bool
}

func (l *ledger) send(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends[key] = append(l.sends[key], time.Now())
}

// claimStep is one claim or release on a key, for the checker.
type claimStep struct {
	release bool
}

// claimModel: a key is held or free. A claim is granted if it is free, and
// denied if it is held; a release frees it.
var claimModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		held := state.(bool)
		if input.(claimStep).release {
			return held, false
		}
		granted := output.(bool)
		return granted != held, held || granted
	},
}

// note keeps what a claim came to. A release takes effect at some later time.
func (l *ledger) note(key string, call time.Time, step claimStep, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := time.Now().UnixNano()
	if step.release {
		end = call.Add(keyWindow).UnixNano()
	}
	l.history[key] = append(l.history[key], porcupine.Operation{
		ClientId: len(l.history[key]), Input: step, Output: granted, Call: call.UnixNano(), Return: end,
	})
}

// check holds the history of each key against the model, where all of it lies
// within one window and every claim was decided.
func (l *ledger) check(r *run) {
	for key, ops := range l.history {
		first, last := ops[0].Call, ops[0].Call
		for _, op := range ops {
			first, last = min(first, op.Call), max(last, op.Call)
		}
		if l.undecided[key] || time.Duration(last-first) > keyWindow/2 {
			continue
		}
		r.checked++
		if !porcupine.CheckOperations(claimModel, ops) {
			r.breach("what callers were told of %s fits no order", key)
		}
	}
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
	l := &ledger{sends: map[string][]time.Time{}, history: map[string][]porcupine.Operation{}, undecided: map[string]bool{}}
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
		if got := n.checks.TotalViolations(); got > 0 {
			r.breach("invariants broken inside the program: %d", got)
		}
		n.cancel()
	}
	time.Sleep(30 * time.Second)
	l.check(r)
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
	c, refusal := n.claims.NewClaim("khata", key, keyWindow, []byte("same-body"))
	if refusal.Reason != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if m == "claim-by-own-knowledge" {
		if _, held := n.claims.State.GrantOf(claim.HashKey("khata", key)); !held {
			l.send(key)
		}
		return
	}
	asked := time.Now()
	switch got := c.Acquire(ctx); got.Reason {
	case "":
		l.note(key, asked, claimStep{}, true)
	case outcome.KeyClaimed:
		l.note(key, asked, claimStep{}, false)
		return
	default:
		l.mu.Lock()
		l.undecided[key] = true
		l.mu.Unlock()
		return
	}
	time.Sleep(pause)
	if fails {
		// No target could be reached; the call was not run.
		l.note(key, time.Now(), claimStep{release: true}, false)
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
		c.UndoUse()
		c.Release()
	}
}
