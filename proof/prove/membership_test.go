package prove

import (
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/vm"
)

// membership lets nodes tell each other of members over links that lose,
// reorder and repeat messages, and holds each table against a naive one that
// keeps every entry it ever heard.
var membership = scenario{
	name:      "membership",
	play:      playMembership,
	mutations: []mutation{"old-entry-revives"},
}

// naive is a table that keeps the newest beat and when it came.
type naive struct {
	beat map[member.Incarnation]uint64
	at   map[member.Incarnation]time.Time
	left map[member.Incarnation]bool
}

func (n *naive) merge(now time.Time, entries []member.Entry) {
	for _, e := range entries {
		if e.Heartbeat > n.beat[e.Incarnation] {
			n.beat[e.Incarnation], n.at[e.Incarnation] = e.Heartbeat, now
			n.left[e.Incarnation] = e.Status == member.Left
		}
	}
}

// goneAfter is the silence after which a member counts as gone.
const goneAfter = 10 * time.Second

func (n *naive) live(now time.Time, self member.Incarnation) map[member.Incarnation]bool {
	out := map[member.Incarnation]bool{self: true}
	for i, at := range n.at {
		if now.Sub(at) < goneAfter && !n.left[i] {
			out[i] = true
		}
	}
	delete(out, 0)
	return out
}

func playMembership(r *run, m mutation) {
	const nodes = 6
	tables := make([]*member.Table, nodes)
	models := make([]*naive, nodes)
	for i := range tables {
		self := member.Entry{Incarnation: member.Incarnation(i + 1), Address: vm.Address(rune('a' + i)), Heartbeat: 1}
		tables[i] = member.NewTable(self, member.Settings{FailureTimeout: goneAfter, ForgetTimeout: 24 * time.Hour})
		models[i] = &naive{beat: map[member.Incarnation]uint64{}, at: map[member.Incarnation]time.Time{}, left: map[member.Incarnation]bool{}}
	}
	down := map[int]bool{}
	var old []member.Entry
	for range 600 {
		time.Sleep(r.between(0, 800*time.Millisecond))
		i, j := r.rng.IntN(nodes), r.rng.IntN(nodes)
		switch {
		case r.chance(0.02):
			r.fault("node-silent")
			down[i] = !down[i]
			continue
		case i == j || down[i] || down[j]:
			continue
		}
		tables[i].Update(func(e *member.Entry) {})
		entries := tables[i].NextEntries(1 + r.rng.IntN(nodes))
		if len(old) > 0 && r.chance(0.2) {
			r.fault("old-message-repeated")
			entries = append(entries, old[r.rng.IntN(len(old))])
		}
		old = append(old, entries...)
		if r.chance(0.1) {
			r.fault("message-lost")
			continue
		}
		now := time.Now()
		self := member.Incarnation(j + 1)
		tables[j].ExpireMembers(now)
		if m == "old-entry-revives" {
			// A node that forgets versions: each entry counts as new.
			for k := range entries {
				entries[k].Heartbeat += uint64(now.UnixNano())
			}
			tables[j].Merge(now, entries)
			for k := range entries {
				entries[k].Heartbeat -= uint64(now.UnixNano())
			}
		} else {
			tables[j].Merge(now, entries)
		}
		models[j].merge(now, without(entries, self))
		compare(r, tables[j], models[j], now, self)
	}
}

func without(entries []member.Entry, self member.Incarnation) (out []member.Entry) {
	for _, e := range entries {
		if e.Incarnation != self {
			out = append(out, e)
		}
	}
	return out
}

func compare(r *run, table *member.Table, model *naive, now time.Time, self member.Incarnation) {
	table.ExpireMembers(now)
	want := model.live(now, self)
	got := map[member.Incarnation]bool{}
	for _, e := range table.Live() {
		got[e.Incarnation] = true
	}
	for i := range want {
		if !got[i] {
			r.breach("node %d takes %d for gone, which it heard lately", self, i)
		}
	}
	for i := range got {
		if !want[i] {
			r.breach("node %d takes %d for live, which has been silent", self, i)
		}
	}
}
