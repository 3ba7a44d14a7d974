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

// One node reads the store and all others hear from it. Who does is not agreed
// on: a node steps in when the last mark it heard is too old, and its own marks
// then keep the others from doing the same; of two readers the one with the
// lower number goes on.
const (
	// targetsReadInterval is the time between two reads of the targets' topic. Targets write
	// heartbeats all the time, so a read that waits for a record would return at
	// once.
	targetsReadInterval = 800 * time.Millisecond
	// takeoverAge and stepSpread say how old the last mark may be before other nodes
	// read.
	takeoverAge     = 1150 * time.Millisecond
	takeoverSpread = 550 * time.Millisecond
	// operatorReadWait is how long one read of the operator's topic waits for a record;
	// the operator writes seldom. A read that begins while a record is being written
	// may not be woken by it, so that the next one must still come in time.
	operatorReadWait = 1200 * time.Millisecond
	// storeTimeout bounds a call to the store besides what it waits for records.
	storeTimeout = 700 * time.Millisecond
	// minStoreRetryDelay and storeRetryMost bound the time after a failed call. Between
	// them it grows with the fleet, so that all nodes together try storeTries times
	// a second: whoever reaches the store first tells the others.
	minStoreRetryDelay     = 700 * time.Millisecond
	maxStoreRetryDelay = 5 * time.Second
	storeRetriesPerSecond     = 5
	// fleetStartWait is the longest that a node of a fleet that starts as a whole
	// waits for its peers before it reads the store itself.
	fleetStartWait = 6 * time.Second
	// rejoinWait is the same for one that starts while others run: they tell it
	// all sooner than the store does, unless they have just started too.
	rejoinWait = 60 * time.Millisecond
	// markCheckInterval is how often a node that does not read looks whether it should.
	markCheckInterval = 50 * time.Millisecond
)

// storeReader reads the store when it is this node's turn.
type storeReader struct {
	node *Node
	// isOperatorFresh says that a read of the operator's topic waits or has just
	// returned, so that what is known of it is as fresh as the store's last answer.
	isOperatorFresh atomic.Bool
	isStoreDown         atomic.Bool
}

// run reads in turn until ctx ends.
func (r *storeReader) run(ctx context.Context) {
	r.waitForPeers(ctx)
	for ctx.Err() == nil {
		r.waitUntilStale(ctx)
		r.readUntilReplaced(ctx)
	}
}

// waitForPeers gives peers time to tell a node that has just started. Of a fleet
// that starts as a whole few nodes begin to read early, however large it is.
func (r *storeReader) waitForPeers(ctx context.Context) {
	if r.node.settings.FirstStart {
		pause.For(ctx, lateBiasedDelay(fleetStartWait))
		return
	}
	r.node.listNodes(ctx)
	for deadline := time.Now().Add(rejoinWait); time.Now().Before(deadline) && !r.node.state.canServe() && ctx.Err() == nil; {
		pause.For(ctx, rejoinWait/20)
	}
}

// waitUntilStale returns when nobody else has read for too long.
func (r *storeReader) waitUntilStale(ctx context.Context) {
	patience := takeoverAge + lateBiasedDelay(takeoverSpread)
	for ctx.Err() == nil {
		if time.Since(r.node.state.oldestReadAt()) > patience {
			return
		}
		pause.For(ctx, markCheckInterval)
	}
}

// readUntilReplaced reads both topics until the store fails this node or another one reads.
func (r *storeReader) readUntilReplaced(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.readTargets(ctx); err != nil {
		r.backOff(ctx, err)
		return
	}
	event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", true))
	r.node.isReading.Store(true)
	defer r.node.isReading.Store(false)
	operator := make(chan error, 1)
	go func() { operator <- r.readOperatorLoop(ctx) }()
	for {
		wait := time.NewTimer(targetsReadInterval)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case err := <-operator:
			wait.Stop()
			r.backOff(ctx, err)
			return
		case <-wait.C:
		}
		if r.node.state.hasLowerReader(r.node.readerID()) {
			event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", false))
			return
		}
		if err := r.readTargets(ctx); err != nil {
			r.backOff(ctx, err)
			return
		}
	}
}

// readTargets reads what targets wrote, and tells peers.
func (r *storeReader) readTargets(ctx context.Context) error {
	began := time.Now()
	if err := r.readTopic(ctx, replica.Targets, 0); err != nil {
		return err
	}
	if r.isStoreDown.Swap(false) {
		event.StoreBack.Log(r.node.logger, zap.Int64("took-ms", time.Since(began).Milliseconds()))
	}
	if r.isOperatorFresh.Load() {
		r.node.state.confirmRead(replica.Operator, r.node.readerID(), time.Now())
	}
	r.node.broadcastRecords(nil)
	return nil
}

// readOperatorLoop reads the operator's topic until the store fails.
func (r *storeReader) readOperatorLoop(ctx context.Context) error {
	defer r.isOperatorFresh.Store(false)
	// The first read returns at once: until one has, nobody knows whether the topic
	// is as it was, and others would read too.
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

// readTopic reads what is new in a topic, or everything if records have expired.
func (r *storeReader) readTopic(ctx context.Context, topic replica.Topic, wait time.Duration) error {
	n := r.node
	b, listed, err := r.fetch(ctx, topic, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	var news []replica.Record
	if listed {
		news = n.state.applyListing(topic, b, "store", now)
	} else {
		news = n.state.applyRecords(topic, b.Records, "store", now)
	}
	wasKnown := n.state.canServe()
	n.state.applyMark(replica.Mark{Topic: topic, End: b.Next, Reader: n.readerID()}, now)
	if len(news) > 0 || !wasKnown && n.state.canServe() {
		n.applyState()
		n.broadcastRecords(news)
	}
	return nil
}

func (r *storeReader) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !r.isStoreDown.Swap(true) {
		event.StoreAway.Log(r.node.logger, zap.String("cause", eris.Cause(err).Error()))
	}
	pause.For(ctx, storeRetryDelay(len(r.node.state.fleetNodes(time.Now()))))
}

// storeRetryDelay is how long one of n nodes waits after a failed call.
func storeRetryDelay(n int) time.Duration {
	mean := min(max(time.Duration(n)*time.Second/storeRetriesPerSecond, minStoreRetryDelay), maxStoreRetryDelay)
	return mean/2 + rand.N(mean)
}

// lateBiasedDelay draws a time up to most such that of many nodes that draw only few are
// early: there is time for the first to tell the others.
func lateBiasedDelay(most time.Duration) time.Duration {
	return time.Duration(float64(most) * math.Sqrt(math.Sqrt(rand.Float64())))
}

// fetch reads a topic from where this node knows it, or lists it if it has not held
// all of it.
func (r *storeReader) fetch(ctx context.Context, topic replica.Topic, wait time.Duration) (b Batch, listed bool, err error) {
	end, at := r.node.state.readPosition(topic)
	if !at.IsZero() && r.node.state.isComplete(topic) {
		ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
		defer cancel()
		b, err = r.node.store.Read(ctx, topic, end, wait)
		if err == nil && !b.Skipped || err != nil && !eris.Is(err, ErrExpired) {
			return b, false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err = r.node.store.Newest(ctx, topic)
	return b, true, err
}

// broadcastRecords tells peers what was read, and how far.
func (n *Node) broadcastRecords(news []replica.Record) {
	n.hub.Broadcast(peer.Message{Records: news, Marks: n.state.marks(time.Now())}, nil)
}

const (
	// joinInterval is how often a node renews its membership, and joinTTL how long
	// that lasts.
	joinInterval = 8 * time.Second
	membershipTTL   = 25 * time.Second
	// minConfirmDelay is how soon a node renews a membership whose generation changed;
	// the time doubles while it goes on changing.
	minConfirmDelay = 350 * time.Millisecond
	// nodeListInterval is how often the node that reads lists the members.
	nodeListInterval = 5 * time.Second
	// initialListDelay is how long after its start a node lists the members at the
	// earliest: others that start with it have joined by then.
	initialListDelay = 500 * time.Millisecond
	// isolationTimeout is how long a node without links waits before it lists the
	// members itself.
	isolationTimeout = 4 * time.Second
)

// keepMembership renews the membership until ctx ends. A new generation is confirmed
// soon: only then does the store deal out again what this node held before, and
// members that hold nothing are not listed.
func (n *Node) keepMembership(ctx context.Context) {
	var generation int64
	settle := minConfirmDelay
	for ctx.Err() == nil && !n.isLeaving.Load() {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		next, err := n.store.Join(call, n.self, membershipTTL, generation)
		cancel()
		if err != nil {
			event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		}
		wait := joinInterval
		if err == nil && next != generation {
			wait = min(settle, joinInterval)
			settle *= 2
			generation = next
		} else {
			settle = minConfirmDelay
		}
		pause.For(ctx, pause.About(wait))
	}
}

// listNodesLoop learns of the other nodes: the node that reads the targets asks the
// store, and so does one that nobody speaks to.
func (n *Node) listNodesLoop(ctx context.Context) {
	pause.For(ctx, initialListDelay)
	lonely := time.Now()
	var listedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if len(n.hub.Links()) > 0 {
			lonely = now
		}
		due := n.isReading.Load() && now.Sub(listedAt) > nodeListInterval
		due = due || now.Sub(lonely) > isolationTimeout && now.Sub(listedAt) > isolationTimeout
		if due {
			listedAt = now
			n.listNodes(ctx)
		}
		pause.For(ctx, pause.About(4*markCheckInterval))
	}
}

func (n *Node) listNodes(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	nodes, err := n.store.Members(call)
	if err != nil {
		event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		return
	}
	if n.state.addNodes(nodes, time.Now()) {
		n.applyState()
		n.hub.Wake()
	}
	n.hub.Broadcast(peer.Message{Nodes: nodes}, nil)
}
