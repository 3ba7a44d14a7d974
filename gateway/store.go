package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
)

// ErrExpired is returned for a read from an offset whose records have expired.
var ErrExpired = eris.New("the records have expired")

// RefusalError is returned if the store answered a call with a status that is not a
// success.
type RefusalError struct {
	Status int
	// Text is the beginning of the response.
	Text string
}

func (e *RefusalError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Batch is the result of one read of the store.
type Batch struct {
	Records []replica.Record
	// NextOffset is the offset from which to read next, and EndOffset the end of the
	// topic.
	NextOffset, EndOffset replica.Offset
	// Epoch is the epoch of the store's offsets.
	Epoch replica.Epoch
	// HasGap is set if records between the requested offset and the first returned one
	// have expired.
	HasGap bool
}

// listing returns a batch that holds the newest record of each key.
func (b Batch) listing() replica.Listing {
	return replica.Listing{Records: b.Records, EndOffset: b.EndOffset, Epoch: b.Epoch}
}

// Store is a client of the platform's store.
type Store interface {
	// Read returns the records of a topic from an offset on. If there are none yet, it
	// waits for the first one, at most for the given time. It returns ErrExpired if the
	// store no longer has the record at the offset.
	Read(ctx context.Context, topic replica.Topic, from replica.Offset, wait time.Duration) (Batch, error)
	// ListNewest returns the newest record of each key of a topic.
	ListNewest(ctx context.Context, topic replica.Topic) (Batch, error)
	// Join makes this node a member for ttl, or renews its membership. The generation
	// is that of the last call; zero on the first one.
	Join(ctx context.Context, self vm.VM, ttl time.Duration, generation int64) (Membership, error)
	// Leave removes this node from the members.
	Leave(ctx context.Context, self vm.VM) error
	// ListMembers returns the current members.
	ListMembers(ctx context.Context) ([]vm.VM, error)
}

// Membership is the result of joining the nodes' group.
type Membership struct {
	// Generation is that of the partition assignment, to be confirmed by passing it to
	// the next call.
	Generation int64
	// PartitionCount is the number of partitions that this node holds and is to keep.
	PartitionCount int
	// NodeCount is an estimate of the number of members, from this node's share of the
	// partitions; zero if unknown.
	NodeCount int
}
