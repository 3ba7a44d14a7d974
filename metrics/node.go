package metrics

import "github.com/uber-go/tally/v4"

// NodeState holds the values of a node's gauges. Probes, Refusals, Forgone,
// PeerBytes and PeerDropped are totals since the node's start.
type NodeState struct {
	Revision uint64
	// LogAge is the time since the last contact with the log, in seconds.
	LogAge     float64
	Members    int
	Held       int
	ClaimsHeld int
	ColdShards int
	// Probes is the number of probe messages sent, Refusals of refusals used as
	// probes and Forgone of probes skipped for lack of budget.
	Probes    int
	Refusals  int
	Forgone   int
	PeerLinks int
	// PeerBytes is the number of bytes sent to peers and PeerDropped of messages
	// to them that were dropped.
	PeerBytes   int64
	PeerDropped int64
	Ready       bool
}

// Node holds a node's gauges.
type Node struct {
	scope tally.Scope
}

// NewNode returns the node gauges of a scope. They are registered by Set.
func NewNode(scope tally.Scope) *Node {
	return &Node{scope: scope}
}

// Set updates all gauges.
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
