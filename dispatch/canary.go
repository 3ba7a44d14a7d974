package dispatch

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// Canary decides which calls go to targets of a new version of a service.
type Canary interface {
	// Targets returns the targets of the new version among which a call is sent; nil if it
	// goes to the old version.
	Targets(route profile.Name) []vm.ID
	// Return takes back a call of which no such target took the first attempt.
	Return(route profile.Name)
}

// pick chooses and reserves the target of the next attempt. Only the first attempt of a call
// goes to a new version: retries and hedges go where the service is known to work.
func (r *run) pick(ctx context.Context) (target.Reservation, target.PickStatus) {
	if reservation, ok := r.pickCanary(ctx); ok {
		return reservation, target.PickOK
	}
	r.queryLoad(ctx, r.pickOptions)
	return r.service.Table.PickWithOptions(time.Now(), r.pickOptions())
}

// pickCanary reserves a target of a new version if the call is one of those for it and such
// a target has a free slot.
func (r *run) pickCanary(ctx context.Context) (reservation target.Reservation, ok bool) {
	canary := r.service.Canary
	if canary == nil || r.hasAttempted || r.hasTriedCanary || r.call.IsCounted {
		return target.Reservation{}, false
	}
	r.hasTriedCanary = true
	ids := canary.Targets(r.call.Profile.Name)
	if len(ids) == 0 {
		return target.Reservation{}, false
	}
	options := func() target.PickOptions {
		return target.PickOptions{Only: ids, Route: string(r.call.Profile.Name), RequireFreeSlot: true, RequireRoom: true, Objective: r.call.Profile.LatencyObjective}
	}
	r.queryLoad(ctx, options)
	reservation, status := r.service.Table.PickWithOptions(time.Now(), options())
	if status != target.PickOK {
		canary.Return(r.call.Profile.Name)
		return target.Reservation{}, false
	}
	return reservation, true
}
