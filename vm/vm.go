package vm

import (
	"context"
	"slices"
	"strings"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/zone"
)

// ID is the platform's identifier of a VM. A replacement VM gets another ID, even
// if it has the same address.
type ID string

// Address is an IP address and port, such as "10.0.0.1:8080".
type Address string

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// State is the state of a VM as reported by the platform.
type State string

// The states that the platform reports.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID      ID           `json:"id" yaml:"id"`
	Role    Role         `json:"role" yaml:"role"`
	Service service.Name `json:"service,omitempty" yaml:"service,omitempty"`
	// Address receives calls on a target, and connections of peers on an entry
	// node.
	Address Address   `json:"address" yaml:"address"`
	Zone    zone.Name `json:"zone" yaml:"zone"`
	State   State     `json:"state" yaml:"state"`
	// Slots is the number of calls that the target runs concurrently. Zero
	// selects the value of the service configuration.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Incarnation tells the processes apart that run under one ID, by a number that
	// rises with each start. Zero means unknown.
	Incarnation int64 `json:"incarnation,omitempty" yaml:"incarnation,omitempty"`
	// Version is the version of the software of a target. It is not part of messages and
	// digests, which builds without it share.
	Version string `json:"version,omitempty" yaml:"version,omitempty" cbor:"-"`
}

// List is the platform's list of VMs. It may be stale.
type List struct {
	VMs []VM `json:"vms"`
}

// Lister reads the platform's list of VMs.
type Lister interface {
	// List returns the current list, which may be stale, or an error if the
	// platform cannot be reached.
	List(ctx context.Context) (List, error)
}

// WithRole returns the VMs with the given role, sorted by ID.
func (l List) WithRole(role Role) []VM {
	var out []VM
	for _, v := range l.VMs {
		if v.Role == role {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
