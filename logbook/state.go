package logbook

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/event"
)

// NodeState is the state of one node at some time, as reconstructed from its log.
type NodeState struct {
	// PlanVersion is the version of the active plan, or zero if none was logged.
	PlanVersion int64 `json:"plan"`
	// PlanLine is the line that told it.
	PlanLine Line `json:"-"`
	// ZonesOutOfService holds the availability zones out of service, sorted by name.
	ZonesOutOfService []string `json:"zones-out"`
	// LastTargetLines maps the ID of each target to the last line about it that
	// does not belong to a request.
	LastTargetLines map[string]Line `json:"-"`
	// LimitLines maps the ID of each target with a rate limit to the line that told it.
	LimitLines map[string]Line `json:"-"`
	// LastStoreLines maps each topic of the store to the last line about its
	// availability; the empty one stands for the whole store.
	LastStoreLines map[string]Line `json:"-"`
	// Ready states whether the node reported itself ready.
	Ready bool `json:"ready"`
}

// NodeStates reconstructs the states of nodes from their log lines. Its zero value is
// ready to use.
type NodeStates struct {
	nodes map[Node]*NodeState
}

// Apply applies one line to the state of its node. The event node-starting resets
// the state.
func (s *NodeStates) Apply(l Line) {
	if s.nodes == nil {
		s.nodes = map[Node]*NodeState{}
	}
	n := s.nodes[l.Node]
	if n == nil || l.EventNumber == event.NodeStarting.Number {
		n = &NodeState{LastTargetLines: map[string]Line{}, LimitLines: map[string]Line{}, LastStoreLines: map[string]Line{}}
		s.nodes[l.Node] = n
	}
	n.apply(l)
}

func (n *NodeState) apply(l Line) {
	switch l.EventNumber {
	case event.PlanInForce.Number:
		n.PlanVersion, n.PlanLine = l.PlanVersion, l
	case event.ZoneOutOfService.Number:
		n.ZonesOutOfService = slices.DeleteFunc(n.ZonesOutOfService, func(z string) bool { return z == l.Zone })
		if l.ZoneOutOfService {
			n.ZonesOutOfService = append(n.ZonesOutOfService, l.Zone)
			slices.Sort(n.ZonesOutOfService)
		}
	case event.TargetLimited.Number:
		n.LimitLines[l.Target] = l
	case event.TargetUnlimited.Number, event.TargetInstance.Number:
		delete(n.LimitLines, l.Target)
	case event.StoreAway.Number, event.StoreBack.Number:
		n.LastStoreLines[l.Topic] = l
	case event.NodeReady.Number:
		n.Ready = true
	case event.NodeUnready.Number, event.NodeLeaving.Number:
		n.Ready = false
	}
	if l.Target != "" && l.RequestID == "" {
		n.LastTargetLines[l.Target] = l
	}
}

// State returns a copy of the state of a node after the lines applied so far, or
// false if none of them is of the node.
func (s *NodeStates) State(node Node) (state NodeState, ok bool) {
	n := s.nodes[node]
	if n == nil {
		return NodeState{}, false
	}
	state = *n
	state.ZonesOutOfService = slices.Clone(n.ZonesOutOfService)
	state.LastTargetLines = maps.Clone(n.LastTargetLines)
	state.LimitLines = maps.Clone(n.LimitLines)
	state.LastStoreLines = maps.Clone(n.LastStoreLines)
	return state, true
}

// Nodes returns the nodes of the lines applied, sorted by name.
func (s *NodeStates) Nodes() []Node {
	return slices.Sorted(maps.Keys(s.nodes))
}

// Difference is a part of the state on which the nodes disagree.
type Difference struct {
	// Subject is "plan", "zones-out" or "target ID", with the ID of the target.
	// Values maps each node to its value, or to "unheard" if its log has none.
	Subject string          `json:"what"`
	Values  map[Node]string `json:"held"`
}

// Differences returns the parts of the state whose values are not equal at all
// nodes, sorted by Subject.
func (s *NodeStates) Differences() (out []Difference) {
	valuesBySubject := map[string]map[Node]string{}
	for node, n := range s.nodes {
		setValue(valuesBySubject, "plan", node, formatVersion(n.PlanVersion))
		setValue(valuesBySubject, "zones-out", node, strings.Join(n.ZonesOutOfService, ","))
		for id, l := range n.LastTargetLines {
			if l.EventNumber == event.TargetListed.Number {
				setValue(valuesBySubject, "target "+id, node, l.State)
			}
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(valuesBySubject)) {
		values := valuesBySubject[subject]
		for _, node := range s.Nodes() {
			if _, ok := values[node]; !ok {
				values[node] = "unheard"
			}
		}
		if !allEqual(values) {
			out = append(out, Difference{Subject: subject, Values: values})
		}
	}
	return out
}

func setValue(valuesBySubject map[string]map[Node]string, subject string, node Node, value string) {
	if valuesBySubject[subject] == nil {
		valuesBySubject[subject] = map[Node]string{}
	}
	valuesBySubject[subject][node] = value
}

func allEqual(values map[Node]string) bool {
	first, hasFirst := "", false
	for _, v := range values {
		if hasFirst && v != first {
			return false
		}
		first, hasFirst = v, true
	}
	return true
}

// NodeStatesAt reconstructs the states of nodes at EndTime. A zero EndTime selects
// the end of the log.
type NodeStatesAt struct {
	NodeStates
	EndTime time.Time
}

// Apply applies a line unless it is later than EndTime.
func (s *NodeStatesAt) Apply(l Line) {
	if s.EndTime.IsZero() || !l.Time.After(s.EndTime) {
		s.NodeStates.Apply(l)
	}
}
