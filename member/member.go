package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Incarnation identifies one run of a node's process. It is drawn at random when
// the process starts.
type Incarnation uint64

// Status is the lifecycle state that a node reports about itself.
type Status uint8

// Joining, Ready, Leaving and Left are the statuses of a node, in their usual order.
// A node that is no longer ready returns to Joining.
const (
	Joining Status = iota
	Ready
	Leaving
	Left
)

var statusNames = []string{"joining", "ready", "leaving", "left"}

// String returns the name of the status, or "invalid".
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Entry is the state of one node as nodes exchange it.
type Entry struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Address     vm.Address  `cbor:"2,keyasint"`
	Zone        zone.Name   `cbor:"3,keyasint"`
	Heartbeat   uint64      `cbor:"4,keyasint"`
	Status      Status      `cbor:"5,keyasint"`
	// ConfigNext and ConfigDigest identify the configuration that the node holds: the
	// offset after the last record applied to it, and its digest.
	ConfigNext   stream.Offset `cbor:"6,keyasint"`
	ConfigDigest config.Digest `cbor:"7,keyasint"`
}

// Settings configures a Table; zero values mean the defaults.
type Settings struct {
	// FailureTimeout is the time without a new heartbeat after which a member is no
	// longer live. Default 10 s.
	FailureTimeout time.Duration
	// FailureTimeoutPerMember times the number of other live members is the failure
	// timeout if that is longer than FailureTimeout. A message carries the entries of a
	// few members only, so the updates of each become rarer as the fleet grows. Default
	// 1.2 s, which makes the timeout about eleven times the mean interval between two
	// updates of a member.
	FailureTimeoutPerMember time.Duration
	// ForgetTimeout is the time since its last heartbeat after which the entry of a
	// member that is not live is deleted. Until then, outdated entries from peers
	// cannot make it live again. Default 5 min.
	ForgetTimeout time.Duration
}

const (
	defaultFailureTimeout          = 10 * time.Second
	defaultFailureTimeoutPerMember = 1200 * time.Millisecond
	defaultForgetTimeout           = 5 * time.Minute
)

func (s Settings) withDefaults() Settings {
	if s.FailureTimeout == 0 {
		s.FailureTimeout = defaultFailureTimeout
	}
	if s.FailureTimeoutPerMember == 0 {
		s.FailureTimeoutPerMember = defaultFailureTimeoutPerMember
	}
	if s.ForgetTimeout == 0 {
		s.ForgetTimeout = defaultForgetTimeout
	}
	return s
}

// memberState is the table's record of one other node. The table's mu guards it.
type memberState struct {
	entry         Entry
	heartbeatAt   time.Time // when the heartbeat last advanced
	lastSentRound uint64    // the Table.sendRound in which the entry was last sent
	live          bool
}

// Table holds the members from the viewpoint of one node. Its methods are safe
// for concurrent use.
type Table struct {
	settings Settings

	mu          sync.Mutex
	self        Entry
	others      map[Incarnation]*memberState
	listedCount int    // entry nodes in the platform list
	sendRound   uint64 // number of calls of NextEntries
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Entry, settings Settings) *Table {
	return &Table{settings: settings.withDefaults(), self: self, others: map[Incarnation]*memberState{}}
}

// Self returns the node's own entry.
func (t *Table) Self() Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update applies change to the node's own entry and increments its heartbeat.
// change must not call methods of the table.
func (t *Table) Update(change func(e *Entry)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
	t.self.Heartbeat++
}

// Change reports that a member became live or stopped being live.
type Change struct {
	Entry Entry
	Live  bool
}

// Merge applies entries received from a peer at now and returns the members that
// became live or left. It does not return members that a new process on their
// address replaced.
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

// merge applies one entry. t.mu must be held.
func (t *Table) merge(now time.Time, e Entry) (c Change, changed bool) {
	m := t.others[e.Incarnation]
	if m == nil {
		m = &memberState{}
		t.others[e.Incarnation] = m
	} else if e.Heartbeat <= m.entry.Heartbeat {
		return Change{}, false
	}
	m.entry = e
	m.heartbeatAt = now
	t.markReplaced(e)
	wasLive := m.live
	m.live = e.Status != Left
	return Change{Entry: e, Live: m.live}, wasLive != m.live
}

// markReplaced marks members as not live that have the address of e and whose
// heartbeat last advanced before that of e: the process on that address was
// replaced. t.mu must be held.
func (t *Table) markReplaced(e Entry) {
	for i, m := range t.others {
		if i != e.Incarnation && m.entry.Address == e.Address && m.heartbeatAt.Before(t.others[e.Incarnation].heartbeatAt) {
			m.live = false
		}
	}
}

// ExpireMembers marks members whose failure timeout has passed as not live and returns
// them. It deletes members that are not live Settings.ForgetTimeout after their last
// heartbeat.
func (t *Table) ExpireMembers(now time.Time) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	failureTimeout := t.failureTimeout()
	for i, m := range t.others {
		sinceHeartbeat := now.Sub(m.heartbeatAt)
		if m.live && sinceHeartbeat >= failureTimeout {
			m.live = false
			changes = append(changes, Change{Entry: m.entry})
		}
		if !m.live && sinceHeartbeat >= t.settings.ForgetTimeout {
			delete(t.others, i)
		}
	}
	return changes
}

// failureTimeout returns the failure timeout for the current number of other live
// members. t.mu must be held.
func (t *Table) failureTimeout() time.Duration {
	liveCount := 0
	for _, m := range t.others {
		if m.live {
			liveCount++
		}
	}
	return max(t.settings.FailureTimeout, time.Duration(liveCount)*t.settings.FailureTimeoutPerMember)
}

// SetListedCount sets the number of entry nodes in the platform's list.
func (t *Table) SetListedCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedCount = n
}

// Live returns the live members, including the node itself, ordered by incarnation.
func (t *Table) Live() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked()
}

// liveLocked is Live for callers that hold t.mu.
func (t *Table) liveLocked() []Entry {
	live := []Entry{t.self}
	for _, m := range t.others {
		if m.live {
			live = append(live, m.entry)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// ViewHash is a hash of a set of live members: equal sets have equal hashes.
type ViewHash uint64

// ViewHash returns the hash of the members that are live for this node.
func (t *Table) ViewHash() ViewHash {
	var buf []byte
	for _, e := range t.Live() {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(e.Incarnation))
	}
	return ViewHash(xxhash.Sum64(buf))
}

// FleetSize returns an upper estimate of the number of entry nodes: the larger of the
// number of live members and that of nodes in the platform's list. A node's share of a
// limit for the whole fleet is the limit divided by it.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, m := range t.others {
		if m.live {
			n++
		}
	}
	return max(n, t.listedCount)
}

// NewestConfigMember returns the other live member with the newest configuration. ok
// is false if no member has a ConfigNext above next.
func (t *Table) NewestConfigMember(next stream.Offset) (e Entry, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.others {
		if m.live && m.entry.ConfigNext > max(next, e.ConfigNext) {
			e, ok = m.entry, true
		}
	}
	return e, ok
}

// NextEntries returns the entries for one message: the node's own entry first, then
// those of other members, least recently sent first. They are at most n in total, but
// always include the node's own. Members that left are included so that peers receive
// that status.
func (t *Table) NextEntries(n int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sendRound++
	candidates := make([]*memberState, 0, len(t.others))
	for _, m := range t.others {
		if m.live || m.entry.Status == Left {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(a.lastSentRound, b.lastSentRound), cmp.Compare(a.entry.Incarnation, b.entry.Incarnation))
	})
	entries := []Entry{t.self}
	for _, m := range candidates[:min(len(candidates), max(0, n-1))] {
		m.lastSentRound = t.sendRound
		entries = append(entries, m.entry)
	}
	return entries
}
