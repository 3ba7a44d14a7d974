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
	// readEvery is the time between two reads of the targets' topic. Targets write
	// heartbeats all the time, so a read that waits for a record would return at
	// once.
	readEvery = 800 * time.Millisecond
	// stepIn and stepSpread say how old the last mark may be before other nodes
	// read.
	stepIn     = 1150 * time.Millisecond
	stepSpread = 550 * time.Millisecond
	// operatorWait is how long one read of the operator's topic waits for a record;
	// the operator writes seldom. A read that begins while a record is being written
	// may not be woken by it, so that the next one must still come in time.
	operatorWait = 1200 * time.Millisecond
	// storePatience bounds a call to the store besides what it waits for records.
	storePatience = 700 * time.Millisecond
	// storeRetry and storeRetryMost bound the time after a failed call. Between
	// them it grows with the fleet, so that all nodes together try storeTries times
	// a second: whoever reaches the store first tells the others.
	storeRetry     = 700 * time.Millisecond
	storeRetryMost = 5 * time.Second
	storeTries     = 5
	// startPatience is the longest that a node of a fleet that starts as a whole
	// waits for its peers before it reads the store itself.
	startPatience = 6 * time.Second
	// rejoinPatience is the same for one that starts while others run: they tell it
	// all sooner than the store does, unless they have just started too.
	rejoinPatience = 60 * time.Millisecond
	// checkEvery is how often a node that does not read looks whether it should.
	checkEvery = 50 * time.Millisecond
)

// reader reads the store when it is this node's turn.
type reader struct {
	node *Node
	// operatorOpen says that a read of the operator's topic waits or has just
	// returned, so that what is known of it is as fresh as the store's last answer.
	operatorOpen atomic.Bool
	away         atomic.Bool
}

// run reads in turn until ctx ends.
func (r *reader) run(ctx context.Context) {
	r.awaitPeers(ctx)
	for ctx.Err() == nil {
		r.await(ctx)
		r.turn(ctx)
	}
}

// awaitPeers gives peers time to tell a node that has just started. Of a fleet
// that starts as a whole few nodes begin to read early, however large it is.
func (r *reader) awaitPeers(ctx context.Context) {
	if r.node.settings.IsFirstFleetStart {
		pause.For(ctx, fewEarly(startPatience))
		return
	}
	r.node.listNodesOnce(ctx)
	for deadline := time.Now().Add(rejoinPatience); time.Now().Before(deadline) && !r.node.knowledge.known() && ctx.Err() == nil; {
		pause.For(ctx, rejoinPatience/20)
	}
}

// await returns when nobody else has read for too long.
func (r *reader) await(ctx context.Context) {
	patience := stepIn + fewEarly(stepSpread)
	for ctx.Err() == nil {
		if time.Since(r.node.knowledge.heardAt()) > patience {
			return
		}
		pause.For(ctx, checkEvery)
	}
}

// turn reads both topics until the store fails this node or another one reads.
func (r *reader) turn(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.readTargets(ctx); err != nil {
		r.failed(ctx, err)
		return
	}
	event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", true))
	r.node.reading.Store(true)
	defer r.node.reading.Store(false)
	operator := make(chan error, 1)
	go func() { operator <- r.followOperator(ctx) }()
	for {
		wait := time.NewTimer(readEvery)
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case err := <-operator:
			wait.Stop()
			r.failed(ctx, err)
			return
		case <-wait.C:
		}
		if r.node.knowledge.readerBefore(r.node.reader()) {
			event.ReaderTurn.Log(r.node.logger, zap.Bool("reading", false))
			return
		}
		if err := r.readTargets(ctx); err != nil {
			r.failed(ctx, err)
			return
		}
	}
}

// readTargets reads what targets wrote, and tells peers.
func (r *reader) readTargets(ctx context.Context) error {
	began := time.Now()
	if err := r.read(ctx, replica.Targets, 0); err != nil {
		return err
	}
	if r.away.Swap(false) {
		event.StoreBack.Log(r.node.logger, zap.Int64("took-ms", time.Since(began).Milliseconds()))
	}
	if r.operatorOpen.Load() {
		r.node.knowledge.confirm(replica.Operator, r.node.reader(), time.Now())
	}
	r.node.tell(nil)
	return nil
}

// followOperator reads the operator's topic until the store fails.
func (r *reader) followOperator(ctx context.Context) error {
	defer r.operatorOpen.Store(false)
	// The first read returns at once: until one has, nobody knows whether the topic
	// is as it was, and others would read too.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := r.read(ctx, replica.Operator, wait); err != nil {
			return err
		}
		wait = operatorWait
		if !r.operatorOpen.Swap(true) {
			r.node.tell(nil)
		}
	}
	return ctx.Err()
}

// read reads what is new in a topic, or everything if records have expired.
func (r *reader) read(ctx context.Context, topic replica.Topic, wait time.Duration) error {
	n := r.node
	b, listed, err := r.fetch(ctx, topic, wait)
	if err != nil {
		return err
	}
	now := time.Now()
	var news []replica.Record
	if listed {
		news = n.knowledge.takeListing(topic, b, "store", now)
	} else {
		news = n.knowledge.take(topic, b.Records, "store", now)
	}
	wasKnown := n.knowledge.known()
	n.knowledge.read(replica.ReadMark{Topic: topic, EndOffset: b.NextOffset, Reader: n.reader()}, now)
	if len(news) > 0 || !wasKnown && n.knowledge.known() {
		n.refresh()
		n.tell(news)
	}
	return nil
}

func (r *reader) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !r.away.Swap(true) {
		event.StoreAway.Log(r.node.logger, zap.String("cause", eris.Cause(err).Error()))
	}
	pause.For(ctx, retryAfter(len(r.node.knowledge.fleet(time.Now()))))
}

// retryAfter is how long one of n nodes waits after a failed call.
func retryAfter(n int) time.Duration {
	mean := min(max(time.Duration(n)*time.Second/storeTries, storeRetry), storeRetryMost)
	return mean/2 + rand.N(mean)
}

// fewEarly draws a time up to most such that of many nodes that draw only few are
// early: there is time for the first to tell the others.
func fewEarly(most time.Duration) time.Duration {
	return time.Duration(float64(most) * math.Sqrt(math.Sqrt(rand.Float64())))
}

// fetch reads a topic from where this node knows it, or lists it if it has not held
// all of it.
func (r *reader) fetch(ctx context.Context, topic replica.Topic, wait time.Duration) (b Batch, listed bool, err error) {
	end, at := r.node.knowledge.end(topic)
	if !at.IsZero() && r.node.knowledge.isWhole(topic) {
		ctx, cancel := context.WithTimeout(ctx, wait+storePatience)
		defer cancel()
		b, err = r.node.store.Read(ctx, topic, end, wait)
		if err == nil && !b.HasGap || err != nil && !eris.Is(err, ErrExpired) {
			return b, false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	b, err = r.node.store.ListNewest(ctx, topic)
	return b, true, err
}

// tell tells peers what was read, and how far.
func (n *Node) tell(news []replica.Record) {
	n.hub.Broadcast(peer.Message{Records: news, Marks: n.knowledge.marksNow(time.Now())}, nil)
}

const (
	// joinEvery is how often a node renews its membership, and joinTTL how long
	// that lasts.
	joinEvery = 8 * time.Second
	joinTTL   = 25 * time.Second
	// settleAfter is how soon a node renews a membership whose generation changed;
	// the time doubles while it goes on changing.
	settleAfter = 350 * time.Millisecond
	// listNodesEvery is how often the node that reads lists the members.
	listNodesEvery = 5 * time.Second
	// listAfter is how long after its start a node lists the members at the
	// earliest: others that start with it have joined by then.
	listAfter = 500 * time.Millisecond
	// lonelyAfter is how long a node without links waits before it lists the
	// members itself.
	lonelyAfter = 4 * time.Second
)

// keepMembership renews the membership until ctx ends. A new generation is confirmed
// soon: only then does the store deal out again what this node held before, and
// members that hold nothing are not listed.
func (n *Node) keepMembership(ctx context.Context) {
	var generation int64
	settle := settleAfter
	for ctx.Err() == nil && !n.leaving.Load() {
		call, cancel := context.WithTimeout(ctx, storePatience)
		next, err := n.store.Join(call, n.self, joinTTL, generation)
		cancel()
		if err != nil {
			event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		}
		wait := joinEvery
		if err == nil && next != generation {
			wait = min(settle, joinEvery)
			settle *= 2
			generation = next
		} else {
			settle = settleAfter
		}
		pause.For(ctx, pause.Jitter(wait))
	}
}

// listNodes learns of the other nodes: the node that reads the targets asks the
// store, and so does one that nobody speaks to.
func (n *Node) listNodes(ctx context.Context) {
	pause.For(ctx, listAfter)
	lonely := time.Now()
	var listedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if len(n.hub.Links()) > 0 {
			lonely = now
		}
		due := n.reading.Load() && now.Sub(listedAt) > listNodesEvery
		due = due || now.Sub(lonely) > lonelyAfter && now.Sub(listedAt) > lonelyAfter
		if due {
			listedAt = now
			n.listNodesOnce(ctx)
		}
		pause.For(ctx, pause.Jitter(4*checkEvery))
	}
}

func (n *Node) listNodesOnce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	nodes, err := n.store.ListMembers(call)
	if err != nil {
		event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		return
	}
	if n.knowledge.takeNodes(nodes, time.Now()) {
		n.refresh()
		n.hub.Wake()
	}
	n.hub.Broadcast(peer.Message{Nodes: nodes}, nil)
}
