package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/backup"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
)

// newBackupLoop returns the loop that saves a topic.
func (n *Node) newBackupLoop(t replica.Topic) *backup.Loop {
	k := backup.Keeper{Store: n.backups, Topic: t, PartitionCount: n.settings.PartitionsPerTopic, Limits: n.settings.BackupLimits}
	return backup.NewLoop(k, n.state, n.logSave)
}

// logSave logs that a topic was saved, or that this failed.
func (n *Node) logSave(s backup.Snapshot, r backup.SaveResult, err error) {
	topic, copies := zap.Stringer("topic", s.Topic), zap.Int("copies", r.Copies)
	switch {
	case err != nil:
		event.BackupFailed.Log(n.logger, topic, copies, zap.String("cause", eris.Cause(err).Error()))
	case r.Written > 0:
		event.BackupSaved.Log(n.logger, topic, copies, zap.Int("written", r.Written), zap.Int("bytes", r.Bytes), zap.Uint64("end", uint64(s.EndOffset)))
	}
}

// restore uses the latest snapshot of the topic, which is away, if this node has no copy of it.
func (r *topicReader) restore(ctx context.Context) {
	now := time.Now()
	if r.node.backups == nil || ctx.Err() != nil || r.node.state.HasBeenComplete(r.topic) || now.Before(r.nextRestore) {
		return
	}
	r.nextRestore = now.Add(pacing.RestoreRetryInterval)
	r.node.restoreTopic(ctx, r.topic)
}

// restoreTopic uses the latest snapshot of a topic, unless a peer sends the topic before.
func (n *Node) restoreTopic(ctx context.Context, t replica.Topic) {
	n.waitUntil(ctx, pacing.RestoreWait(int(n.estimatedNodeCount.Load())), func() bool { return n.state.HasBeenComplete(t) })
	if ctx.Err() != nil || n.state.HasBeenComplete(t) {
		return
	}
	snap, responded, err := backup.Latest(ctx, n.backups, t, n.settings.PartitionsPerTopic)
	fields := []zap.Field{zap.Stringer("topic", t), zap.Int("partitions", responded)}
	if err != nil {
		event.BackupMissing.Log(n.logger, append(fields, zap.String("cause", eris.Cause(err).Error()))...)
		return
	}
	changed := n.state.ApplyBackup(snap, n.readerID(), time.Now())
	event.BackupRestored.Log(n.logger, append(fields, zap.Int("records", len(snap.Records)), zap.Uint64("end", uint64(snap.EndOffset)))...)
	n.hub.Broadcast(peer.Message{Records: changed, Marks: n.state.Marks(time.Now(), t)}, nil)
	n.applyState()
}
