package logbook

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/event"
)

// Belief is what one node held at an instant, by its log.
type NodeState struct {
	// Plan is the version of the plan in force; zero if none was logged.
	PlanVersion int64 `json:"plan"`
	// ZonesOut are the availability zones out of service, in order.
	ZonesOutOfService []string `json:"zones-out"`
	// Targets holds the last line that changed what is believed of each target.
	LastTargetLines map[string]Line `json:"-"`
	// Store is the last line on the store.
	LastStoreLine Line `json:"-"`
	// Ready says whether the node asked for work.
	Ready bool `json:"ready"`
}

// Beliefs follows the log lines of nodes; its zero value has read none.
type NodeStates struct {
	nodes map[Node]*NodeState
}

// Take follows one line.
func (b *NodeStates) Apply(l Line) {
	if b.nodes == nil {
		b.nodes = map[Node]*NodeState{}
	}
	n := b.nodes[l.Node]
	if n == nil || l.EventNumber == event.NodeStarting.Number {
		n = &NodeState{LastTargetLines: map[string]Line{}}
		b.nodes[l.Node] = n
	}
	n.take(l)
}

func (n *NodeState) take(l Line) {
	switch l.EventNumber {
	case event.PlanInForce.Number:
		n.PlanVersion = l.PlanVersion
	case event.ZoneOutOfService.Number:
		n.ZonesOutOfService = slices.DeleteFunc(n.ZonesOutOfService, func(z string) bool { return z == l.Zone })
		if l.ZoneOutOfService {
			n.ZonesOutOfService = append(n.ZonesOutOfService, l.Zone)
			slices.Sort(n.ZonesOutOfService)
		}
	case event.StoreAway.Number, event.StoreBack.Number:
		n.LastStoreLine = l
	case event.NodeReady.Number:
		n.Ready = true
	case event.NodeUnready.Number, event.NodeLeaving.Number:
		n.Ready = false
	}
	if l.Target != "" && l.RequestID == "" {
		n.LastTargetLines[l.Target] = l
	}
}

// Of returns a copy of what a node believes now.
func (b *NodeStates) State(node Node) (belief NodeState, ok bool) {
	n := b.nodes[node]
	if n == nil {
		return NodeState{}, false
	}
	belief = *n
	belief.ZonesOutOfService = slices.Clone(n.ZonesOutOfService)
	belief.LastTargetLines = maps.Clone(n.LastTargetLines)
	return belief, true
}

// Nodes returns the nodes heard of, in order.
func (b *NodeStates) Nodes() []Node {
	return slices.Sorted(maps.Keys(b.nodes))
}

// Difference is something that the nodes did not hold alike.
type Difference struct {
	// What is "plan", "zones-out" or "target ID", and Held what each node held.
	Subject string          `json:"what"`
	Values  map[Node]string `json:"held"`
}

// Differences returns what the nodes hold that is not the same at all of them.
func (b *NodeStates) Differences() (out []Difference) {
	facts := map[string]map[Node]string{}
	for node, n := range b.nodes {
		set(facts, "plan", node, formatVersion(n.PlanVersion))
		set(facts, "zones-out", node, strings.Join(n.ZonesOutOfService, ","))
		for id, l := range n.LastTargetLines {
			if l.EventNumber == event.TargetListed.Number {
				set(facts, "target "+id, node, l.State)
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
		if !alike(held) {
			out = append(out, Difference{Subject: what, Values: held})
		}
	}
	return out
}

func set(facts map[string]map[Node]string, what string, node Node, value string) {
	if facts[what] == nil {
		facts[what] = map[Node]string{}
	}
	facts[what][node] = value
}

func alike(held map[Node]string) bool {
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
type NodeStatesAt struct {
	NodeStates
	EndTime time.Time
}

// Take follows a line unless it is later than the instant; a zero instant bounds
// nothing.
func (u *NodeStatesAt) Apply(l Line) {
	if u.EndTime.IsZero() || !l.Time.After(u.EndTime) {
		u.NodeStates.Apply(l)
	}
}
