package coldstart

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/vm"
)

// RateLimiter limits the calls to targets in cold start that state how many
// calls a second they accept from the whole fleet. It implements
// target.ColdStartLeases. Its zero value permits no calls.
type RateLimiter struct {
	limiter quota.Limiter

	mu   sync.Mutex
	rate quota.Rate
}

// Configure sets the calls a second that one target accepts, the ID of this
// node, the known nodes of the fleet and the number of all its nodes. The slice
// nodes must not be modified afterwards.
func (r *RateLimiter) Configure(rate quota.Rate, self vm.ID, nodes []vm.ID, fleetSize int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = rate
	r.limiter.SetFleet(self, nodes, fleetSize)
}

// permissionDuration is the remaining time that LeaseDeadline returns for a
// permission that does not expire.
const permissionDuration = time.Hour

// LeaseDeadline reports whether a call may be sent to a target now. The
// permission does not expire, so end is permissionDuration after now.
func (r *RateLimiter) LeaseDeadline(id vm.ID, now time.Time) (end time.Time, ok bool) {
	wait, ok := r.limiter.Wait(id, r.currentRate(), now)
	return now.Add(permissionDuration), ok && wait == 0
}

// Allow counts one call to a target; it reports false if this node may not send
// to it, or not yet.
func (r *RateLimiter) Allow(id vm.ID, now time.Time) bool {
	return r.limiter.Take(id, r.currentRate(), now)
}

func (r *RateLimiter) currentRate() quota.Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate
}
