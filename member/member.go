package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"github.com/cespare/xxhash/v2"
)

// Incarnation is one life of a node's process, drawn at random at its start.
type Incarnation uint64

// Status is what a node says of itself.
type Status uint8

// The statuses of a node.
const (
	Joining Status = iota
	Ready
	Leaving
	Left
)

var statusNames = []string{"joining", "ready", "leaving", "left"}

// String returns the status's name.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Entry is what nodes tell each other of one node.
type Entry struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Address     vm.Address  `cbor:"2,keyasint"`
	Zone        zone.Name   `cbor:"3,keyasint"`
	Heartbeat   uint64      `cbor:"4,keyasint"`
	Status      Status      `cbor:"5,keyasint"`
	// ConfigNext and ConfigDigest say which configuration the node holds.
	ConfigNext   stream.Offset `cbor:"6,keyasint"`
	ConfigDigest config.Digest `cbor:"7,keyasint"`
}

// Settings of a Table; zero values mean the defaults.
type Settings struct {
	// GoneAfter is the silence after which a node counts as gone. Default 10 s.
	FailureTimeout time.Duration
	// GonePerMember lengthens that with the fleet: a message tells of a few
	// members only, so in a large one each is told of less often. Default 1.2 s,
	// some eleven times the mean between two words on a member.
	FailureTimeoutPerMember time.Duration
	// ForgetAfter is how long a gone node is remembered, so that old words of
	// others do not revive it. Default 5 min.
	ForgetTimeout time.Duration
}

const (
	defaultGoneAfter     = 10 * time.Second
	defaultGonePerMember = 1200 * time.Millisecond
	defaultForgetAfter   = 5 * time.Minute
)

func (s Settings) withDefaults() Settings {
	if s.FailureTimeout == 0 {
		s.FailureTimeout = defaultGoneAfter
	}
	if s.FailureTimeoutPerMember == 0 {
		s.FailureTimeoutPerMember = defaultGonePerMember
	}
	if s.ForgetTimeout == 0 {
		s.ForgetTimeout = defaultForgetAfter
	}
	return s
}

type known struct {
	entry    Entry
	advanced time.Time
	sent     uint64
	live     bool
}

// Table holds the members as one node sees them. All methods may be called
// from any goroutine.
type Table struct {
	settings Settings

	mu     sync.Mutex
	self   Entry
	others map[Incarnation]*known
	listed int
	turn   uint64
}

// NewTable returns a table that knows only the node itself.
func NewTable(self Entry, settings Settings) *Table {
	return &Table{settings: settings.withDefaults(), self: self, others: map[Incarnation]*known{}}
}

// Self returns the node's own entry.
func (t *Table) Self() Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the node's own entry and counts its beat up.
func (t *Table) Update(change func(e *Entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
	t.self.Heartbeat++
}

// Change is a member that came to life or went.
type Change struct {
	Entry Entry
	Live  bool
}

// Merge takes entries from a peer and returns who came to life or left.
func (t *Table) Merge(now time.Time, entries []Entry) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if e.Incarnation == t.self.Incarnation || e.Incarnation == 0 {
			continue
		}
		if c, changed := t.merge(now, e); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// merge takes one entry. The lock must be held.
func (t *Table) merge(now time.Time, e Entry) (c Change, changed bool) {
	k := t.others[e.Incarnation]
	if k == nil {
		k = &known{}
		t.others[e.Incarnation] = k
	} else if e.Heartbeat <= k.entry.Heartbeat {
		return Change{}, false
	}
	k.entry = e
	k.advanced = now
	t.retireAddress(e)
	was := k.live
	k.live = e.Status != Left
	return Change{Entry: e, Live: k.live}, was != k.live
}

// retireAddress ends older members on the address of a newly heard one. The
// lock must be held.
func (t *Table) retireAddress(e Entry) {
	for i, k := range t.others {
		if i != e.Incarnation && k.entry.Address == e.Address && k.advanced.Before(t.others[e.Incarnation].advanced) {
			k.live = false
		}
	}
}

// Tick returns who has been silent for too long and forgets the long gone.
func (t *Table) ExpireMembers(now time.Time) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	goneAfter := t.goneAfter()
	for i, k := range t.others {
		silent := now.Sub(k.advanced)
		if k.live && silent >= goneAfter {
			k.live = false
			changes = append(changes, Change{Entry: k.entry})
		}
		if !k.live && silent >= t.settings.ForgetTimeout {
			delete(t.others, i)
		}
	}
	return changes
}

// goneAfter is the silence after which a node counts as gone in a fleet of this
// size. The lock must be held.
func (t *Table) goneAfter() time.Duration {
	live := 0
	for _, k := range t.others {
		if k.live {
			live++
		}
	}
	return max(t.settings.FailureTimeout, time.Duration(live)*t.settings.FailureTimeoutPerMember)
}

// SetListed takes how many entry nodes the platform lists.
func (t *Table) SetListedCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = n
}

// Live returns the live members, the node itself included, by incarnation.
func (t *Table) Live() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked()
}

func (t *Table) liveLocked() []Entry {
	live := []Entry{t.self}
	for _, k := range t.others {
		if k.live {
			live = append(live, k.entry)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// View stands for a set of live members: equal sets give equal views.
type ViewHash uint64

// View is what this node sees of the membership.
func (t *Table) ViewHash() ViewHash {
	var buf []byte
	for _, e := range t.Live() {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(e.Incarnation))
	}
	return ViewHash(xxhash.Sum64(buf))
}

// Fleet is how many nodes there may be: the larger of those heard and those
// listed. Shares of what all nodes have together are taken by it.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, k := range t.others {
		if k.live {
			n++
		}
	}
	return max(n, t.listed)
}

// Ahead returns a live member that holds a newer configuration, if any.
func (t *Table) NewestConfigMember(next stream.Offset) (e Entry, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.others {
		if k.live && k.entry.ConfigNext > max(next, e.ConfigNext) {
			e, ok = k.entry, true
		}
	}
	return e, ok
}

// Tell returns the entries of one message: the node's own and those that were
// told least lately, at most n in all.
func (t *Table) NextEntries(n int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	rest := make([]*known, 0, len(t.others))
	for _, k := range t.others {
		if k.live || k.entry.Status == Left {
			rest = append(rest, k)
		}
	}
	slices.SortFunc(rest, func(a, b *known) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.entry.Incarnation, b.entry.Incarnation))
	})
	out := []Entry{t.self}
	for _, k := range rest[:min(len(rest), max(0, n-1))] {
		k.sent = t.turn
		out = append(out, k.entry)
	}
	return out
}

// Owner returns which of the members a thing falls to, by highest random
// weight: when members come and go, only their own share moves. There must be
// at least one member.
func Owner(members []Entry, thing uint64) Incarnation {
	var best Incarnation
	var bestWeight uint64
	for _, m := range members {
		if w := weight(uint64(m.Incarnation), thing); w >= bestWeight {
			best, bestWeight = m.Incarnation, w
		}
	}
	return best
}

func weight(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
