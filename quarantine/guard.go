package quarantine

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Node is what a Guard needs of its node.
type Node interface {
	// Self returns the ID of the node, and NodeIDs those of all nodes of the fleet.
	Self() vm.ID
	NodeIDs() []vm.ID
	// Process returns the process at which an attempt was open.
	Process(r target.Reservation) Process
	// HasEnded reports whether that process has ended other than by a planned stop. It may
	// wait for a connection.
	HasEnded(ctx context.Context, r target.Reservation) bool
}

// Peers sends evidence to the other nodes. Its methods must not block.
type Peers interface {
	Announce(cases []Case)
	// AnnounceAlive announces that a process has not ended.
	AnnounceAlive(p Process)
}

// Guard applies the evidence of the fleet to the calls of one node. Its methods are safe for
// concurrent use.
type Guard struct {
	Node   Node
	Peers  Peers
	Ledger Ledger
}

// IsEmpty reports whether no request is suspected.
func (g *Guard) IsEmpty() bool {
	return g.Ledger.IsEmpty()
}

// Admit decides on a copy of a request that has arrived. Unless it is refused, Leave must be
// called when the copy has ended.
func (g *Guard) Admit(d Digest) Admission {
	a := g.Ledger.Admit(d, time.Now(), func(trialCount int) time.Duration {
		return TrialTurn(g.Node.Self(), g.Node.NodeIDs(), d, trialCount)
	})
	if c, ok := g.Ledger.Case(d); ok && a.IsTrial {
		g.publish([]Case{c})
	}
	return a
}

// Leave ends a copy that Admit has admitted.
func (g *Guard) Leave(d Digest) {
	g.Ledger.Leave(d)
}

// Verdict returns the current verdict on a request.
func (g *Guard) Verdict(d Digest) Verdict {
	if g.Ledger.IsEmpty() {
		return Free
	}
	return g.Ledger.Verdict(d)
}

// RecordLoss records that the connection of an attempt broke after the request was written.
// It returns once it is known whether the process has ended.
func (g *Guard) RecordLoss(ctx context.Context, d Digest, r target.Reservation) {
	lostAt := time.Now()
	if !g.Node.HasEnded(ctx, r) {
		return
	}
	g.publish(g.Ledger.RecordEnd(d, End{Process: g.Node.Process(r), At: lostAt, Witness: g.Node.Self()}))
}

// RecordAlive records that a process responded to a request that was sent at the given time.
func (g *Guard) RecordAlive(p Process, sentAt time.Time) {
	if !g.Ledger.IsEmpty() && g.Ledger.RecordAlive(p, sentAt) {
		g.Peers.AnnounceAlive(p)
	}
}

// RecordUnfinished records that a call ended without a response after a loss.
func (g *Guard) RecordUnfinished(d Digest) {
	g.publish(g.Ledger.Share(d))
}

// RecordCompletion records that a copy of a request was completed.
func (g *Guard) RecordCompletion(d Digest) {
	if g.Ledger.IsEmpty() {
		return
	}
	g.publish(g.Ledger.RecordCompletion(d, time.Now()))
}

// Release clears a request for an operator, and reports whether it was suspected.
func (g *Guard) Release(d Digest) bool {
	news := g.Ledger.Release(d, time.Now())
	g.publish(news)
	return len(news) > 0
}

// publish announces cases in which this node has seen something new.
func (g *Guard) publish(news []Case) {
	if len(news) > 0 {
		g.Peers.Announce(news)
	}
}
