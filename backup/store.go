package backup

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replica"
)

// Partition is the number of a partition of a backup topic, from 0.
type Partition int

// End is the end of a partition, at which the next value is appended.
type End uint64

// ErrConflict is returned for a value that was not written because the partition has another
// end.
var ErrConflict = eris.New("the partition has changed")

// Store holds the backup topics.
type Store interface {
	// ReadBackup returns the latest value in a partition of the backup topic of t, empty if
	// there is none, and the partition's end.
	ReadBackup(ctx context.Context, t replica.Topic, p Partition) (value []byte, end End, err error)
	// WriteBackup replaces the value of a partition and returns its new end. It returns
	// ErrConflict if the partition does not end at end.
	WriteBackup(ctx context.Context, t replica.Topic, p Partition, value []byte, end End) (End, error)
}
