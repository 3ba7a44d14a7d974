package inventory

import (
	"strings"

	"go.uber.org/zap"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
)

// decodedPlan is the plan in a record with its position.
type decodedPlan struct {
	plan   *Plan
	epoch  replica.Epoch
	offset replica.Offset
}

// validatePlan returns an error if a record of the operator holds a plan that cannot be
// decoded. s.mu must be held.
func (s *State) validatePlan(r replica.Record) error {
	if !s.decoder.IsPlanKey(r.Key) {
		return nil
	}
	plan, err := s.decoder.DecodePlan(r.Value)
	if err != nil {
		return err
	}
	s.decodedPlan = decodedPlan{plan: plan, epoch: r.Epoch, offset: r.Offset}
	return nil
}

// logUnreadablePlan logs a plan that was left out, once if its writer repeats it. s.mu must
// be held.
func (s *State) logUnreadablePlan(r replica.Record, err error) {
	hash := xxhash.Sum64(r.Value)
	if hash == s.unreadablePlanHash {
		return
	}
	s.unreadablePlanHash = hash
	event.PlanUnreadable.Log(s.logger, zap.String("key", r.Key), zap.Uint64("offset", uint64(r.Offset)), zap.Uint64("epoch", uint64(r.Epoch)), errorField(err))
}

// maxErrorBytes is the maximum length of an error in the log: it may quote a record.
const maxErrorBytes = 512

// errorField returns a log field with the beginning of an error's text.
func errorField(err error) zap.Field {
	text := err.Error()
	return zap.String("error", strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], ""))
}

// applyOperatorRecord applies a changed record of the operator's topic. s.mu must be held.
func (s *State) applyOperatorRecord(r replica.Record, source string) {
	if z, ok := s.decoder.WithdrawnZone(r.Key); ok {
		event.ZoneOutOfService.Log(s.logger, zap.String("zone", string(z)), zap.Bool("out", !r.Deleted), zap.Uint64("offset", uint64(r.Offset)), zap.String("source", source))
		return
	}
	if !s.decoder.IsPlanKey(r.Key) || r.Deleted {
		return
	}
	plan, err := s.decodedPlanOf(r)
	if err != nil {
		s.logUnreadablePlan(r, err)
		return
	}
	if s.plan != nil && plan.Version <= s.plan.Version {
		event.PlanOutdated.Log(s.logger, zap.Int64("version", int64(plan.Version)), zap.Int64("in-force", int64(s.plan.Version)), zap.Uint64("offset", uint64(r.Offset)), zap.Uint64("epoch", uint64(r.Epoch)), zap.String("source", source))
		return
	}
	s.plan = plan
	event.PlanInForce.Log(s.logger, zap.Int64("version", int64(plan.Version)), zap.Uint64("offset", uint64(r.Offset)), zap.Uint64("epoch", uint64(r.Epoch)), zap.String("source", source))
}

// decodedPlanOf returns the plan of a record, which validatePlan has usually decoded.
func (s *State) decodedPlanOf(r replica.Record) (*Plan, error) {
	if d := s.decodedPlan; d.plan != nil && d.epoch == r.Epoch && d.offset == r.Offset {
		return d.plan, nil
	}
	return s.decoder.DecodePlan(r.Value)
}

// decodedOrder is the order in a record, or the reason why there is none.
type decodedOrder struct {
	epoch  replica.Epoch
	offset replica.Offset
	order  rollout.Order
	err    error
}

// addOrder adds the order in a record of the operator to a snapshot. s.mu must be held.
func (s *State) addOrder(r replica.Record, snap *Snapshot) {
	if !s.decoder.IsRolloutKey(r.Key) {
		return
	}
	if r.Deleted {
		delete(s.decodedOrders, r.Key)
		return
	}
	d := s.decodedOrderOf(r)
	if d.err != nil {
		return
	}
	if snap.Orders == nil {
		snap.Orders = map[service.Name]*rollout.Order{}
	}
	snap.Orders[d.order.Service] = &d.order
}

// decodedOrderOf decodes the order in a record, unless that was done before. A malformed one
// is logged, once if its writer repeats it. s.mu must be held.
func (s *State) decodedOrderOf(r replica.Record) decodedOrder {
	former, known := s.decodedOrders[r.Key]
	if known && former.epoch == r.Epoch && former.offset == r.Offset {
		return former
	}
	d := decodedOrder{epoch: r.Epoch, offset: r.Offset}
	d.order, d.err = s.decoder.DecodeRollout(r.Key, r.Value)
	d.order.ID = rollout.OrderID{Offset: uint64(r.Offset), ValueHash: xxhash.Sum64(r.Value)}
	isRepeated := known && former.err != nil && former.order.ID.ValueHash == d.order.ID.ValueHash
	if d.err != nil && !isRepeated {
		event.RolloutInvalid.Log(s.logger, zap.String("key", r.Key), errorField(d.err))
	}
	s.decodedOrders[r.Key] = d
	return d
}
