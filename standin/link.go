package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/stream"
)

// maxLinkReadWait bounds how long a read over a LogLink waits, so that a partition
// takes effect soon.
const maxLinkReadWait = 500 * time.Millisecond

// LogLink is one node's access to the log, which can be partitioned separately from
// that of other nodes. It is a stream.Log.
type LogLink struct {
	*Log

	partitioned atomic.Bool
}

// SetPartitioned sets whether the node is partitioned from the log.
func (l *LogLink) SetPartitioned(partitioned bool) {
	l.partitioned.Store(partitioned)
}

// Partitioned reports whether the node is partitioned from the log.
func (l *LogLink) Partitioned() bool {
	return l.partitioned.Load()
}

// Append appends a record. It returns ErrLogUnavailable during a partition.
func (l *LogLink) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if l.Partitioned() {
		return 0, ErrLogUnavailable
	}
	return l.Log.Append(ctx, name, payload)
}

// Read returns records from an offset on. It returns ErrLogUnavailable during a
// partition, also if the partition begins while it waits.
func (l *LogLink) Read(ctx context.Context, name stream.Name, from stream.Offset, limit int, wait time.Duration) (b stream.Batch, err error) {
	if l.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	b, err = l.Log.Read(ctx, name, from, limit, min(wait, maxLinkReadWait))
	if l.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	return b, err
}
