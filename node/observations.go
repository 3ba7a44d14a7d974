package node

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// maxObservationAge is the age up to which an observation is included in the
	// periodic state messages.
	maxObservationAge = 10 * time.Second
	// maxObservationsPerMessage is the most observations in one state message.
	maxObservationsPerMessage = 16
)

// observationStore collects the targets whose state changed and the recent
// observations to send to peers. An observation is the state in which this node or a
// peer last saw an instance of a target.
type observationStore struct {
	changeSignal chan struct{}

	mu          sync.Mutex
	changedRefs map[vm.ID]target.Ref
	recent      map[vm.ID]timedObservation
}

// timedObservation is an observation with the time at which it was made.
type timedObservation struct {
	observation peer.Observation
	observedAt  time.Time
}

func newObservationStore() *observationStore {
	return &observationStore{changeSignal: make(chan struct{}, 1), changedRefs: map[vm.ID]target.Ref{}, recent: map[vm.ID]timedObservation{}}
}

// markChanged queues a target whose state changed. It does not block and may be
// called with a target.Table's lock held.
func (s *observationStore) markChanged(ref target.Ref) {
	s.mu.Lock()
	s.changedRefs[ref.ID] = ref
	s.mu.Unlock()
	select {
	case s.changeSignal <- struct{}{}:
	default:
	}
}

// takeChanged returns the targets that changed since the last call.
func (s *observationStore) takeChanged() []target.Ref {
	s.mu.Lock()
	defer s.mu.Unlock()
	refs := make([]target.Ref, 0, len(s.changedRefs))
	for _, r := range s.changedRefs {
		refs = append(refs, r)
	}
	clear(s.changedRefs)
	return refs
}

// record stores an observation for the periodic messages. It returns false if the
// observation repeats the stored one or is older.
func (s *observationStore) record(o peer.Observation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.recent[o.ID]
	observedAt := now.Add(-time.Duration(o.AgeMillis) * time.Millisecond)
	if ok && stored.observation.Instance == o.Instance && stored.observation.State == o.State {
		return false
	}
	if ok && observedAt.Before(stored.observedAt) {
		return false
	}
	s.recent[o.ID] = timedObservation{observation: o, observedAt: observedAt}
	return true
}

// recentObservations returns up to maxObservationsPerMessage observations with
// their ages, and deletes those older than maxObservationAge.
func (s *observationStore) recentObservations(now time.Time) (out []peer.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stored := range s.recent {
		age := now.Sub(stored.observedAt)
		if age > maxObservationAge {
			delete(s.recent, id)
			continue
		}
		if len(out) < maxObservationsPerMessage {
			stored.observation.AgeMillis = peer.Milliseconds(age)
			out = append(out, stored.observation)
		}
	}
	return out
}

// broadcastObservations sends the observations of changed targets to all peers
// without waiting for the periodic state messages.
func (n *Node) broadcastObservations() {
	now := time.Now()
	var newObservations []peer.Observation
	for _, ref := range n.observations.takeChanged() {
		o, ok := n.observationOf(ref, now)
		if ok && n.observations.record(o, now) {
			newObservations = append(newObservations, o)
		}
	}
	if len(newObservations) > 0 {
		n.hub.Broadcast(peer.Message{Observations: newObservations}, nil)
	}
}

// observationOf returns this node's observation of a target; ok is false if the
// target is not in its table or has not been verified.
func (n *Node) observationOf(ref target.Ref, now time.Time) (o peer.Observation, ok bool) {
	svc := n.services.byName()[ref.Service]
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

// receiveObservations applies observations from a peer to the target tables and
// forwards the new ones to the other peers.
func (n *Node) receiveObservations(received []peer.Observation, from *peer.Link) {
	now := time.Now()
	var newObservations []peer.Observation
	for _, o := range received {
		if !n.observations.record(o, now) {
			continue
		}
		newObservations = append(newObservations, o)
		if svc := n.services.byName()[o.Service]; svc != nil {
			svc.Table.RecordObservation(now, target.Observation{ID: o.ID, Instance: o.Instance, State: o.State}, time.Duration(o.AgeMillis)*time.Millisecond)
		}
	}
	if len(newObservations) > 0 {
		n.hub.Broadcast(peer.Message{Observations: newObservations}, from)
	}
}
