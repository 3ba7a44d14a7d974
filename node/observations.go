package node

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// observationLifetime is how long an observation is sent again in turn.
	observationLifetime = 10 * time.Second
	// maxSentObservations bounds the observations of one message.
	maxSentObservations = 16
)

// observations gathers what this node has to tell peers of targets.
type observations struct {
	wake chan struct{}

	mu     sync.Mutex
	refs   map[vm.ID]target.Ref
	recent map[vm.ID]observed
}

// observed is an observation and when it was made.
type observed struct {
	observation peer.Observation
	at          time.Time
}

func newObservations() *observations {
	return &observations{wake: make(chan struct{}, 1), refs: map[vm.ID]target.Ref{}, recent: map[vm.ID]observed{}}
}

// changed notes that a target's state changed; it may be called with a table's
// lock held.
func (w *observations) changed(ref target.Ref) {
	w.mu.Lock()
	w.refs[ref.ID] = ref
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take returns the targets that changed since the last call.
func (w *observations) take() []target.Ref {
	w.mu.Lock()
	defer w.mu.Unlock()
	refs := make([]target.Ref, 0, len(w.refs))
	for _, r := range w.refs {
		refs = append(refs, r)
	}
	clear(w.refs)
	return refs
}

// remember keeps an observation to be sent again; it reports false if it is not new.
func (w *observations) remember(o peer.Observation, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.recent[o.ID]
	at := now.Add(-time.Duration(o.AgeMillis) * time.Millisecond)
	if known && old.observation.Instance == o.Instance && old.observation.State == o.State {
		return false
	}
	if known && at.Before(old.at) {
		return false
	}
	w.recent[o.ID] = observed{observation: o, at: at}
	return true
}

// tell returns the recent observations with their ages.
func (w *observations) tell(now time.Time) (out []peer.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.recent {
		age := now.Sub(t.at)
		if age > observationLifetime {
			delete(w.recent, id)
			continue
		}
		if len(out) < maxSentObservations {
			t.observation.AgeMillis = peer.Milliseconds(age)
			out = append(out, t.observation)
		}
	}
	return out
}

// spreadObservations tells peers at once of targets that changed.
func (n *Node) spreadObservations() {
	now := time.Now()
	var fresh []peer.Observation
	for _, ref := range n.observations.take() {
		o, ok := n.observationOf(ref, now)
		if ok && n.observations.remember(o, now) {
			fresh = append(fresh, o)
		}
	}
	if len(fresh) > 0 {
		n.hub.Broadcast(peer.Message{Observations: fresh}, nil)
	}
}

// observationOf says what this node saw of a target, if it has heard from it lately.
func (n *Node) observationOf(ref target.Ref, now time.Time) (w peer.Observation, ok bool) {
	svc := n.fleet.tables()[ref.Service]
	if svc == nil {
		return peer.Observation{}, false
	}
	for _, v := range svc.Table.Views(now) {
		if v.Ref.ID != ref.ID || v.Instance == "" || v.State == target.Unverified {
			continue
		}
		return peer.Observation{Service: ref.Service, ID: ref.ID, Instance: v.Instance, State: v.State, AgeMillis: peer.Milliseconds(now.Sub(v.LastResponseAt))}, true
	}
	return peer.Observation{}, false
}

// hearObservations takes peers' observations of targets and passes on the new ones.
func (n *Node) hearObservations(list []peer.Observation, from *peer.Link) {
	now := time.Now()
	var fresh []peer.Observation
	for _, w := range list {
		if !n.observations.remember(w, now) {
			continue
		}
		fresh = append(fresh, w)
		if svc := n.fleet.tables()[w.Service]; svc != nil {
			svc.Table.RecordObservation(now, target.Observation{ID: w.ID, Instance: w.Instance, State: w.State}, time.Duration(w.AgeMillis)*time.Millisecond)
		}
	}
	if len(fresh) > 0 {
		n.hub.Broadcast(peer.Message{Observations: fresh}, from)
	}
}
