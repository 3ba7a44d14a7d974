package logbook

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/event"
)

// Belief is the state of one node at some time, as reconstructed from its log.
type Belief struct {
	// Plan is the version of the active plan, or zero if none was logged.
	Plan int64 `json:"plan"`
	// ZonesOut holds the availability zones out of service, sorted by name.
	ZonesOut []string `json:"zones-out"`
	// Targets holds the last line about each target that does not belong to a
	// request.
	Targets map[string]Line `json:"-"`
	// Store is the last line about the availability of the store.
	Store Line `json:"-"`
	// Ready states whether the node reported itself ready.
	Ready bool `json:"ready"`
}

// Beliefs reconstructs the states of nodes from their log lines. Its zero value is
// ready to use.
type Beliefs struct {
	nodes map[Node]*Belief
}

// Take applies one line to the state of its node. The event node-starting resets
// the state.
func (b *Beliefs) Take(l Line) {
	if b.nodes == nil {
		b.nodes = map[Node]*Belief{}
	}
	n := b.nodes[l.Node]
	if n == nil || l.Event == event.NodeStarting.Number {
		n = &Belief{Targets: map[string]Line{}}
		b.nodes[l.Node] = n
	}
	n.apply(l)
}

func (n *Belief) apply(l Line) {
	switch l.Event {
	case event.PlanInForce.Number:
		n.Plan = l.Version
	case event.ZoneOutOfService.Number:
		n.ZonesOut = slices.DeleteFunc(n.ZonesOut, func(z string) bool { return z == l.Zone })
		if l.Out {
			n.ZonesOut = append(n.ZonesOut, l.Zone)
			slices.Sort(n.ZonesOut)
		}
	case event.StoreAway.Number, event.StoreBack.Number:
		n.Store = l
	case event.NodeReady.Number:
		n.Ready = true
	case event.NodeUnready.Number, event.NodeLeaving.Number:
		n.Ready = false
	}
	if l.Target != "" && l.ID == "" {
		n.Targets[l.Target] = l
	}
}

// Of returns a copy of the current state of a node, or false if no line of the node
// was read.
func (b *Beliefs) Of(node Node) (state Belief, ok bool) {
	n := b.nodes[node]
	if n == nil {
		return Belief{}, false
	}
	state = *n
	state.ZonesOut = slices.Clone(n.ZonesOut)
	state.Targets = maps.Clone(n.Targets)
	return state, true
}

// Nodes returns the nodes of the lines read, sorted by name.
func (b *Beliefs) Nodes() []Node {
	return slices.Sorted(maps.Keys(b.nodes))
}

// Difference is a part of the state on which the nodes disagree.
type Difference struct {
	// What is "plan", "zones-out" or "target ID", with the ID of the target. Held
	// maps each node to its value, or to "unheard" if its log has none.
	What string          `json:"what"`
	Held map[Node]string `json:"held"`
}

// Differences returns the parts of the state whose values are not equal at all
// nodes, sorted by What.
func (b *Beliefs) Differences() (out []Difference) {
	values := map[string]map[Node]string{}
	for node, n := range b.nodes {
		setValue(values, "plan", node, formatVersion(n.Plan))
		setValue(values, "zones-out", node, strings.Join(n.ZonesOut, ","))
		for id, l := range n.Targets {
			if l.Event == event.TargetListed.Number {
				setValue(values, "target "+id, node, l.State)
			}
		}
	}
	for _, what := range slices.Sorted(maps.Keys(values)) {
		held := values[what]
		for _, node := range b.Nodes() {
			if _, ok := held[node]; !ok {
				held[node] = "unheard"
			}
		}
		if !allEqual(held) {
			out = append(out, Difference{What: what, Held: held})
		}
	}
	return out
}

func setValue(values map[string]map[Node]string, what string, node Node, value string) {
	if values[what] == nil {
		values[what] = map[Node]string{}
	}
	values[what][node] = value
}

func allEqual(held map[Node]string) bool {
	first, hasFirst := "", false
	for _, v := range held {
		if hasFirst && v != first {
			return false
		}
		first, hasFirst = v, true
	}
	return true
}

// Until reconstructs the states of nodes at the time At. A zero At selects the end
// of the log.
type Until struct {
	Beliefs
	At time.Time
}

// Take applies a line unless it is later than At.
func (u *Until) Take(l Line) {
	if u.At.IsZero() || !l.At.After(u.At) {
		u.Beliefs.Take(l)
	}
}
