package suspects

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quarantine"
)

const (
	// maxPerState is the number of cases in a periodic message, those of the latest ends:
	// the others have reached every node, or do so when a link opens.
	maxPerState = 32
	// maxPerMessage is the number of cases in one message.
	maxPerMessage = 512
	// batchDelay is the time in which news are collected for one message. When a service
	// loses all its targets, every open call is news to every node.
	batchDelay = 20 * time.Millisecond
)

// Exchange sends and receives the evidence of one node; it implements quarantine.Peers.
type Exchange struct {
	Hub    *peer.Hub
	Guard  *quarantine.Guard
	Logger *zap.Logger

	mu sync.Mutex
	// batch holds the news to send at the end of batchDelay; empty if none is pending.
	batch map[quarantine.Digest]quarantine.Case
}

// Announce sends cases to all peers and logs them.
func (x *Exchange) Announce(cases []quarantine.Case) {
	x.log(cases, true)
	x.addNews(cases)
}

// addNews adds cases to the next message to all peers.
func (x *Exchange) addNews(cases []quarantine.Case) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.batch == nil {
		x.batch = map[quarantine.Digest]quarantine.Case{}
	}
	if len(x.batch) == 0 {
		time.AfterFunc(batchDelay, x.sendBatch)
	}
	for _, c := range cases {
		x.batch[c.Digest] = c
	}
}

// sendBatch sends the collected news to all peers.
func (x *Exchange) sendBatch() {
	x.mu.Lock()
	cases := slices.Collect(maps.Values(x.batch))
	clear(x.batch)
	x.mu.Unlock()
	for chunk := range slices.Chunk(cases, maxPerMessage) {
		x.Hub.Broadcast(peer.Message{Suspects: peer.NewSuspects(chunk, time.Now())}, nil)
	}
}

// AnnounceAlive sends to all peers that a process has not ended.
func (x *Exchange) AnnounceAlive(p quarantine.Process) {
	event.EndRefuted.Log(x.Logger, zap.String("target", string(p.Target)))
	x.Hub.Broadcast(peer.Message{Alive: []peer.SuspectEnd{{Target: p.Target, Instance: p.Instance}}}, nil)
}

// Receive adds the evidence in a peer's message, and passes on what is new.
func (x *Exchange) Receive(m peer.Message, from *peer.Link) {
	x.receiveCases(m, from)
	x.receiveAlive(m, from)
}

func (x *Exchange) receiveCases(m peer.Message, from *peer.Link) {
	if len(m.Suspects) == 0 {
		return
	}
	now := time.Now()
	news, outdated := x.Guard.Ledger.Merge(m.Cases(now), now)
	if len(outdated) > 0 {
		from.Send(peer.Message{Suspects: peer.NewSuspects(outdated, now)})
	}
	if len(news) > 0 {
		x.log(news, false)
		x.addNews(news)
	}
}

// receiveAlive drops the ends of processes that have responded to another node.
func (x *Exchange) receiveAlive(m peer.Message, from *peer.Link) {
	if len(m.Alive) == 0 {
		return
	}
	var processes []quarantine.Process
	for _, a := range m.Alive {
		processes = append(processes, quarantine.Process{Target: a.Target, Instance: a.Instance})
	}
	var news []peer.SuspectEnd
	for _, p := range x.Guard.Ledger.Refute(processes, time.Now()) {
		news = append(news, peer.SuspectEnd{Target: p.Target, Instance: p.Instance})
	}
	if len(news) > 0 {
		x.Hub.Broadcast(peer.Message{Alive: news}, from)
	}
}

// SendAll sends all cases over a new link.
func (x *Exchange) SendAll(l *peer.Link) {
	for chunk := range slices.Chunk(x.Guard.Ledger.SharedCases(), maxPerMessage) {
		l.Send(peer.Message{Suspects: peer.NewSuspects(chunk, time.Now())})
	}
}

// Recent returns the cases for a periodic message.
func (x *Exchange) Recent(now time.Time) []peer.Suspect {
	cases := x.Guard.Ledger.SharedCases()
	return peer.NewSuspects(cases[:min(len(cases), maxPerState)], now)
}

// log logs cases in which something is new; isOwn reports whether this node has seen it.
func (x *Exchange) log(cases []quarantine.Case, isOwn bool) {
	for _, c := range cases {
		ended := make([]string, len(c.Ends))
		for i, e := range c.Ends {
			ended[i] = fmt.Sprintf("%s by %s", e.Target, e.Witness)
		}
		caseEvent(c).Log(x.Logger, zap.Stringer("request", c.Digest), zap.Strings("ended", ended), zap.Int("trials", c.TrialCount), zap.Bool("own", isOwn))
	}
}

// caseEvent returns the log event for the state of a case.
func caseEvent(c quarantine.Case) event.Event {
	switch {
	case c.Verdict() == quarantine.Free:
		return event.RequestCleared
	case c.Verdict() != quarantine.Held:
		return event.RequestSuspected
	case c.IsOnTrial():
		return event.RequestTrial
	default:
		return event.RequestHeld
	}
}
