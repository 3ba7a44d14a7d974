package target

import (
	"maps"
	"slices"
	"sync"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

// PendingLimit is a rate limit of a target that is not known yet.
type PendingLimit struct {
	Service service.Name
	Limit   PeerLimit
}

// PendingLimits holds the rate limits of targets that are not known yet. Its zero value is
// empty and ready to use.
type PendingLimits struct {
	mu       sync.Mutex
	byTarget map[vm.ID]PendingLimit
}

// maxPendingLimits bounds the limits that wait for their targets.
const maxPendingLimits = 4096

// Add adds a limit; it replaces that of the same target.
func (p *PendingLimits) Add(name service.Name, l PeerLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byTarget == nil || len(p.byTarget) >= maxPendingLimits {
		p.byTarget = map[vm.ID]PendingLimit{}
	}
	p.byTarget[l.ID] = PendingLimit{name, l}
}

// Take returns all limits and removes them.
func (p *PendingLimits) Take() (limits []PendingLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits = slices.Collect(maps.Values(p.byTarget))
	clear(p.byTarget)
	return limits
}
