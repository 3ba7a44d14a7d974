package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
)

const (
	// snapshotCheckInterval is the time between two checks whether a snapshot is due,
	// and maxRecordsSinceSnapshot the number of records after the last snapshot from
	// which another one is due.
	snapshotCheckInterval   = 5 * time.Second
	maxRecordsSinceSnapshot = 500
	// snapshotAgeDivisor divides the log's retention; a snapshot older than the
	// quotient is replaced.
	snapshotAgeDivisor = 4
	// snapshotRankDelay is how long a node waits for each node that ranks before it.
	// It also bounds the append.
	snapshotRankDelay = 2 * time.Second
)

// writeSnapshots writes a snapshot of the configuration to the log when one is due.
// Each node waits in proportion to its rank, which is drawn from the offset, so
// that usually one node writes. A second snapshot does no harm.
func (n *Node) writeSnapshots(ctx context.Context) {
	runPeriodically(ctx, snapshotCheckInterval, func() {
		if !n.isSnapshotDue() {
			return
		}
		pause.For(ctx, time.Duration(n.snapshotRank(uint64(n.configState.Current().NextOffset)))*snapshotRankDelay)
		if ctx.Err() != nil || !n.isSnapshotDue() {
			return
		}
		c := n.configState.Current()
		appendCtx, cancel := context.WithTimeout(ctx, snapshotRankDelay)
		defer cancel()
		if _, err := n.platform.Log.Append(appendCtx, config.Stream, config.EncodeSnapshot(c)); err == nil {
			event.ConfigSnapshot.Log(n.logger, zap.Uint64("covers", uint64(c.NextOffset)))
		}
	})
}

func (n *Node) isSnapshotDue() bool {
	return n.configState.SnapshotDue(time.Now(), n.settings.LogRetention/snapshotAgeDivisor, maxRecordsSinceSnapshot)
}

// snapshotRank returns this node's rank among the live members for the key, by
// highest random weight. The first rank is 0.
func (n *Node) snapshotRank(key uint64) (rank int) {
	self := n.members.Self().Incarnation
	live := n.members.Live()
	for len(live) > 1 {
		first := member.Owner(live, key)
		if first == self {
			return rank
		}
		rank++
		live = withoutMember(live, first)
	}
	return rank
}

func withoutMember(list []member.Entry, i member.Incarnation) (out []member.Entry) {
	for _, e := range list {
		if e.Incarnation != i {
			out = append(out, e)
		}
	}
	return out
}
