package vm

import (
	"context"
	"slices"
	"strings"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/zone"
)

// ID is the platform's name for one VM; a replacement gets another ID, even on
// the same address.
type ID string

// Address is an IP number and port, written as "10.0.0.1:8080".
type Address string

// Role says what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// State is the platform's word on a VM.
type State string

// The states the platform reports.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one line of the platform's list.
type VM struct {
	ID      ID           `json:"id" yaml:"id"`
	Role    Role         `json:"role" yaml:"role"`
	Service service.Name `json:"service,omitempty" yaml:"service,omitempty"`
	// Address is where callers' work is sent on a target, and where peers
	// speak to an entry node.
	Address Address   `json:"address" yaml:"address"`
	Zone    zone.Name `json:"zone" yaml:"zone"`
	State   State     `json:"state" yaml:"state"`
	// Slots is how many calls a target runs at once; zero means that the
	// service's configuration says.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
}

// List is the platform's list at some instant in the past.
type List struct {
	VMs []VM `json:"vms"`
}

// Lister reads the platform's list of VMs.
type Lister interface {
	// List returns the list; it may be old, and it may fail.
	List(ctx context.Context) (List, error)
}

// OfRole returns the VMs of a role, ordered by ID.
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
