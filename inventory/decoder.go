package inventory

import (
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/zone"
)

// Decoder decodes the keys and values of the store's records.
type Decoder interface {
	// IsPlanKey reports whether a key of the operator topic holds the plan.
	IsPlanKey(key string) bool
	// WithdrawnZone returns the zone that a key of the operator topic takes out of
	// service; ok is false for any other key.
	WithdrawnZone(key string) (z zone.Name, ok bool)
	// IsRolloutKey reports whether a key of the operator topic holds an order to roll out
	// a version.
	IsRolloutKey(key string) bool
	// DecodeRollout decodes an order, without its ID; the error names the invalid fields.
	DecodeRollout(key string, value []byte) (rollout.Order, error)
	// DecodePlan decodes a plan.
	DecodePlan(value []byte) (*Plan, error)
	// DecodeTarget decodes a target's record; ok is false if it does not name a usable
	// target.
	DecodeTarget(id string, value []byte) (t TargetRecord, ok bool)
	// Rules returns the rules that compare the records of a topic.
	Rules(topic replica.Topic) replica.Rules
}
