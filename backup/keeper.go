package backup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replica"
)

const (
	// CopyCount is the number of partitions that hold the latest snapshot of a topic.
	CopyCount = 3
	// CallTimeout bounds a call to the store, and a whole restore.
	CallTimeout = 700 * time.Millisecond
)

// Keeper saves snapshots of one topic. It is not safe for concurrent use.
type Keeper struct {
	Store Store
	Topic replica.Topic
	// PartitionCount is the number of partitions of the backup topic.
	PartitionCount int
	Limits         Limits

	// known holds what the Keeper has read from partitions, or written to them.
	known map[Partition]held
	// order holds all partitions, those that served the last call first.
	order []Partition
}

// held is the end of a partition and its latest snapshot, without the records.
type held struct {
	end      End
	snapshot Snapshot
}

// SaveResult states what Save has done.
type SaveResult struct {
	// Copies is the number of partitions that hold the snapshot, and Written that of those
	// it was written to.
	Copies, Written int
	// Bytes is the length of the encoded snapshot; zero if it was not encoded.
	Bytes int
	// IsOutdated reports whether a partition holds a later snapshot.
	IsOutdated bool
}

// Forget makes the next Save read each partition before it relies on it.
func (k *Keeper) Forget() {
	k.known = nil
}

// Save writes a snapshot to partitions that lack it until CopyCount hold it, and passes over
// partitions that do not respond. The error is that of the last failed call if there are
// fewer.
func (k *Keeper) Save(ctx context.Context, s Snapshot) (result SaveResult, err error) {
	defer func() { err = eris.Wrapf(err, "save a snapshot of %s", k.Topic) }()
	if k.known == nil {
		k.known = map[Partition]held{}
	}
	if len(k.order) == 0 {
		k.order = spread(k.PartitionCount, int(k.Topic))
	}
	var value []byte
	wanted := min(CopyCount, k.PartitionCount)
	var served, failed []Partition
	for rest := k.order; len(rest) > 0 && result.Copies < wanted && !result.IsOutdated; {
		round := rest[:min(wanted-result.Copies, len(rest))]
		rest = rest[len(round):]
		if value == nil && slices.ContainsFunc(round, func(p Partition) bool { return !k.holds(p, s) }) {
			value = s.Encode()
			result.Bytes = len(value)
		}
		if limit := k.Limits.maxValueBytes(); len(value) > limit {
			return result, eris.Errorf("it has %d bytes, the store takes %d", len(value), limit)
		}
		for _, o := range k.saveRound(ctx, round, s, value) {
			if o.err != nil {
				err = o.err
				failed = append(failed, o.partition)
				delete(k.known, o.partition)
				continue
			}
			k.known[o.partition] = o.held
			served = append(served, o.partition)
			result.IsOutdated = result.IsOutdated || o.held.snapshot.Compare(s) > 0
			result.Copies++
			if o.isWritten {
				result.Written++
			}
		}
	}
	k.reorder(served, failed)
	if result.Copies >= wanted || result.IsOutdated {
		return result, nil
	}
	return result, err
}

// holds reports whether a partition is known to hold the content of a snapshot.
func (k *Keeper) holds(p Partition, s Snapshot) bool {
	h, ok := k.known[p]
	return ok && h.snapshot.Epoch == s.Epoch && h.snapshot.Digest == s.Digest
}

// saveOutcome is the outcome of saving a snapshot in one partition.
type saveOutcome struct {
	partition Partition
	held      held
	isWritten bool
	err       error
}

// saveRound saves a snapshot in several partitions at once.
func (k *Keeper) saveRound(ctx context.Context, round []Partition, s Snapshot, value []byte) []saveOutcome {
	outcomes := make([]saveOutcome, len(round))
	var wg sync.WaitGroup
	for i, p := range round {
		h, isKnown := k.known[p]
		wg.Go(func() { outcomes[i] = k.saveOne(ctx, p, h, isKnown, s, value) })
	}
	wg.Wait()
	return outcomes
}

// saveOne saves a snapshot in a partition, unless that holds its content or a later one.
func (k *Keeper) saveOne(ctx context.Context, p Partition, h held, isKnown bool, s Snapshot, value []byte) (o saveOutcome) {
	o = saveOutcome{partition: p, held: h}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if !isKnown {
		if o.held, o.err = read(ctx, k.Store, k.Topic, p); o.err != nil {
			return o
		}
		o.held.snapshot.Records = nil
	}
	holds := o.held.snapshot.Epoch == s.Epoch && o.held.snapshot.Digest == s.Digest
	if holds || o.held.snapshot.Compare(s) > 0 {
		return o
	}
	end, err := k.Store.WriteBackup(ctx, k.Topic, p, value, o.held.end)
	if err != nil {
		o.err = err
		return o
	}
	s.Records = nil
	o.held, o.isWritten = held{end, s}, true
	return o
}

// reorder puts the partitions that served first and those that failed last.
func (k *Keeper) reorder(served, failed []Partition) {
	rest := slices.DeleteFunc(slices.Clone(k.order), func(p Partition) bool {
		return slices.Contains(served, p) || slices.Contains(failed, p)
	})
	k.order = slices.Concat(served, rest, failed)
}

// spread returns all partitions so that the first CopyCount lie far apart, beginning with
// first.
func spread(count, first int) (order []Partition) {
	step := max(1, count/CopyCount)
	for i := range step {
		for p := i; p < count; p += step {
			order = append(order, Partition((p+first)%count))
		}
	}
	return order
}
