package canary

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/rollout"
	"github.com/apricotmount/apricotmount/service"
)

// ErrConflict is returned for a status that was not written because another record was
// written since the topic was read.
var ErrConflict = eris.New("the status topic has changed")

// Status is the status of an order in the store.
type Status struct {
	Service service.Name
	Version rollout.Version
	Order   rollout.OrderID
	// Phase is Observing while the roll-out runs, Succeeded or RolledBack.
	Phase     rollout.Phase
	StartedAt time.Time
}

// StatusEnd is the end of the status topic, at which a status is appended.
type StatusEnd uint64

// Store holds the statuses of orders.
type Store interface {
	// ReadStatus returns the status of a service, the zero value if there is none, and the
	// end of the topic.
	ReadStatus(ctx context.Context, name service.Name) (Status, StatusEnd, error)
	// WriteStatus appends a status. It returns ErrConflict if the topic does not end at end.
	WriteStatus(ctx context.Context, s Status, end StatusEnd) error
}
