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
	// maxRestoreDelay bounds the random delay before a node restores a topic: the first
	// nodes to do so send it to the others.
	maxRestoreDelay = 200 * time.Millisecond
)

// backupInterval is the minimum time between two saves of a topic. The operator writes
// seldom, and what it writes is due soon; targets write all the time.
var backupInterval = [replica.TopicCount]time.Duration{replica.Operator: 100 * time.Millisecond, replica.Targets: 2 * time.Second}

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
		if l.save(ctx) {
			pause.For(ctx, backupInterval[l.keeper.Topic])
		}
	}
}

// save saves the topic unless its present content has enough copies, and reports whether it
// called the store.
func (l *backupLoop) save(ctx context.Context) bool {
	snap, ok := l.node.state.BackupSnapshot(l.keeper.Topic)
	if !ok || l.isSaved && l.savedDigest == snap.Digest && l.savedEpoch == snap.Epoch {
		return false
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
	return true
}

// restore uses the latest snapshot of a topic that is away, if this node has no copy of it.
func (n *Node) restore(ctx context.Context, t replica.Topic) {
	if n.backups == nil || n.settings.IsFirstFleetStart || n.state.HasBeenComplete(t) {
		return
	}
	n.waitUntil(ctx, lateBiasedDelay(maxRestoreDelay), func() bool { return n.state.HasBeenComplete(t) })
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
