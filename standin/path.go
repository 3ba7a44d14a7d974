package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/stream"
)

// pathWait bounds how long a read over a Path waits, so that a cut is felt soon.
const pathWait = 500 * time.Millisecond

// Path is one node's way to the log, which can be cut for it alone. It is a
// stream.Log.
type LogLink struct {
	*Log

	cut atomic.Bool
}

// SetCut cuts the way, or opens it again.
func (p *LogLink) SetPartitioned(cut bool) {
	p.cut.Store(cut)
}

// Cut reports whether the way is cut.
func (p *LogLink) Partitioned() bool {
	return p.cut.Load()
}

// Append adds a record unless the way is cut.
func (p *LogLink) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if p.Partitioned() {
		return 0, ErrLogUnavailable
	}
	return p.Log.Append(ctx, name, payload)
}

// Read returns records from an offset on unless the way is cut, also while it
// waits.
func (p *LogLink) Read(ctx context.Context, name stream.Name, from stream.Offset, most int, wait time.Duration) (b stream.Batch, err error) {
	if p.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	b, err = p.Log.Read(ctx, name, from, most, min(wait, pathWait))
	if p.Partitioned() {
		return stream.Batch{}, ErrLogUnavailable
	}
	return b, err
}
