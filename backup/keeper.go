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
	// Bytes is the length of the encoded snapshot.
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
	value := s.Encode()
	result.Bytes = len(value)
	if limit := k.Limits.maxValueBytes(); len(value) > limit {
		return result, eris.Errorf("it has %d bytes, the store takes %d", len(value), limit)
	}
	err = k.saveUntilEnough(ctx, s, value, &result)
	return result, err
}

// saveUntilEnough saves a snapshot in as many partitions at once as lack it, until CopyCount
// hold it, one holds a later one or no partition is left.
func (k *Keeper) saveUntilEnough(ctx context.Context, s Snapshot, value []byte, result *SaveResult) (err error) {
	wanted := min(CopyCount, k.PartitionCount)
	var served, failed []Partition
	for rest := k.order; len(rest) > 0 && result.Copies < wanted && !result.IsOutdated; {
		round := rest[:min(wanted-result.Copies, len(rest))]
		rest = rest[len(round):]
		for _, o := range k.saveRound(ctx, round, s, value) {
			if o.err != nil {
				err = o.err
				failed = append(failed, o.partition)
				delete(k.known, o.partition)
				continue
			}
			k.known[o.partition] = o.held
			served = append(served, o.partition)
			result.add(o, s)
		}
	}
	k.reorder(served, failed)
	if result.Copies >= wanted || result.IsOutdated {
		return nil
	}
	return err
}

// add counts a partition that holds a snapshot or a later one.
func (r *SaveResult) add(o saveOutcome, s Snapshot) {
	r.Copies++
	if o.isWritten {
		r.Written++
	}
	r.IsOutdated = r.IsOutdated || o.held.snapshot.Compare(s) > 0
}

// hasContent reports whether a partition holds the content of a snapshot.
func (h held) hasContent(s Snapshot) bool {
	return h.snapshot.Epoch == s.Epoch && h.snapshot.Digest == s.Digest
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
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	outcomes := make([]saveOutcome, len(round))
	var wg sync.WaitGroup
	for i, p := range round {
		h, isKnown := k.known[p]
		wg.Go(func() {
			outcomes[i] = saveOutcome{partition: p, held: h}
			outcomes[i].err = k.saveOne(ctx, &outcomes[i], isKnown, s, value)
		})
	}
	wg.Wait()
	return outcomes
}

// saveOne saves a snapshot in a partition, unless that holds its content or a later one.
func (k *Keeper) saveOne(ctx context.Context, o *saveOutcome, isKnown bool, s Snapshot, value []byte) (err error) {
	if !isKnown {
		if o.held, err = read(ctx, k.Store, k.Topic, o.partition); err != nil {
			return err
		}
		o.held.snapshot.Records = nil
	}
	if o.held.hasContent(s) || o.held.snapshot.Compare(s) > 0 {
		return nil
	}
	end, err := k.Store.WriteBackup(ctx, k.Topic, o.partition, value, o.held.end)
	if err != nil {
		return err
	}
	s.Records = nil
	o.held, o.isWritten = held{end, s}, true
	return nil
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
