package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

// One node reads a topic of the store and forwards its records to all others. There is no
// election: a node takes over when the last mark it received is too old, and its own marks
// then keep the others from taking over. If several nodes read a topic, the one with the
// lowest reader ID continues. The topics are read independently, since the part of the
// store that holds one may be away.

// readStore reads the topics of the store while no other node does, until ctx ends.
func (n *Node) readStore(ctx context.Context) {
	n.waitForPeers(ctx)
	for t := range replica.TopicCount {
		r := &topicReader{node: n, topic: t, backup: n.newBackupLoop(t)}
		if n.backups != nil {
			n.goroutines.Go(func() { r.backup.Run(ctx) })
		}
		n.goroutines.Go(func() { r.run(ctx) })
	}
}

// topicReader reads one topic of the store while no other node does.
type topicReader struct {
	node  *Node
	topic replica.Topic
	// backup saves what this node has read.
	backup *backup.Loop
	// nextRestore is when the node may next try to restore the topic.
	nextRestore time.Time
	// isAway reports whether the last call failed.
	isAway bool
	// isReplaced reports whether a reader with a lower ID was active before the last read
	// was finished, which made this node the last reader again.
	isReplaced bool
}

// run alternates between waiting for its turn to read and reading, until ctx ends.
func (r *topicReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.waitUntilStale(ctx)
		if err := r.readUntilReplaced(ctx); err != nil {
			r.restore(ctx)
			r.backOff(ctx, err)
		}
	}
}

// waitUntilStale returns when the last mark is older than takeoverAge plus a random
// delay, or when ctx ends.
func (r *topicReader) waitUntilStale(ctx context.Context) {
	maxAge := pacing.TakeoverAge()
	for ctx.Err() == nil && r.node.state.MarkAge(r.topic, time.Now()) <= maxAge {
		pause.For(ctx, pacing.MarkCheckInterval)
	}
}

// readUntilReplaced reads the topic until a call to the store fails, a reader with a lower
// ID is active or ctx ends.
func (r *topicReader) readUntilReplaced(ctx context.Context) error {
	// The first read does not wait for a record: until it returns, the node has no mark,
	// and other nodes would start to read too.
	start := time.Now()
	if err := r.readAll(ctx, 0); err != nil {
		return err
	}
	r.isReplaced = false
	r.beginTurn(ctx, start)
	defer r.node.isReading[r.topic].Store(false)
	for {
		if !r.pauseBetweenReads(ctx, start) {
			return ctx.Err()
		}
		if r.isReplaced || r.node.state.HasLowerReader(r.topic, r.node.readerID()) {
			event.ReaderTurn.Log(r.node.logger, zap.Stringer("topic", r.topic), zap.Bool("reading", false))
			return nil
		}
		start = time.Now()
		err := r.readAll(ctx, r.wait())
		if err != nil && ctx.Err() == nil && !isRefusal(err) {
			// The connection may have gone silent; the client opens another one.
			err = r.readAll(ctx, 0)
		}
		if err != nil {
			r.backup.NotifyLost()
			return err
		}
		// After an outage many nodes make a first read; only the one that goes on saves.
		r.backup.NotifyRead()
	}
}

// beginTurn logs that the node reads the topic, after its first read, which began at start.
func (r *topicReader) beginTurn(ctx context.Context, start time.Time) {
	n := r.node
	if r.isAway {
		r.isAway = false
		event.StoreBack.Log(n.logger, zap.Stringer("topic", r.topic), zap.Int64("took-ms", time.Since(start).Milliseconds()))
	}
	event.ReaderTurn.Log(n.logger, zap.Stringer("topic", r.topic), zap.Bool("reading", true))
	n.isReading[r.topic].Store(true)
	if r.topic == replica.Targets && len(n.hub.Links()) == 0 {
		// Others may have begun to read as well, as after an outage that began before
		// the nodes had met. Only links show it.
		n.listNodes(ctx)
	}
}

// wait returns how long a read of the topic waits for a record.
func (r *topicReader) wait() time.Duration {
	if r.topic == replica.Operator {
		return pacing.OperatorReadWait
	}
	return 0
}

// pauseBetweenReads waits until the next read, after one that began at start, and reports
// whether ctx is not done. A topic whose reads wait for a record needs no pause.
func (r *topicReader) pauseBetweenReads(ctx context.Context, start time.Time) bool {
	if r.topic == replica.Targets {
		pause.For(ctx, time.Until(start.Add(pacing.TargetsReadInterval)))
	}
	return ctx.Err() == nil
}

// readAll reads the topic up to its end. Only then does a mark say that this node knows all
// of it.
func (r *topicReader) readAll(ctx context.Context, wait time.Duration) error {
	for {
		hasMore, err := r.readOnce(ctx, wait)
		if err != nil || !hasMore {
			return err
		}
		wait = 0
	}
}

// readOnce reads the new records of the topic, or lists all if some have expired. It applies
// and broadcasts them, and reports whether there are more.
func (r *topicReader) readOnce(ctx context.Context, wait time.Duration) (hasMore bool, err error) {
	n := r.node
	start := time.Now()
	batch, listed, err := r.fetch(ctx, wait)
	if err != nil {
		return false, err
	}
	now := time.Now()
	readAt := now
	if len(batch.Records) == 0 || wait == 0 {
		// The answer may have been late: it tells of no later time for sure.
		readAt = start.Add(min(wait, now.Sub(start)))
	}
	couldServe := n.state.CanServe()
	var changed []replica.Record
	if listed {
		changed = n.state.ApplyListing(r.topic, batch.listing(), "store", now)
	} else {
		changed = n.state.ApplyRecords(r.topic, batch.Records, "store", now)
	}
	hasMore = !listed && batch.NextOffset < batch.EndOffset && len(batch.Records) > 0
	if !hasMore {
		r.isReplaced = n.state.HasLowerReader(r.topic, n.readerID())
		n.state.FinishRead(replica.ReadMark{Topic: r.topic, EndOffset: batch.NextOffset, Reader: n.readerID(), Epoch: batch.Epoch}, readAt)
	}
	// The peers need not wait until this node has applied a long plan.
	n.hub.Broadcast(peer.Message{Records: changed, Marks: n.state.Marks(time.Now(), r.topic)}, nil)
	if len(changed) > 0 || !couldServe && n.state.CanServe() {
		n.applyState()
	}
	return hasMore, nil
}

// fetch reads the topic from the end of this node's copy. It lists the topic if the copy
// needs it, if the records to read have expired or if the store has begun a new epoch;
// listed reports which.
func (r *topicReader) fetch(ctx context.Context, wait time.Duration) (batch Batch, listed bool, err error) {
	state := r.node.state
	end, readAt := state.ReadPosition(r.topic)
	if !readAt.IsZero() && !state.NeedsListing(r.topic, time.Now()) {
		batch, err = r.read(ctx, end, wait)
		if err != nil && !eris.Is(err, ErrExpired) {
			return batch, false, err
		}
		if err == nil && !batch.HasGap && batch.Epoch == state.Epoch(r.topic) {
			return batch, false, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pacing.StoreTimeout)
	defer cancel()
	batch, err = r.node.store.ListNewest(ctx, r.topic)
	if err == nil && batch.Epoch < state.Epoch(r.topic) {
		return Batch{}, true, errEarlierEpoch
	}
	return batch, true, err
}

// errEarlierEpoch is returned if the store answers from an epoch that it has left.
var errEarlierEpoch = eris.New("the store's records are of an earlier epoch")

// isRefusal reports whether the store answered a call with an error.
func isRefusal(err error) bool {
	var refusal *RefusalError
	return eris.As(err, &refusal) || eris.Is(err, errEarlierEpoch)
}

// read reads the topic from an offset on, within pacing.StoreTimeout after the wait.
func (r *topicReader) read(ctx context.Context, from replica.Offset, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pacing.StoreTimeout)
	defer cancel()
	return r.node.store.Read(ctx, r.topic, from, wait)
}

// backOff logs the first failed call of an outage and waits before the next call.
func (r *topicReader) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n := r.node
	if !r.isAway {
		r.isAway = true
		event.StoreAway.Log(n.logger, zap.Stringer("topic", r.topic), zap.String("cause", eris.Cause(err).Error()), n.readAgeField("age-ms", r.topic, time.Now()))
	}
	delay := pacing.RetryDelay
	if !n.state.HasBeenComplete(r.topic) {
		delay = pacing.RetryDelayWithoutCopy
	}
	pause.For(ctx, delay(n.linkAndNodeCount()))
}
