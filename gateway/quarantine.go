package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// quarantineFleet connects a node's quarantine to its links, targets and log; it implements
// quarantine.Fleet.
type quarantineFleet struct{ node *Node }

// Self returns the node's ID.
func (f quarantineFleet) Self() vm.ID { return f.node.self.ID }

// NodeIDs returns the IDs of the known nodes of the fleet.
func (f quarantineFleet) NodeIDs() (ids []vm.ID) {
	for _, n := range f.node.state.fleetNodes(time.Now()) {
		ids = append(ids, n.ID)
	}
	return ids
}

// Process returns the process of an attempt. A VM may start again under its ID, with another
// incarnation.
func (f quarantineFleet) Process(r target.Reservation) quarantine.Process {
	return processOf(r.Ref.ID, r.Incarnation())
}

func processOf(id vm.ID, incarnation int64) quarantine.Process {
	return quarantine.Process{Target: id, Instance: target.Instance(strconv.FormatInt(incarnation, 10))}
}

// HasEnded reports whether the process of an attempt has ended.
func (f quarantineFleet) HasEnded(ctx context.Context, r target.Reservation) bool {
	return f.node.upstreams.hasEnded(ctx, r.Ref)
}

// Announce sends cases to all peers.
func (f quarantineFleet) Announce(cases []quarantine.Case) {
	f.node.hub.Broadcast(peer.Message{Suspects: peer.NewSuspects(cases, time.Now())}, nil)
}

// AnnounceAlive sends to all peers that a process has not ended.
func (f quarantineFleet) AnnounceAlive(p quarantine.Process) {
	event.EndRefuted.Log(f.node.logger, zap.String("target", string(p.Target)))
	f.node.hub.Broadcast(peer.Message{Alive: []peer.SuspectEnd{{Target: p.Target, Instance: p.Instance}}}, nil)
}

// CaseChanged logs a case in which something is new.
func (f quarantineFleet) CaseChanged(c quarantine.Case, isOwn bool) {
	var ended []string
	for _, e := range c.Ends {
		ended = append(ended, fmt.Sprintf("%s by %s", e.Target, e.Witness))
	}
	fields := []zap.Field{zap.Stringer("request", c.Digest), zap.Strings("ended", ended), zap.Int("trials", c.TrialCount), zap.Bool("own", isOwn)}
	caseEvent(c).Log(f.node.logger, fields...)
}

// caseEvent returns the log event for the state of a case.
func caseEvent(c quarantine.Case) event.Event {
	switch {
	case c.Verdict() == quarantine.Free:
		return event.RequestCleared
	case c.Verdict() != quarantine.Held:
		return event.RequestSuspected
	case c.TrialCount > 0 && len(c.Ends) == int(quarantine.Held)+c.TrialCount-1:
		return event.RequestTrial
	default:
		return event.RequestHeld
	}
}

// receiveSuspects adds what a peer knows of suspected requests, and forwards what is new.
func (n *Node) receiveSuspects(m peer.Message, from *peer.Link) {
	now := time.Now()
	if news := n.quarantine.Receive(m.Cases(now)); len(news) > 0 {
		n.hub.Broadcast(peer.Message{Suspects: peer.NewSuspects(news, now)}, from)
	}
}

// receiveAlive drops the ends of processes that have responded to a peer, and forwards what is
// new.
func (n *Node) receiveAlive(alive []peer.SuspectEnd, from *peer.Link) {
	var processes []quarantine.Process
	for _, a := range alive {
		processes = append(processes, quarantine.Process{Target: a.Target, Instance: a.Instance})
	}
	var forwarded []peer.SuspectEnd
	for _, p := range n.quarantine.Ledger.Refute(processes, time.Now()) {
		forwarded = append(forwarded, peer.SuspectEnd{Target: p.Target, Instance: p.Instance})
	}
	if len(forwarded) > 0 {
		n.hub.Broadcast(peer.Message{Alive: forwarded}, from)
	}
}

// maxSuspectsPerState is the number of cases in one message of State, those of the latest
// ends: the others have long reached every node, or do so when a link opens.
const maxSuspectsPerState = 32

// maxSuspectsPerMessage is the number of cases in one message to a new link.
const maxSuspectsPerMessage = 512

// sendSuspects sends all cases to a new link.
func (n *Node) sendSuspects(l *peer.Link) {
	cases := n.quarantine.Ledger.Cases()
	for chunk := range slices.Chunk(cases, maxSuspectsPerMessage) {
		l.Send(peer.Message{Suspects: peer.NewSuspects(chunk, time.Now())})
	}
}

// recentSuspects returns the cases for a message of State.
func (n *Node) recentSuspects(now time.Time) []peer.Suspect {
	cases := n.quarantine.Ledger.Cases()
	return peer.NewSuspects(cases[:min(len(cases), maxSuspectsPerState)], now)
}
