package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/stream"
)

// maxPathReadWait bounds how long a read over a Path waits, so that a partition
// takes effect soon.
const maxPathReadWait = 500 * time.Millisecond

// Path is one node's access to the log, which can be partitioned separately from
// that of other nodes. It is a stream.Log.
type LogLink struct {
	*Log

	partitioned atomic.Bool
}

// SetCut sets whether the node is partitioned from the log.
func (p *LogLink) SetPartitioned(partitioned bool) {
	p.partitioned.Store(partitioned)
}

// Cut reports whether the node is partitioned from the log.
func (p *LogLink) Partitioned() bool {
	return p.partitioned.Load()
}

// Append appends a record. It returns ErrAway during a partition.
func (p *LogLink) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if p.Partitioned() {
		return 0, ErrLogUnavailable
	}
	return p.Log.Append(ctx, name, payload)
}

// Read returns records from an offset on. It returns ErrAway during a partition,
// also if the partition begins while it waits.
func (p *LogLink) Read(ctx context.Context, name stream.Name, from stream.Offset, limit int, wait time.Duration) (b stream.Batch, err error) {
	if p.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	b, err = p.Log.Read(ctx, name, from, limit, min(wait, maxPathReadWait))
	if p.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	return b, err
}
