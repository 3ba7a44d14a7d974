package inventory

import (
	"net"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

type listedNode struct {
	node     vm.VM
	listedAt time.Time
	// leftAt is when this node received that the node began a planned stop, and isBack
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
	return now.Sub(n.listedAt) > NodeRetention || hasLeft && now.Sub(n.leftAt) > leaveRetention
}

// MarkLeft records that nodes have begun a planned stop, and returns those of which this
// was not known.
func (s *State) MarkLeft(ids []vm.ID, now time.Time) (news []vm.ID) {
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

// AddNodes adds or renews nodes of the fleet, and reports whether any is new or back.
func (s *State) AddNodes(nodes []vm.VM, now time.Time) (hasNew bool) {
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
func (s *State) listedNodesLocked(now time.Time) (nodes []vm.VM) {
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

// FleetNodes returns the nodes that are not gone, always including this one.
func (s *State) FleetNodes(now time.Time) []vm.VM {
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

// IsNodeIP reports whether an IP address is that of a node of the fleet.
func (s *State) IsNodeIP(ip string) bool {
	return slices.ContainsFunc(s.FleetNodes(time.Now()), func(n vm.VM) bool {
		host, _, err := net.SplitHostPort(string(n.Address))
		return err == nil && host == ip
	})
}
