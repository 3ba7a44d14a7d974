package gateway

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

type listedNode struct {
	node     vm.VM
	listedAt time.Time
	// leftAt is when this node heard that the node began a planned stop, and isBack
	// reports whether it was seen since.
	leftAt time.Time
	isBack bool
}

const (
	// leaveRetention is how long a node that has begun a planned stop is kept: a restarted
	// one is back by then.
	leaveRetention = 10 * time.Second
	// minLeaveInterval is the shortest time after which a node is believed to leave again.
	// Messages that it left and that it is back cross each other on their way through the
	// fleet; each node must pass on each of them only once.
	minLeaveInterval = 30 * time.Second
)

// isGone reports whether the node is no longer one of the fleet.
func (n listedNode) isGone(now time.Time) bool {
	hasLeft := !n.leftAt.IsZero() && !n.isBack
	return now.Sub(n.listedAt) > nodeRetention || hasLeft && now.Sub(n.leftAt) > leaveRetention
}

// markLeft records that nodes have begun a planned stop, and returns those of which this
// was not known.
func (s *nodeState) markLeft(ids []vm.ID, now time.Time) (news []vm.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		n, known := s.nodes[id]
		if !known || !n.leftAt.IsZero() && now.Sub(n.leftAt) < minLeaveInterval {
			continue
		}
		n.leftAt, n.isBack = now, false
		s.nodes[id] = n
		news = append(news, id)
	}
	return news
}

// addNodes adds or renews nodes of the fleet, and reports whether any is new or back.
func (s *nodeState) addNodes(nodes []vm.VM, now time.Time) (hasNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range nodes {
		former, known := s.nodes[n.ID]
		if !known {
			s.revision++
		}
		isBack := !former.leftAt.IsZero()
		hasNew = hasNew || !known || isBack && !former.isBack
		n.State = vm.StateLive
		s.nodes[n.ID] = listedNode{node: n, listedAt: now, leftAt: former.leftAt, isBack: isBack}
	}
	return hasNew
}

// listedNodesLocked returns the nodes that are not gone and removes the others.
// s.mu must be held.
func (s *nodeState) listedNodesLocked(now time.Time) (nodes []vm.VM) {
	for id, n := range s.nodes {
		if n.isGone(now) {
			delete(s.nodes, id)
			s.revision++
			continue
		}
		if !n.leftAt.IsZero() && !n.isBack {
			n.node.State = vm.StateLeaving
		}
		nodes = append(nodes, n.node)
	}
	return nodes
}

// assumedNodeCount is the assumed size of the fleet before other nodes are known. It keeps a
// node from using more than its share of the fleet's limits.
const assumedNodeCount = 12

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

// fleetNodes returns the nodes that are not gone, always including this one.
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
