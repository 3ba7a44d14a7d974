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

// claims checks that no call is sent twice with the same idempotency key within
// the key's window. Callers repeat calls at several nodes while the log fails,
// records expire, and nodes are paused, killed and replaced.
var claims = scenario{
	name:      "claims",
	run:       runClaims,
	mutations: []mutation{"claim-by-own-knowledge", "use-twice", "release-after-send"},
}

// keyWindow is the window of the idempotency keys and the retention of the log.
const keyWindow = 10 * time.Minute

// claimNode is the claim component of one node.
type claimNode struct {
	claims *claim.Claimer
	checks *invariant.Checker
	cancel context.CancelFunc
}

func newClaimNode(log stream.Log, incarnation int, fleetSize int) *claimNode {
	node := &claimNode{checks: &invariant.Checker{}}
	node.claims = &claim.Claimer{
		Log: log, Holder: member.Incarnation(incarnation), State: &claim.State{}, Checks: node.checks, FleetSize: func() int { return fleetSize },
	}
	follower := &stream.Follower{Log: log, Name: claim.Stream, Applier: node.claims.State}
	node.claims.IsCaughtUp = follower.HasCaughtUp
	node.claims.Init()
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go follower.Run(ctx)
	go node.claims.Run(ctx)
	return node
}

// keyHistory records the sends to targets and the results of claims for each key.
type keyHistory struct {
	mu    sync.Mutex
	sends map[string][]time.Time
	// history holds the claims and releases of each key. undecidedKeys holds the
	// keys with a claim that may still be granted after its call was refused.
	history       map[string][]porcupine.Operation
	undecidedKeys map[string]bool
}

func (h *keyHistory) recordSend(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends[key] = append(h.sends[key], time.Now())
}

// claimStep is a claim, or a release, of a key in the history that Porcupine checks.
type claimStep struct {
	isRelease bool
}

// claimModel is the sequential specification of a key, which is held or free. A
// claim is granted if the key is free and denied if it is held; a release frees it.
var claimModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		held := state.(bool)
		if input.(claimStep).isRelease {
			return held, false
		}
		granted := output.(bool)
		return granted != held, held || granted
	},
}

// recordOperation records the result of a claim or release. A release may take
// effect at any time up to keyWindow later.
func (h *keyHistory) recordOperation(key string, calledAt time.Time, step claimStep, granted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returnedAt := time.Now().UnixNano()
	if step.isRelease {
		returnedAt = calledAt.Add(keyWindow).UnixNano()
	}
	h.history[key] = append(h.history[key], porcupine.Operation{
		ClientId: len(h.history[key]), Input: step, Output: granted, Call: calledAt.UnixNano(), Return: returnedAt,
	})
}

// check verifies that the history of each key is linearizable under the model. It
// skips keys with an undecided claim or with a history longer than half a window.
func (h *keyHistory) check(r *run) {
	for key, ops := range h.history {
		first, last := ops[0].Call, ops[0].Call
		for _, op := range ops {
			first, last = min(first, op.Call), max(last, op.Call)
		}
		if h.undecidedKeys[key] || time.Duration(last-first) > keyWindow/2 {
			continue
		}
		r.checkedHistories++
		if !porcupine.CheckOperations(claimModel, ops) {
			r.addViolation("the claim results of %s are not linearizable", key)
		}
	}
}

func runClaims(r *run, m mutation) {
	log := &standin.Log{Retention: keyWindow}
	ctx, cancel := context.WithCancel(context.Background())
	go r.injectLogFaults(ctx, log, 10*time.Second, 8*time.Second)
	nodes := make([]*claimNode, 2+r.rng.IntN(4))
	for i := range nodes {
		nodes[i] = newClaimNode(log, i+1, len(nodes))
	}
	nextIncarnation := len(nodes) + 1
	history := &keyHistory{sends: map[string][]time.Time{}, history: map[string][]porcupine.Operation{}, undecidedKeys: map[string]bool{}}
	var wg sync.WaitGroup
	for step := range 300 {
		time.Sleep(r.durationBetween(0, 2*time.Second))
		if r.chance(0.03) {
			r.countFault("node-killed-and-replaced")
			i := r.rng.IntN(len(nodes))
			nodes[i].cancel()
			nodes[i] = newClaimNode(log, nextIncarnation, len(nodes))
			nextIncarnation++
		}
		// Callers reuse keys that are between zero and 38 steps old.
		key := fmt.Sprintf("key-%d", max(0, step-r.rng.IntN(20)*r.rng.IntN(3)))
		for range 1 + r.rng.IntN(2) {
			node := nodes[r.rng.IntN(len(nodes))]
			pause := time.Duration(0)
			if r.chance(0.1) {
				r.countFault("paused-before-the-send")
				pause = r.durationBetween(0, keyWindow)
			}
			targetUnreachable := r.chance(0.2)
			wg.Go(func() { sendKeyedCall(node, key, pause, targetUnreachable, history, m) })
		}
	}
	cancel()
	wg.Wait()
	for _, n := range nodes {
		if got := n.checks.TotalViolations(); got > 0 {
			r.addViolation("invariant violations counted by the load balancer: got %d, want 0", got)
		}
		n.cancel()
	}
	time.Sleep(30 * time.Second)
	history.check(r)
	for key, sentAt := range history.sends {
		for i := 1; i < len(sentAt); i++ {
			if sentAt[i].Sub(sentAt[i-1]) < keyWindow {
				r.addViolation("%s was sent twice, %s apart", key, sentAt[i].Sub(sentAt[i-1]))
			}
		}
	}
}

// sendKeyedCall processes a call with an idempotency key as the dispatcher does:
// claim the key, pause, use the claim, send.
func sendKeyedCall(node *claimNode, key string, pause time.Duration, targetUnreachable bool, history *keyHistory, m mutation) {
	c, refusal := node.claims.NewClaim("khata", key, keyWindow, []byte("same-body"))
	if refusal.Reason != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if m == "claim-by-own-knowledge" {
		if _, held := node.claims.State.GrantOf(claim.HashKey("khata", key)); !held {
			history.recordSend(key)
		}
		return
	}
	requestedAt := time.Now()
	switch failure := c.Acquire(ctx); failure.Reason {
	case "":
		history.recordOperation(key, requestedAt, claimStep{}, true)
	case outcome.KeyClaimed:
		history.recordOperation(key, requestedAt, claimStep{}, false)
		return
	default:
		history.mu.Lock()
		history.undecidedKeys[key] = true
		history.mu.Unlock()
		return
	}
	time.Sleep(pause)
	if targetUnreachable {
		// No target was reachable, so the call was not run and the key is released.
		history.recordOperation(key, time.Now(), claimStep{isRelease: true}, false)
		c.Release()
		return
	}
	if !c.Use() {
		return
	}
	history.recordSend(key)
	if m == "use-twice" {
		c.Use()
		history.recordSend(key)
	}
	if m == "release-after-send" {
		c.UndoUse()
		c.Release()
	}
}
