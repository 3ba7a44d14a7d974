package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

const (
	// joinInterval is the time between two renewals of a membership, and membershipTTL
	// how long a membership lasts without one. Peers keep a node that is no longer
	// listed for inventory.NodeRetention, so a shorter time would not drop it sooner.
	joinInterval  = 20 * time.Second
	membershipTTL = 65 * time.Second
	// maxUnconfirmedPartitions is the number of partitions up to which a node confirms a
	// new generation with its next renewal: others do not wait for so few.
	maxUnconfirmedPartitions = 8
	// minConfirmDelay is the delay before a node confirms a new generation. It doubles
	// while the generation keeps changing.
	minConfirmDelay = 350 * time.Millisecond
	// nodeListInterval is the time between two listings of the members by the node that
	// reads the targets topic.
	nodeListInterval = 5 * time.Second
	// initialListDelay is the time from the start of a node until listNodesLoop may list
	// the members: nodes that start with it have joined by then.
	initialListDelay = 500 * time.Millisecond
	// isolationTimeout is how long a node without links waits before it lists the
	// members itself, and the time between two such listings. After a failed one it tries
	// again after listRetryDelay.
	isolationTimeout = 4 * time.Second
	listRetryDelay   = time.Second
)

// keepMembership renews the membership until ctx ends or the node leaves. A node that has
// partitions to release confirms a new generation of the partition assignment soon,
// without waiting for joinInterval: only then does the store reassign them, and it does
// not list members that hold no partition.
func (n *Node) keepMembership(ctx context.Context) {
	var generation int64
	var epoch replica.Epoch
	partitionCount := 0
	confirmDelay := minConfirmDelay
	for ctx.Err() == nil && !n.isLeaving.Load() {
		before := epoch
		if epoch = n.state.Epoch(replica.Targets); before != 0 && epoch != before {
			// A restored store may not know the generation.
			generation = 0
		}
		m, err := n.join(ctx, generation)
		if eris.Is(err, errLeaving) {
			return
		}
		wait := joinInterval
		if err != nil {
			event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
			// Until it has joined, the others do not find this node.
			wait = pacing.RetryDelay(n.linkAndNodeCount())
		}
		n.estimateFleet(m.NodeCount)
		mayRelease := m.PartitionCount < partitionCount || m.PartitionCount > maxUnconfirmedPartitions
		if err == nil && m.Generation != generation && mayRelease {
			wait = min(confirmDelay, joinInterval)
			confirmDelay *= 2
		} else {
			confirmDelay = minConfirmDelay
		}
		if err == nil {
			generation, partitionCount = m.Generation, m.PartitionCount
		}
		pause.For(ctx, pause.Jitter(wait))
	}
}

// join renews the membership, unless the node leaves.
func (n *Node) join(ctx context.Context, generation int64) (Membership, error) {
	n.membershipMu.Lock()
	defer n.membershipMu.Unlock()
	if n.isLeaving.Load() {
		return Membership{}, errLeaving
	}
	ctx, cancel := context.WithTimeout(ctx, pacing.StoreTimeout)
	defer cancel()
	return n.store.Join(ctx, n.self, membershipTTL, generation)
}

var errLeaving = eris.New("the node is leaving")

// leave ends the membership, after a call that renews it.
func (n *Node) leave() {
	n.membershipMu.Lock()
	defer n.membershipMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.store.Leave(ctx, n.self); err != nil {
		event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
	}
}

// listNodesLoop lists the members regularly, if this node reads the targets topic or has been
// without links for isolationTimeout.
func (n *Node) listNodesLoop(ctx context.Context) {
	pause.For(ctx, initialListDelay)
	lastLinkedAt := time.Now()
	var listedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if len(n.hub.Links()) > 0 {
			lastLinkedAt = now
		}
		isDue := n.isReading[replica.Targets].Load() && now.Sub(listedAt) > nodeListInterval
		isDue = isDue || now.Sub(lastLinkedAt) > isolationTimeout && now.Sub(listedAt) > isolationTimeout
		isDue = isDue || n.hasListingFailed.Load() && len(n.hub.Links()) == 0 && now.Sub(listedAt) > listRetryDelay
		if isDue {
			listedAt = now
			n.listNodes(ctx)
		}
		pause.For(ctx, pause.Jitter(4*pacing.MarkCheckInterval))
	}
}

// listNodes lists the members once and broadcasts them.
func (n *Node) listNodes(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, pacing.StoreTimeout)
	defer cancel()
	nodes, err := n.store.ListMembers(callCtx)
	n.hasListingFailed.Store(err != nil)
	if err != nil {
		event.MembershipLost.Log(n.logger, zap.String("cause", eris.Cause(err).Error()))
		return
	}
	if n.state.AddNodes(nodes, time.Now()) {
		n.applyState()
		n.hub.Wake()
	}
	n.hub.Broadcast(peer.Message{Nodes: nodes}, nil)
}
