package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// ErrExpired says that the records asked for are no longer kept.
var ErrExpired = eris.New("the records have expired")

// Batch is what one read of the store returns.
type Batch struct {
	Records []replica.Record
	// Next is the offset to read from next, and End where the topic ended.
	NextOffset, EndOffset replica.Offset
	// Skipped says that records before the first returned one have expired.
	HasGap bool
}

// Store is the platform's store as a node uses it.
type Store interface {
	// Read returns the records of a topic from an offset on, waiting up to the
	// given time for the first. ErrExpired says that they are gone.
	Read(ctx context.Context, topic replica.Topic, from replica.Offset, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	ListNewest(ctx context.Context, topic replica.Topic) (Batch, error)
	// Join makes this node a member for a time, and returns the generation to
	// pass next time.
	Join(ctx context.Context, self vm.VM, ttl time.Duration, generation int64) (next int64, err error)
	// Leave ends this node's membership.
	Leave(ctx context.Context, self vm.VM) error
	// Members returns the nodes that are members now.
	ListMembers(ctx context.Context) ([]vm.VM, error)
}

// Decoder reads the store's records.
type Decoder interface {
	// IsPlan reports whether a key of the operator holds the plan, and Withdrawn
	// which zone one takes out of service.
	IsPlanKey(key string) bool
	WithdrawnZone(key string) (z zone.Name, ok bool)
	// Plan decodes the operator's plan.
	DecodePlan(value []byte) (*Plan, error)
	// Target decodes a target's word; ok is false if it names none.
	DecodeTarget(id string, value []byte) (t TargetRecord, ok bool)
	// TargetRules compare targets' words.
	TargetRules() replica.Rules
}
