package metrics

import "github.com/uber-go/tally/v4"

// NodeState holds the values of a node's gauges. ProbeCount, RefusalProbeCount,
// SkippedProbeCount, PeerBytesSent and PeerMessagesDropped are totals since the
// node's start.
type NodeState struct {
	ConfigRevision uint64
	// LogAgeSeconds is the time since the last contact with the log.
	LogAgeSeconds  float64
	MemberCount    int
	HeldCallCount  int
	HeldClaimCount int
	ColdShardCount int
	// ProbeCount is the number of probe messages sent, RefusalProbeCount of refusals
	// used as probes and SkippedProbeCount of probes skipped for lack of budget.
	ProbeCount        int
	RefusalProbeCount int
	SkippedProbeCount int
	PeerLinkCount     int
	PeerBytesSent     int64
	// PeerMessagesDropped is the number of messages to peers that were dropped.
	PeerMessagesDropped int64
	IsReady             bool
}

// Node holds a node's gauges.
type Node struct {
	scope tally.Scope
}

// NewNode returns the node gauges of a scope. UpdateGauges registers them.
func NewNode(scope tally.Scope) *Node {
	return &Node{scope: scope}
}

// UpdateGauges sets all gauges to the given state.
func (n *Node) UpdateGauges(s NodeState) {
	ready := 0.0
	if s.IsReady {
		ready = 1
	}
	n.setGauge("ready", ready)
	n.setGauge("config_revision", float64(s.ConfigRevision))
	n.setGauge("log_age_seconds", s.LogAgeSeconds)
	n.setGauge("members", float64(s.MemberCount))
	n.setGauge("calls_held", float64(s.HeldCallCount))
	n.setGauge("claims_held", float64(s.HeldClaimCount))
	n.setGauge("cold_shards", float64(s.ColdShardCount))
	n.setGauge("measuring_probes", float64(s.ProbeCount))
	n.setGauge("measuring_refusals", float64(s.RefusalProbeCount))
	n.setGauge("measuring_forgone", float64(s.SkippedProbeCount))
	n.setGauge("peer_links", float64(s.PeerLinkCount))
	n.setGauge("peer_bytes_sent", float64(s.PeerBytesSent))
	n.setGauge("peer_messages_dropped", float64(s.PeerMessagesDropped))
}

func (n *Node) setGauge(name string, value float64) {
	n.scope.Gauge(name).Update(value)
}
