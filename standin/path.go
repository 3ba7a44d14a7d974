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
type Path struct {
	*Log

	partitioned atomic.Bool
}

// SetCut sets whether the node is partitioned from the log.
func (p *Path) SetCut(partitioned bool) {
	p.partitioned.Store(partitioned)
}

// Cut reports whether the node is partitioned from the log.
func (p *Path) Cut() bool {
	return p.partitioned.Load()
}

// Append appends a record. It returns ErrAway during a partition.
func (p *Path) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if p.Cut() {
		return 0, ErrAway
	}
	return p.Log.Append(ctx, name, payload)
}

// Read returns records from an offset on. It returns ErrAway during a partition,
// also if the partition begins while it waits.
func (p *Path) Read(ctx context.Context, name stream.Name, from stream.Offset, limit int, wait time.Duration) (b stream.Batch, err error) {
	if p.Cut() {
		return stream.Batch{}, ErrAway
	}
	b, err = p.Log.Read(ctx, name, from, limit, min(wait, maxPathReadWait))
	if p.Cut() {
		return stream.Batch{}, ErrAway
	}
	return b, err
}
