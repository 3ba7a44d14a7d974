package prove

import (
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/vm"
)

// membership checks the live members of each node against a naive table that keeps
// every entry it received. Nodes exchange entries over links that lose, reorder
// and repeat messages.
var membership = scenario{
	name:      "membership",
	run:       runMembership,
	mutations: []mutation{"old-entry-revives"},
}

// naiveTable keeps the highest heartbeat of each member and its time of receipt.
type naiveTable struct {
	heartbeats map[member.Incarnation]uint64
	updatedAt  map[member.Incarnation]time.Time
	hasLeft    map[member.Incarnation]bool
}

func (n *naiveTable) merge(now time.Time, entries []member.Entry) {
	for _, e := range entries {
		if e.Heartbeat > n.heartbeats[e.Incarnation] {
			n.heartbeats[e.Incarnation], n.updatedAt[e.Incarnation] = e.Heartbeat, now
			n.hasLeft[e.Incarnation] = e.Status == member.Left
		}
	}
}

// failureTimeout is the time without a new heartbeat after which a member is
// removed from the live members.
const failureTimeout = 10 * time.Second

func (n *naiveTable) live(now time.Time, self member.Incarnation) map[member.Incarnation]bool {
	out := map[member.Incarnation]bool{self: true}
	for i, at := range n.updatedAt {
		if now.Sub(at) < failureTimeout && !n.hasLeft[i] {
			out[i] = true
		}
	}
	delete(out, 0)
	return out
}

func runMembership(r *run, m mutation) {
	const nodes = 6
	tables := make([]*member.Table, nodes)
	models := make([]*naiveTable, nodes)
	for i := range tables {
		self := member.Entry{Incarnation: member.Incarnation(i + 1), Address: vm.Address(rune('a' + i)), Heartbeat: 1}
		tables[i] = member.NewTable(self, member.Settings{FailureTimeout: failureTimeout, ForgetTimeout: 24 * time.Hour})
		models[i] = &naiveTable{heartbeats: map[member.Incarnation]uint64{}, updatedAt: map[member.Incarnation]time.Time{}, hasLeft: map[member.Incarnation]bool{}}
	}
	isSilent := map[int]bool{}
	var sentEntries []member.Entry
	for range 600 {
		time.Sleep(r.durationBetween(0, 800*time.Millisecond))
		i, j := r.rng.IntN(nodes), r.rng.IntN(nodes)
		switch {
		case r.chance(0.02):
			r.countFault("node-silent")
			isSilent[i] = !isSilent[i]
			continue
		case i == j || isSilent[i] || isSilent[j]:
			continue
		}
		tables[i].Update(func(e *member.Entry) {})
		entries := tables[i].NextEntries(1 + r.rng.IntN(nodes))
		if len(sentEntries) > 0 && r.chance(0.2) {
			r.countFault("old-message-repeated")
			entries = append(entries, sentEntries[r.rng.IntN(len(sentEntries))])
		}
		sentEntries = append(sentEntries, entries...)
		if r.chance(0.1) {
			r.countFault("message-lost")
			continue
		}
		now := time.Now()
		self := member.Incarnation(j + 1)
		tables[j].ExpireMembers(now)
		if m == "old-entry-revives" {
			// A node that ignores heartbeat numbers: each entry counts as new.
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
		models[j].merge(now, excludeMember(entries, self))
		compareTables(r, tables[j], models[j], now, self)
	}
}

func excludeMember(entries []member.Entry, self member.Incarnation) (out []member.Entry) {
	for _, e := range entries {
		if e.Incarnation != self {
			out = append(out, e)
		}
	}
	return out
}

func compareTables(r *run, table *member.Table, model *naiveTable, now time.Time, self member.Incarnation) {
	table.ExpireMembers(now)
	want := model.live(now, self)
	got := map[member.Incarnation]bool{}
	for _, e := range table.Live() {
		got[e.Incarnation] = true
	}
	for i := range want {
		if !got[i] {
			r.addViolation("live members of node %d lack %d, which sent a recent heartbeat", self, i)
		}
	}
	for i := range got {
		if !want[i] {
			r.addViolation("live members of node %d contain %d, which has left or timed out", self, i)
		}
	}
}
