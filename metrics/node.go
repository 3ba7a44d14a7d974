package metrics

import "github.com/uber-go/tally/v4"

// NodeState is what a node's gauges show.
type NodeState struct {
	ConfigRevision      uint64
	LogAgeSeconds       float64
	MemberCount         int
	HeldCallCount       int
	HeldClaimCount      int
	ColdShardCount      int
	ProbeCount          int
	RefusalProbeCount   int
	SkippedProbeCount   int
	PeerLinkCount       int
	PeerBytesSent       int64
	PeerMessagesDropped int64
	IsReady             bool
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
func (n *Node) UpdateGauges(s NodeState) {
	ready := 0.0
	if s.IsReady {
		ready = 1
	}
	n.gauge("ready", ready)
	n.gauge("config_revision", float64(s.ConfigRevision))
	n.gauge("log_age_seconds", s.LogAgeSeconds)
	n.gauge("members", float64(s.MemberCount))
	n.gauge("calls_held", float64(s.HeldCallCount))
	n.gauge("claims_held", float64(s.HeldClaimCount))
	n.gauge("cold_shards", float64(s.ColdShardCount))
	n.gauge("measuring_probes", float64(s.ProbeCount))
	n.gauge("measuring_refusals", float64(s.RefusalProbeCount))
	n.gauge("measuring_forgone", float64(s.SkippedProbeCount))
	n.gauge("peer_links", float64(s.PeerLinkCount))
	n.gauge("peer_bytes_sent", float64(s.PeerBytesSent))
	n.gauge("peer_messages_dropped", float64(s.PeerMessagesDropped))
}

func (n *Node) gauge(name string, value float64) {
	n.scope.Gauge(name).Update(value)
}
