package operator

import (
	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
)

// Result says what became of a publication.
type Result string

// The results of publications.
const (
	// Accepted: it is in the log and took force.
	Accepted Result = "accepted"
	// Refused: it was not appended.
	Refused Result = "refused"
	// Overtaken: another publication took force first.
	Overtaken Result = "overtaken"
	// Undetermined: the log did not say whether it was appended, and it has not
	// been seen yet. Ask again by its ID.
	Undetermined Result = "undetermined"
)

// Answer is the answer to a publication, or to the question after one.
type Response struct {
	Result Result               `json:"result"`
	ID     config.PublicationID `json:"id,omitempty"`
	// Revision is the revision in force at the node that answers.
	Revision config.Revision `json:"revision"`
	Reason   string          `json:"reason,omitempty"`
	Faults   fault.List      `json:"faults,omitempty"`
}

// Configuration is what is in force at a node.
type Configuration struct {
	Revision             config.Revision       `json:"revision"`
	NextOffset           uint64                `json:"offset"`
	Digest               string                `json:"digest"`
	Profiles             []profile.Document    `json:"profiles"`
	Services             []service.Document    `json:"services"`
	WithdrawnZones       []string              `json:"zones-out"`
	WithdrawnVMs         []string              `json:"vms-out"`
	TemporaryWithdrawals []TemporaryWithdrawal `json:"temporarily-out"`
}

// TemporaryOut is a temporary withdrawal of an availability zone.
type TemporaryWithdrawal struct {
	ID        string `json:"id"`
	Zone      string `json:"zone"`
	Remaining string `json:"left"`
}

// Status is what a node says of itself.
type Status struct {
	VM                  string           `json:"vm"`
	Zone                string           `json:"zone"`
	Incarnation         string           `json:"incarnation"`
	Ready               bool             `json:"ready"`
	Reason              string           `json:"reason,omitempty"`
	Revision            config.Revision  `json:"revision"`
	LogAge              string           `json:"log-age"`
	Members             []Member         `json:"members"`
	ClaimCount          int              `json:"claims"`
	HeldColdShards      int              `json:"cold-shards"`
	HeldCalls           int              `json:"calls-held"`
	InvariantViolations map[string]int64 `json:"invariants-broken"`
	PeerTraffic         Traffic          `json:"peers"`
	ProbeUsage          ProbeUsage       `json:"measuring"`
}

// Member is an entry node as another one sees it.
type Member struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Status      string `json:"status"`
	// Offset is how far the member has folded the configuration.
	NextOffset uint64 `json:"offset"`
	Digest     string `json:"digest"`
}

// Traffic counts what a node said to its peers.
type Traffic struct {
	Links           int   `json:"links"`
	SentMessages    int64 `json:"messages"`
	SentBytes       int64 `json:"sent-bytes"`
	ReceivedBytes   int64 `json:"received-bytes"`
	DroppedMessages int64 `json:"dropped"`
}

// Measuring counts what measuring load has cost.
type ProbeUsage struct {
	Messages   int    `json:"messages"`
	Bytes      int64  `json:"bytes"`
	TargetTime string `json:"target-time"`
	Refusals   int    `json:"refusals"`
	Skipped    int    `json:"forgone"`
}

// Target is a target as a node sees it.
type Target struct {
	Service        string  `json:"service"`
	VM             string  `json:"vm"`
	Address        string  `json:"address"`
	Zone           string  `json:"zone"`
	Instance       string  `json:"instance"`
	State          string  `json:"state"`
	Withdrawn      bool    `json:"withdrawn"`
	Ejected        bool    `json:"ejected"`
	OwnInFlight    int     `json:"own"`
	OthersInFlight float64 `json:"others"`
	Slowness       float64 `json:"slowness"`
	ServedCount    int64   `json:"served"`
}

// Withdraw asks for a temporary withdrawal, or for the end of one.
type WithdrawalRequest struct {
	// ID names the withdrawal to end; absent for a new one.
	ID   string `json:"id,omitempty" yaml:"id"`
	Zone string `json:"zone,omitempty" yaml:"zone"`
	// For is how long it lasts, such as "10m".
	Duration string `json:"for,omitempty" yaml:"for"`
	End      bool   `json:"end,omitempty" yaml:"end"`
}
