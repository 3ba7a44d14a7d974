package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

type listedNode struct {
	node     vm.VM
	listedAt time.Time
}

// addNodes adds or renews nodes of the fleet, and reports whether any is new.
func (s *nodeState) addNodes(nodes []vm.VM, now time.Time) (hasNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range nodes {
		if _, known := s.nodes[n.ID]; !known {
			hasNew = true
			s.revision++
		}
		s.nodes[n.ID] = listedNode{node: n, listedAt: now}
	}
	return hasNew
}

// listedNodesLocked returns the nodes listed within nodeRetention and removes the others.
// s.mu must be held.
func (s *nodeState) listedNodesLocked(now time.Time) (nodes []vm.VM) {
	for id, n := range s.nodes {
		if now.Sub(n.listedAt) > nodeRetention {
			delete(s.nodes, id)
			s.revision++
			continue
		}
		nodes = append(nodes, n.node)
	}
	return nodes
}

// settleTime is how long after its start a node that knows no other assumes that there
// are some: nodes that start together take as long to find each other.
const settleTime = 10 * time.Second

// fleetSize returns the number of nodes of the fleet, of which this node may not know all
// yet.
func (n *Node) fleetSize(known []vm.VM, now time.Time) int {
	estimated := int(n.estimatedNodeCount.Load())
	isAlone := len(known) == 1 && estimated == 1 && now.Sub(n.startedAt) > settleTime
	if len(known) == 1 && !isAlone {
		return max(assumedNodeCount, estimated)
	}
	return max(len(known), estimated)
}

// fleetNodes returns the nodes listed within nodeRetention, always including this one.
func (s *nodeState) fleetNodes(now time.Time) []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := s.listedNodesLocked(now)
	for _, n := range nodes {
		if n.ID == s.self.ID {
			return nodes
		}
	}
	return append(nodes, s.self)
}
