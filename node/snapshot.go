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
	// snapshotEvery is how often the need of a snapshot is looked at, and
	// snapshotRecords how many records may be behind it.
	snapshotEvery   = 5 * time.Second
	snapshotRecords = 500
	// snapshotShare is the part of the log's retention after which a snapshot
	// is renewed, as a divisor.
	snapshotShare = 4
	// snapshotTurn is how long each node in line waits for the one before it.
	snapshotTurn = 2 * time.Second
)

// writeSnapshots writes a snapshot of the configuration when one is due. Nodes
// stand in line by a weight drawn from the offset; each waits for those before
// it, so that usually one writes. Two that write do no harm.
func (n *Node) writeSnapshots(ctx context.Context) {
	every(ctx, snapshotEvery, func() {
		if !n.snapshotDue() {
			return
		}
		pause.For(ctx, time.Duration(n.place(uint64(n.book.Current().NextOffset)))*snapshotTurn)
		if ctx.Err() != nil || !n.snapshotDue() {
			return
		}
		c := n.book.Current()
		appendCtx, cancel := context.WithTimeout(ctx, snapshotTurn)
		defer cancel()
		if _, err := n.platform.Log.Append(appendCtx, config.Stream, config.EncodeSnapshot(c)); err == nil {
			event.ConfigSnapshot.Log(n.logger, zap.Uint64("covers", uint64(c.NextOffset)))
		}
	})
}

func (n *Node) snapshotDue() bool {
	return n.book.SnapshotDue(time.Now(), n.settings.LogRetention/snapshotShare, snapshotRecords)
}

// place is this node's place in line for a thing, from 0.
func (n *Node) place(thing uint64) (p int) {
	self := n.members.Self().Incarnation
	live := n.members.Live()
	for len(live) > 1 {
		first := member.Owner(live, thing)
		if first == self {
			return p
		}
		p++
		live = without(live, first)
	}
	return p
}

func without(list []member.Entry, i member.Incarnation) (out []member.Entry) {
	for _, e := range list {
		if e.Incarnation != i {
			out = append(out, e)
		}
	}
	return out
}
