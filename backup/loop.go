package backup

import (
	"context"

	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/replica"
)

// Source is a node's copies of the topics.
type Source interface {
	// CopyDigest returns the digest and the epoch of a topic; ok is false if the copy is not
	// complete.
	CopyDigest(t replica.Topic) (d replica.Digest, e replica.Epoch, ok bool)
	// BackupSnapshot returns a topic; ok is false if the copy is not complete.
	BackupSnapshot(t replica.Topic) (s Snapshot, ok bool)
}

// Loop saves one topic while its node reads it.
type Loop struct {
	keeper Keeper
	source Source
	onSave func(Snapshot, SaveResult, error)
	// due wakes the loop, and lost too if the topic went away while the node read it.
	due, lost chan struct{}
	// isSaved reports whether the content with savedDigest of savedEpoch has enough copies.
	isSaved     bool
	savedDigest replica.Digest
	savedEpoch  replica.Epoch
}

// NewLoop returns a Loop for the topic of a Keeper, which passes the result of each save to
// onSave.
func NewLoop(k Keeper, source Source, onSave func(Snapshot, SaveResult, error)) *Loop {
	return &Loop{keeper: k, source: source, onSave: onSave, due: make(chan struct{}, 1), lost: make(chan struct{}, 1)}
}

// NotifyRead wakes the loop after the topic was read.
func (l *Loop) NotifyRead() { wake(l.due) }

// NotifyLost makes the loop check that enough partitions that respond hold the topic, which the
// node can no longer read.
func (l *Loop) NotifyLost() { wake(l.lost) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run saves the topic when it has changed, until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.due:
		case <-l.lost:
			l.keeper.Forget()
			l.isSaved = false
		}
		if l.needsSave() {
			l.save(ctx)
		}
	}
}

// needsSave reports whether the present content of the topic has too few copies.
func (l *Loop) needsSave() bool {
	d, e, ok := l.source.CopyDigest(l.keeper.Topic)
	return ok && !(l.isSaved && d == l.savedDigest && e == l.savedEpoch)
}

// save saves the topic and pauses until it may be saved again, or ctx ends.
func (l *Loop) save(ctx context.Context) {
	s, ok := l.source.BackupSnapshot(l.keeper.Topic)
	if !ok {
		return
	}
	result, err := l.keeper.Save(ctx, s)
	l.isSaved, l.savedDigest, l.savedEpoch = err == nil, s.Digest, s.Epoch
	if ctx.Err() == nil {
		l.onSave(s, result, err)
	}
	pause.For(ctx, l.keeper.Limits.pauseAfter(l.keeper.Topic, result.Written*result.Bytes))
}
