package logbook

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/event"
)

// Belief is what one node held at an instant, by its log.
type Belief struct {
	// Plan is the version of the plan in force; zero if none was logged.
	Plan int64 `json:"plan"`
	// ZonesOut are the availability zones out of service, in order.
	ZonesOut []string `json:"zones-out"`
	// Targets holds the last line that changed what is believed of each target.
	Targets map[string]Line `json:"-"`
	// Store is the last line on the store.
	Store Line `json:"-"`
	// Ready says whether the node asked for work.
	Ready bool `json:"ready"`
}

// Beliefs follows the log lines of nodes; its zero value has read none.
type Beliefs struct {
	nodes map[Node]*Belief
}

// Take follows one line.
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

// Of returns a copy of what a node believes now.
func (b *Beliefs) Of(node Node) (belief Belief, ok bool) {
	n := b.nodes[node]
	if n == nil {
		return Belief{}, false
	}
	belief = *n
	belief.ZonesOut = slices.Clone(n.ZonesOut)
	belief.Targets = maps.Clone(n.Targets)
	return belief, true
}

// Nodes returns the nodes heard of, in order.
func (b *Beliefs) Nodes() []Node {
	return slices.Sorted(maps.Keys(b.nodes))
}

// Difference is something that the nodes did not hold alike.
type Difference struct {
	// What is "plan", "zones-out" or "target ID", and Held what each node held.
	What string          `json:"what"`
	Held map[Node]string `json:"held"`
}

// Differences returns what the nodes hold that is not the same at all of them.
func (b *Beliefs) Differences() (out []Difference) {
	facts := map[string]map[Node]string{}
	for node, n := range b.nodes {
		setValue(facts, "plan", node, formatVersion(n.Plan))
		setValue(facts, "zones-out", node, strings.Join(n.ZonesOut, ","))
		for id, l := range n.Targets {
			if l.Event == event.TargetListed.Number {
				setValue(facts, "target "+id, node, l.State)
			}
		}
	}
	for _, what := range slices.Sorted(maps.Keys(facts)) {
		held := facts[what]
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

func setValue(facts map[string]map[Node]string, what string, node Node, value string) {
	if facts[what] == nil {
		facts[what] = map[Node]string{}
	}
	facts[what][node] = value
}

func allEqual(held map[Node]string) bool {
	first, any := "", false
	for _, v := range held {
		if any && v != first {
			return false
		}
		first, any = v, true
	}
	return true
}

// Until follows lines up to an instant only.
type Until struct {
	Beliefs
	At time.Time
}

// Take follows a line unless it is later than the instant; a zero instant bounds
// nothing.
func (u *Until) Take(l Line) {
	if u.At.IsZero() || !l.At.After(u.At) {
		u.Beliefs.Take(l)
	}
}
