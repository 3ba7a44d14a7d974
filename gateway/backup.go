package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

const (
	// restoredReadAge is the age that the read of a restored topic counts as having: old
	// enough that the node goes on trying to read the topic itself.
	restoredReadAge = time.Minute
	// restoreSpreadPerNode, for each node of the fleet and up to maxRestoreSpread, is the
	// time over which nodes restore a topic: the first to do so send it to the others,
	// which need not read all partitions then.
	restoreSpreadPerNode = 3 * time.Millisecond
	maxRestoreSpread     = time.Second
)

// backupInterval is the minimum time between two saves of a topic. The operator writes
// seldom, and what it writes is due soon; targets write all the time.
var backupInterval = [replica.TopicCount]time.Duration{replica.Operator: 500 * time.Millisecond, replica.Targets: 2 * time.Second}

// maxBackupBytesPerSecond bounds what a node writes to the backup topic of one topic. The store
// keeps what was written for minutes, and refuses the operator's writes too once it is full.
const maxBackupBytesPerSecond = 200 << 10

// backupPause returns the time from a save of a topic, which wrote the given number of bytes, to
// the next one.
func backupPause(t replica.Topic, writtenBytes int) time.Duration {
	return max(backupInterval[t], time.Duration(writtenBytes)*time.Second/maxBackupBytesPerSecond)
}

// backupLoop saves one topic while this node reads it.
type backupLoop struct {
	node   *Node
	keeper backup.Keeper
	// due wakes the loop.
	due chan struct{}
	// lost is set if the topic went away while this node read it.
	lost chan struct{}
	// isSaved reports whether the content with savedDigest of savedEpoch has enough copies.
	isSaved     bool
	savedDigest replica.Digest
	savedEpoch  replica.Epoch
}

// newBackupLoop returns the loop that saves a topic.
func (n *Node) newBackupLoop(t replica.Topic) *backupLoop {
	return &backupLoop{
		node: n, due: make(chan struct{}, 1), lost: make(chan struct{}, 1),
		keeper: backup.Keeper{Store: n.backups, Topic: t, PartitionCount: n.settings.PartitionsPerTopic},
	}
}

// notifyRead wakes the loop after the topic was read.
func (l *backupLoop) notifyRead() { wake(l.due) }

// notifyLost makes the loop check that enough partitions that respond hold the topic.
func (l *backupLoop) notifyLost() { wake(l.lost) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run saves the topic when it has changed, until ctx ends.
func (l *backupLoop) run(ctx context.Context) {
	if l.keeper.Store == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.due:
		case <-l.lost:
			l.keeper.Forget()
			l.isSaved = false
		}
		if isSaved, writtenBytes := l.save(ctx); isSaved {
			pause.For(ctx, backupPause(l.keeper.Topic, writtenBytes))
		}
	}
}

// save saves the topic unless its present content has enough copies. It returns whether it has
// called the store, and the number of bytes written.
func (l *backupLoop) save(ctx context.Context) (isSaved bool, writtenBytes int) {
	snap, ok := l.node.state.BackupSnapshot(l.keeper.Topic)
	if !ok || l.isSaved && l.savedDigest == snap.Digest && l.savedEpoch == snap.Epoch {
		return false, 0
	}
	result, err := l.keeper.Save(ctx, snap)
	l.isSaved, l.savedDigest, l.savedEpoch = err == nil, snap.Digest, snap.Epoch
	topic, copies := zap.Stringer("topic", l.keeper.Topic), zap.Int("copies", result.Copies)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		event.BackupFailed.Log(l.node.logger, topic, copies, zap.String("cause", eris.Cause(err).Error()))
	case result.Written > 0:
		event.BackupSaved.Log(l.node.logger, topic, copies, zap.Int("written", result.Written), zap.Int("bytes", result.Bytes), zap.Uint64("end", uint64(snap.EndOffset)))
	}
	return true, result.Written * result.Bytes
}

// restoreRetryInterval is the minimum time between two attempts of a node to restore a topic.
// A topic that no partition holds comes back with the store.
const restoreRetryInterval = 2 * time.Second

// restore uses the latest snapshot of the topic, which is away, if this node has no copy of it.
func (r *topicReader) restore(ctx context.Context) {
	now := time.Now()
	if r.node.backups == nil || r.node.state.HasBeenComplete(r.topic) || now.Before(r.nextRestore) {
		return
	}
	r.nextRestore = now.Add(restoreRetryInterval)
	r.node.restoreTopic(ctx, r.topic)
}

// restoreTopic uses the latest snapshot of a topic, unless a peer sends the topic before.
func (n *Node) restoreTopic(ctx context.Context, t replica.Topic) {
	spread := min(time.Duration(n.estimatedNodeCount.Load())*restoreSpreadPerNode, maxRestoreSpread)
	n.waitUntil(ctx, lateBiasedDelay(spread), func() bool { return n.state.HasBeenComplete(t) })
	if ctx.Err() != nil || n.state.HasBeenComplete(t) {
		return
	}
	snap, responded, err := backup.Latest(ctx, n.backups, t, n.settings.PartitionsPerTopic)
	fields := []zap.Field{zap.Stringer("topic", t), zap.Int("partitions", responded)}
	if err != nil {
		event.BackupMissing.Log(n.logger, append(fields, zap.String("cause", eris.Cause(err).Error()))...)
		return
	}
	changed := n.state.ApplyBackup(snap, n.readerID(), n.startedAt.Add(-restoredReadAge), time.Now())
	event.BackupRestored.Log(n.logger, append(fields, zap.Int("records", len(snap.Records)), zap.Uint64("end", uint64(snap.EndOffset)))...)
	n.hub.Broadcast(peer.Message{Records: changed, Marks: n.state.Marks(time.Now(), t)}, nil)
	n.applyState()
}
