package operator

import (
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
)

// Result is the result of a publication.
type Result string

// The results of publications.
const (
	// Accepted means that the publication is in the log and became active.
	Accepted Result = "accepted"
	// Refused means that the publication was not appended to the log.
	Refused Result = "refused"
	// Overtaken means that another publication became active first, so that this
	// one does not become active.
	Overtaken Result = "overtaken"
	// Undetermined means that the node has not read the publication from the log,
	// so that it may still become active, or that its result is too old to be kept.
	// Query it again by its ID.
	Undetermined Result = "undetermined"
)

// Response is the response to a publication, or to a query for its result.
type Response struct {
	Result Result               `json:"result"`
	ID     config.PublicationID `json:"id,omitempty"`
	// Revision is the revision that was active after the publication was applied or,
	// if it has not been applied, the active revision of the responding node.
	Revision config.Revision `json:"revision"`
	Reason   string          `json:"reason,omitempty"`
	Faults   fault.List      `json:"faults,omitempty"`
}

// Configuration is the active configuration of a node.
type Configuration struct {
	Revision config.Revision `json:"revision"`
	// NextOffset is the offset of the next configuration record to apply.
	NextOffset           uint64                `json:"offset"`
	Digest               string                `json:"digest"`
	Profiles             []profile.Document    `json:"profiles"`
	Services             []service.Document    `json:"services"`
	WithdrawnZones       []string              `json:"zones-out"`
	WithdrawnVMs         []string              `json:"vms-out"`
	TemporaryWithdrawals []TemporaryWithdrawal `json:"temporarily-out"`
}

// TemporaryWithdrawal is a temporary withdrawal of an availability zone.
type TemporaryWithdrawal struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Remaining is the duration until the withdrawal expires.
	Remaining string `json:"left"`
}

// Status is the status that a node reports.
type Status struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	// Reason states why the node is not ready.
	Reason   string          `json:"reason,omitempty"`
	Revision config.Revision `json:"revision"`
	// LogAge is the duration since the last contact with the platform's log.
	LogAge  string   `json:"log-age"`
	Members []Member `json:"members"`
	// ClaimCount is the number of granted claims on idempotency keys of all nodes,
	// including expired ones that are not pruned yet.
	ClaimCount int `json:"claims"`
	// HeldColdShards is the number of cold-start shards leased by the node.
	HeldColdShards int `json:"cold-shards"`
	// HeldCalls is the number of calls in the node, in flight and waiting.
	HeldCalls int `json:"calls-held"`
	// InvariantViolations counts the violations by name of the invariant.
	InvariantViolations map[string]int64 `json:"invariants-broken"`
	PeerTraffic         Traffic          `json:"peers"`
	ProbeUsage          ProbeUsage       `json:"measuring"`
}

// Member is the responding node's view of an entry node.
type Member struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Status      string `json:"status"`
	// NextOffset is the offset of the next configuration record that the member applies.
	NextOffset uint64 `json:"offset"`
	Digest     string `json:"digest"`
}

// Traffic counts the links and the messages between a node and its peers. Messages
// counts sent messages, and Dropped those dropped before sending.
type Traffic struct {
	Links           int   `json:"links"`
	SentMessages    int64 `json:"messages"`
	SentBytes       int64 `json:"sent-bytes"`
	ReceivedBytes   int64 `json:"received-bytes"`
	DroppedMessages int64 `json:"dropped"`
}

// ProbeUsage counts what the node has spent on measuring the load of targets.
type ProbeUsage struct {
	Messages   int    `json:"messages"`
	Bytes      int64  `json:"bytes"`
	TargetTime string `json:"target-time"`
	Refusals   int    `json:"refusals"`
	// Skipped is the number of measurements skipped for lack of budget.
	Skipped int `json:"forgone"`
}

// Target is the responding node's view of a target.
type Target struct {
	Service   string `json:"service"`
	VM        string `json:"vm"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Instance  string `json:"instance"`
	State     string `json:"state"`
	Withdrawn bool   `json:"withdrawn"`
	Ejected   bool   `json:"ejected"`
	// OwnInFlight is the number of attempts of this node in flight at the target,
	// and OthersInFlight an estimate of those of other nodes.
	OwnInFlight    int     `json:"own"`
	OthersInFlight float64 `json:"others"`
	// Slowness is how many times slower than the average of its service the
	// target is, by latency and failures, and at least 1.
	Slowness float64 `json:"slowness"`
	// ServedCount is the number of successful responses of the target to this node.
	ServedCount int64 `json:"served"`
}

// WithdrawalRequest is a request to start or end a temporary withdrawal of an
// availability zone.
type WithdrawalRequest struct {
	// ID identifies the withdrawal to end. It is empty for a new one.
	ID   string `json:"id,omitempty" yaml:"id"`
	Zone string `json:"zone,omitempty" yaml:"zone"`
	// Duration is the duration of the withdrawal, such as "10m". Empty selects the
	// default of the node.
	Duration string `json:"for,omitempty" yaml:"for"`
	End      bool   `json:"end,omitempty" yaml:"end"`
}
