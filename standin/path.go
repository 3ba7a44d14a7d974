package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/stream"
)

// pathWait bounds how long a read over a Path waits, so that a cut is felt soon.
const maxPathReadWait = 500 * time.Millisecond

// Path is one node's way to the log, which can be cut for it alone. It is a
// stream.Log.
type Path struct {
	*Log

	partitioned atomic.Bool
}

// SetCut cuts the way, or opens it again.
func (p *Path) SetCut(partitioned bool) {
	p.partitioned.Store(partitioned)
}

// Cut reports whether the way is cut.
func (p *Path) Cut() bool {
	return p.partitioned.Load()
}

// Append adds a record unless the way is cut.
func (p *Path) Append(ctx context.Context, name stream.Name, payload []byte) (o stream.Offset, err error) {
	if p.Cut() {
		return 0, ErrAway
	}
	return p.Log.Append(ctx, name, payload)
}

// Read returns records from an offset on unless the way is cut, also while it
// waits.
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
