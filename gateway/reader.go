package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

// One node reads the store and forwards the records to all others. There is no
// election: a node takes over when the last mark it received is too old, and its own
// marks then keep the others from taking over. If several nodes read, the one with the
// lowest reader ID continues.
const (
	// targetsReadInterval is the time between two reads of the targets topic. These
	// reads do not wait for a record: targets write heartbeats all the time, so the
	// wait would end at once.
	targetsReadInterval = 800 * time.Millisecond
	// takeoverAge is the age of the last mark from which another node may take over
	// reading; each node adds a random delay of up to takeoverSpread.
	takeoverAge    = 1150 * time.Millisecond
	takeoverSpread = 550 * time.Millisecond
	// operatorReadWait is how long one read of the operator topic waits for a record,
	// since the operator writes rarely. The store may fail to wake a read that began
	// while a record was being written, so the next read must still be in time.
	operatorReadWait = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store, in addition to the time that it waits
	// for records.
	storeTimeout = 700 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the mean delay after a failed
	// call. Between them the delay grows with the number of nodes, so that the fleet
	// retries storeRetriesPerSecond times per second: the first node that reaches the
	// store forwards the records to the others.
	minStoreRetryDelay    = 700 * time.Millisecond
	maxStoreRetryDelay    = 5 * time.Second
	storeRetriesPerSecond = 5
	// fleetStartWait is the maximum wait for records of peers before a node reads the
	// store itself, if the whole fleet starts.
	fleetStartWait = 6 * time.Second
	// rejoinWait is the same for a node that starts while others run: they send it all
	// records sooner than the store does, unless they have just started too.
	rejoinWait = 60 * time.Millisecond
	// restartSpreadPerNode, for each node of the fleet and up to maxRestartSpread, is the
	// time over which the nodes of a fleet that was killed begin to read after that: long
	// enough that the first to do so can send the records to most of the others.
	restartSpreadPerNode = 500 * time.Microsecond
	maxRestartSpread     = 200 * time.Millisecond
	// conditionCheckInterval is the time between two checks of a condition.
	conditionCheckInterval = 3 * time.Millisecond
	// markCheckInterval is the time between two checks of the last mark's age by a node
	// that does not read.
	markCheckInterval = 50 * time.Millisecond
)

// storeReader reads the store while no other node does.
type storeReader struct {
	node *Node
	// isOperatorFresh is set while a read of the operator topic waits or has just
	// returned: the copy of the topic is then as fresh as the last response of the store.
	isOperatorFresh atomic.Bool
	isStoreDown     atomic.Bool
}

// run alternates between waiting for its turn to read and reading, until ctx ends.
func (r *storeReader) run(ctx context.Context) {
	r.waitForPeers(ctx)
	for ctx.Err() == nil {
		r.waitUntilStale(ctx)
		r.readUntilReplaced(ctx)
	}
}

// waitForPeers gives peers time to send their records to a node that has just started.
// If the whole fleet starts, few nodes begin to read early, whatever its size. If a node
// restarts, all others may have been killed with it: all list the members at once, so
// that they are linked soon, but the first few to read send the records to the others.
func (r *storeReader) waitForPeers(ctx context.Context) {
	n := r.node
	if n.settings.IsFirstFleetStart {
		pause.For(ctx, lateBiasedDelay(fleetStartWait))
		return
	}
	n.listNodes(ctx)
	n.waitUntil(ctx, rejoinWait, n.state.canServe)
	n.waitUntil(ctx, lateBiasedDelay(restartSpread(int(n.estimatedNodeCount.Load()))), n.state.canServe)
}

// restartSpread returns the time over which nodeCount nodes that restart together begin
// to read.
func restartSpread(nodeCount int) time.Duration {
	return min(time.Duration(nodeCount)*restartSpreadPerNode, maxRestartSpread)
}

// estimateFleet records the number of members that a join has told; zero means unknown.
func (n *Node) estimateFleet(nodeCount int) {
	if nodeCount > 0 {
		n.estimatedNodeCount.Store(int64(nodeCount))
	}
}

// waitUntil waits until a condition holds, at most for the given time.
func (n *Node) waitUntil(ctx context.Context, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && !condition() && ctx.Err() == nil; {
		pause.For(ctx, conditionCheckInterval)
	}
}

// waitUntilStale returns when the last mark is older than takeoverAge plus a random
// delay, or when ctx ends.
func (r *storeReader) waitUntilStale(ctx context.Context) {
	maxAge := takeoverAge + lateBiasedDelay(takeoverSpread)
	for ctx.Err() == nil {
		if time.Since(r.node.state.oldestReadAt()) > maxAge {
			return
		}
		pause.For(ctx, markCheckInterval)
	}
}

// readUntilReplaced reads both topics until a call to the store fails, a reader with a
// lower ID is active or ctx ends.
func (r *storeReader) readUntilReplaced(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.readTargets(ctx); err != nil {
		r.backOff(ctx, err)
		return
	}
	event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", true))
	if len(r.node.hub.Links()) == 0 {
		// Others may have begun to read as well, as after an outage that began before
		// the nodes had met. Only links show it.
		r.node.listNodes(ctx)
	}
	r.node.isReading.Store(true)
	defer r.node.isReading.Store(false)
	operatorErr := make(chan error, 1)
	go func() { operatorErr <- r.readOperatorLoop(ctx) }()
	for {
		timer := time.NewTimer(targetsReadInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case err := <-operatorErr:
			timer.Stop()
			r.backOff(ctx, err)
			return
		case <-timer.C:
		}
		if r.node.state.hasLowerReader(replica.Targets, r.node.readerID()) {
			event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", false))
			return
		}
		if err := r.readTargets(ctx); err != nil {
			r.backOff(ctx, err)
			return
		}
	}
}

// readTargets reads the new records of the targets topic and broadcasts the marks.
func (r *storeReader) readTargets(ctx context.Context) error {
	start := time.Now()
	if err := r.readTopic(ctx, replica.Targets, 0); err != nil {
		return err
	}
	if r.isStoreDown.Swap(false) {
		event.StoreBack.Log(r.node.logger, zap.Int64("took-ms", time.Since(start).Milliseconds()))
	}
	if r.isOperatorFresh.Load() {
		r.node.state.confirmRead(replica.Operator, r.node.readerID(), time.Now())
	}
	r.node.broadcastRecords(nil)
	return nil
}

// readOperatorLoop reads the operator topic until a call to the store fails or ctx ends.
func (r *storeReader) readOperatorLoop(ctx context.Context) error {
	defer r.isOperatorFresh.Store(false)
	// The first read does not wait for a record: until it returns, the node cannot
	// confirm that its copy is current, and other nodes would start to read too.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := r.readTopic(ctx, replica.Operator, wait); err != nil {
			return err
		}
		wait = operatorReadWait
		if !r.isOperatorFresh.Swap(true) {
			r.node.broadcastRecords(nil)
		}
	}
	return ctx.Err()
}

// readTopic reads the new records of a topic, or lists all if some have expired. It
// applies and broadcasts them.
func (r *storeReader) readTopic(ctx context.Context, topic replica.Topic, wait time.Duration) error {
	n := r.node
	batch, listed, err := r.fetch(ctx, topic, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	var changed []replica.Record
	if listed {
		changed = n.state.applyListing(topic, batch, "store", now)
	} else {
		changed = n.state.applyRecords(topic, batch.Records, "store", now)
	}
	couldServe := n.state.canServe()
	n.state.finishRead(replica.ReadMark{Topic: topic, EndOffset: batch.NextOffset, Reader: n.readerID(), Epoch: batch.Epoch}, now)
	if len(changed) > 0 || !couldServe && n.state.canServe() {
		n.applyState()
		n.broadcastRecords(changed)
	}
	return nil
}

// backOff logs the first failed call of an outage and waits before the next call.
func (r *storeReader) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !r.isStoreDown.Swap(true) {
		event.StoreAway.Log(r.node.logger, zap.String("cause", eris.Cause(err).Error()))
	}
	pause.For(ctx, storeRetryDelay(len(r.node.state.fleetNodes(time.Now()))))
}

// storeRetryDelay returns a random delay before one of nodeCount nodes retries a failed
// call.
func storeRetryDelay(nodeCount int) time.Duration {
	mean := min(max(time.Duration(nodeCount)*time.Second/storeRetriesPerSecond, minStoreRetryDelay), maxStoreRetryDelay)
	return mean/2 + rand.N(mean)
}

// lateBiasedDelay returns a random delay of at most maxDelay that is rarely short. Of many
// nodes only a few act early, and the first has time to inform the others.
func lateBiasedDelay(maxDelay time.Duration) time.Duration {
	return time.Duration(float64(maxDelay) * math.Sqrt(math.Sqrt(rand.Float64())))
}

// fetch reads a topic from the end of this node's copy. It lists the topic if the copy
// needs it, if the records to read have expired or if the store has begun a new epoch;
// listed reports which.
func (r *storeReader) fetch(ctx context.Context, topic replica.Topic, wait time.Duration) (batch Batch, listed bool, err error) {
	state := r.node.state
	end, readAt := state.readPosition(topic)
	if !readAt.IsZero() && !state.needsListing(topic, time.Now()) {
		batch, err = r.read(ctx, topic, end, wait)
		if err != nil && !eris.Is(err, ErrExpired) {
			return batch, false, err
		}
		if err == nil && !batch.HasGap && batch.Epoch == state.epoch(topic) {
			return batch, false, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	batch, err = r.node.store.ListNewest(ctx, topic)
	if err == nil && batch.Epoch < state.epoch(topic) {
		return Batch{}, true, errEarlierEpoch
	}
	return batch, true, err
}

// errEarlierEpoch is returned if the store answers from an epoch that it has left.
var errEarlierEpoch = eris.New("the store's records are of an earlier epoch")

// read reads a topic from an offset on, within storeTimeout after the wait.
func (r *storeReader) read(ctx context.Context, topic replica.Topic, from replica.Offset, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	return r.node.store.Read(ctx, topic, from, wait)
}

// broadcastRecords sends new records to all peers, with the marks of the topics.
func (n *Node) broadcastRecords(changed []replica.Record) {
	n.hub.Broadcast(peer.Message{Records: changed, Marks: n.state.marks(time.Now(), replica.Operator, replica.Targets)}, nil)
}
