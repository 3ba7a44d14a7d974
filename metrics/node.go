package metrics

import "github.com/uber-go/tally/v4"

// NodeState is what a node's gauges show.
type NodeState struct {
	Revision    uint64
	LogAge      float64
	Members     int
	Held        int
	ClaimsHeld  int
	ColdShards  int
	Probes      int
	Refusals    int
	Forgone     int
	PeerLinks   int
	PeerBytes   int64
	PeerDropped int64
	Ready       bool
}

// Node holds a node's gauges.
type Node struct {
	scope tally.Scope
}

// NewNode returns the gauges of a scope.
func NewNode(scope tally.Scope) *Node {
	return &Node{scope: scope}
}

// Set shows a node's state; counts are since the node's start.
func (n *Node) Set(s NodeState) {
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	n.setGauge("ready", ready)
	n.setGauge("config_revision", float64(s.Revision))
	n.setGauge("log_age_seconds", s.LogAge)
	n.setGauge("members", float64(s.Members))
	n.setGauge("calls_held", float64(s.Held))
	n.setGauge("claims_held", float64(s.ClaimsHeld))
	n.setGauge("cold_shards", float64(s.ColdShards))
	n.setGauge("measuring_probes", float64(s.Probes))
	n.setGauge("measuring_refusals", float64(s.Refusals))
	n.setGauge("measuring_forgone", float64(s.Forgone))
	n.setGauge("peer_links", float64(s.PeerLinks))
	n.setGauge("peer_bytes_sent", float64(s.PeerBytes))
	n.setGauge("peer_messages_dropped", float64(s.PeerDropped))
}

func (n *Node) setGauge(name string, value float64) {
	n.scope.Gauge(name).Update(value)
}
