package logbook

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/event"
)

// Belief is the state of one node at some time, as reconstructed from its log.
type NodeState struct {
	// Plan is the version of the active plan, or zero if none was logged.
	PlanVersion int64 `json:"plan"`
	// ZonesOut holds the availability zones out of service, sorted by name.
	ZonesOutOfService []string `json:"zones-out"`
	// Targets holds the last line about each target that does not belong to a
	// request.
	LastTargetLines map[string]Line `json:"-"`
	// Store is the last line about the availability of the store.
	LastStoreLine Line `json:"-"`
	// Ready states whether the node reported itself ready.
	Ready bool `json:"ready"`
}

// Beliefs reconstructs the states of nodes from their log lines. Its zero value is
// ready to use.
type NodeStates struct {
	nodes map[Node]*NodeState
}

// Take applies one line to the state of its node. The event node-starting resets
// the state.
func (b *NodeStates) Apply(l Line) {
	if b.nodes == nil {
		b.nodes = map[Node]*NodeState{}
	}
	n := b.nodes[l.Node]
	if n == nil || l.EventNumber == event.NodeStarting.Number {
		n = &NodeState{LastTargetLines: map[string]Line{}}
		b.nodes[l.Node] = n
	}
	n.apply(l)
}

func (n *NodeState) apply(l Line) {
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

// Of returns a copy of the current state of a node, or false if no line of the node
// was read.
func (b *NodeStates) State(node Node) (state NodeState, ok bool) {
	n := b.nodes[node]
	if n == nil {
		return NodeState{}, false
	}
	state = *n
	state.ZonesOutOfService = slices.Clone(n.ZonesOutOfService)
	state.LastTargetLines = maps.Clone(n.LastTargetLines)
	return state, true
}

// Nodes returns the nodes of the lines read, sorted by name.
func (b *NodeStates) Nodes() []Node {
	return slices.Sorted(maps.Keys(b.nodes))
}

// Difference is a part of the state on which the nodes disagree.
type Difference struct {
	// What is "plan", "zones-out" or "target ID", with the ID of the target. Held
	// maps each node to its value, or to "unheard" if its log has none.
	Subject string          `json:"what"`
	Values  map[Node]string `json:"held"`
}

// Differences returns the parts of the state whose values are not equal at all
// nodes, sorted by What.
func (b *NodeStates) Differences() (out []Difference) {
	values := map[string]map[Node]string{}
	for node, n := range b.nodes {
		setValue(values, "plan", node, formatVersion(n.PlanVersion))
		setValue(values, "zones-out", node, strings.Join(n.ZonesOutOfService, ","))
		for id, l := range n.LastTargetLines {
			if l.EventNumber == event.TargetListed.Number {
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
			out = append(out, Difference{Subject: what, Values: held})
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
type NodeStatesAt struct {
	NodeStates
	EndTime time.Time
}

// Take applies a line unless it is later than At.
func (u *NodeStatesAt) Apply(l Line) {
	if u.EndTime.IsZero() || !l.Time.After(u.EndTime) {
		u.NodeStates.Apply(l)
	}
}
