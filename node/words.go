package node

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// wordLifetime is how long a word is told again in turn.
	wordLifetime = 10 * time.Second
	// maxToldWords bounds the words of one message.
	maxToldWords = 16
)

// words gathers what this node has to tell peers of targets.
type words struct {
	wake chan struct{}

	mu     sync.Mutex
	refs   map[vm.ID]target.Ref
	recent map[vm.ID]told
}

type told struct {
	word peer.Word
	at   time.Time
}

func newWords() *words {
	return &words{wake: make(chan struct{}, 1), refs: map[vm.ID]target.Ref{}, recent: map[vm.ID]told{}}
}

// changed notes that a target's state changed; it may be called with a table's
// lock held.
func (w *words) changed(ref target.Ref) {
	w.mu.Lock()
	w.refs[ref.ID] = ref
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take returns the targets that changed since the last call.
func (w *words) take() []target.Ref {
	w.mu.Lock()
	defer w.mu.Unlock()
	refs := make([]target.Ref, 0, len(w.refs))
	for _, r := range w.refs {
		refs = append(refs, r)
	}
	clear(w.refs)
	return refs
}

// remember keeps a word to be told again; it reports false if it is not new.
func (w *words) remember(word peer.Word, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.recent[word.ID]
	at := now.Add(-time.Duration(word.Age) * time.Millisecond)
	if known && old.word.Instance == word.Instance && old.word.State == word.State {
		return false
	}
	if known && at.Before(old.at) {
		return false
	}
	w.recent[word.ID] = told{word: word, at: at}
	return true
}

// tell returns the recent words with their ages.
func (w *words) tell(now time.Time) (out []peer.Word) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.recent {
		age := now.Sub(t.at)
		if age > wordLifetime {
			delete(w.recent, id)
			continue
		}
		if len(out) < maxToldWords {
			t.word.Age = peer.AgeOf(age)
			out = append(out, t.word)
		}
	}
	return out
}

// spreadWords tells peers at once of targets that changed.
func (n *Node) spreadWords() {
	now := time.Now()
	var fresh []peer.Word
	for _, ref := range n.words.take() {
		word, ok := n.wordOf(ref, now)
		if ok && n.words.remember(word, now) {
			fresh = append(fresh, word)
		}
	}
	if len(fresh) > 0 {
		n.hub.Broadcast(peer.Message{Words: fresh}, nil)
	}
}

// wordOf says what this node saw of a target, if it has heard from it lately.
func (n *Node) wordOf(ref target.Ref, now time.Time) (w peer.Word, ok bool) {
	svc := n.fleet.tables()[ref.Service]
	if svc == nil {
		return peer.Word{}, false
	}
	for _, v := range svc.Table.Views(now) {
		if v.Ref.ID != ref.ID || v.Instance == "" || v.State == target.Unverified {
			continue
		}
		return peer.Word{Service: ref.Service, ID: ref.ID, Instance: v.Instance, State: v.State, Age: peer.AgeOf(now.Sub(v.Heard))}, true
	}
	return peer.Word{}, false
}

// hearWords takes peers' words of targets and passes on the new ones.
func (n *Node) hearWords(list []peer.Word, from *peer.Link) {
	now := time.Now()
	var fresh []peer.Word
	for _, w := range list {
		if !n.words.remember(w, now) {
			continue
		}
		fresh = append(fresh, w)
		if svc := n.fleet.tables()[w.Service]; svc != nil {
			svc.Table.Hear(now, target.Word{ID: w.ID, Instance: w.Instance, State: w.State}, time.Duration(w.Age)*time.Millisecond)
		}
	}
	if len(fresh) > 0 {
		n.hub.Broadcast(peer.Message{Words: fresh}, from)
	}
}
