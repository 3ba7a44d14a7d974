package backup

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replica"
)

// ErrNone is returned if no partition holds a snapshot.
var ErrNone = eris.New("there is no snapshot")

// read returns what a partition holds. A value that is malformed counts as none.
func read(ctx context.Context, store Store, t replica.Topic, p Partition) (h held, err error) {
	value, end, err := store.ReadBackup(ctx, t, p)
	if err != nil {
		return held{}, err
	}
	h.end = end
	if len(value) == 0 {
		return h, nil
	}
	if s, err := Decode(t, value); err == nil {
		h.snapshot = s
	}
	return h, nil
}

// settleTime is how long Latest waits for more partitions once one has responded with a
// snapshot: the others may be silent.
const settleTime = 250 * time.Millisecond

// Latest reads all partitions of the backup topic of t and returns the latest snapshot, and the
// number of partitions that responded. It returns ErrNone if none of these holds one or there is
// no partition, and the error of a call if no partition responded.
func Latest(ctx context.Context, store Store, t replica.Topic, partitionCount int) (latest Snapshot, responded int, err error) {
	defer func() { err = eris.Wrapf(err, "restore %s", t) }()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	type readResult struct {
		held held
		err  error
	}
	results := make(chan readResult, partitionCount)
	for p := range partitionCount {
		go func() {
			h, err := read(ctx, store, t, Partition(p))
			results <- readResult{h, err}
		}()
	}
	for range partitionCount {
		r := <-results
		if r.err != nil {
			err = r.err
			continue
		}
		responded++
		if latest.EndOffset == 0 && r.held.snapshot.EndOffset > 0 {
			defer time.AfterFunc(settleTime, cancel).Stop()
		}
		if r.held.snapshot.Compare(latest) > 0 {
			latest = r.held.snapshot
		}
	}
	switch {
	case responded == 0 && err != nil:
		return Snapshot{}, 0, err
	case latest.EndOffset == 0:
		return Snapshot{}, responded, ErrNone
	default:
		return latest, responded, nil
	}
}
