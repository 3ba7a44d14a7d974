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
type Path struct {
	*Log

	cut atomic.Bool
}

// SetCut cuts the way, or opens it again.
func (p *Path) SetCut(cut bool) {
	p.cut.Store(cut)
}

// Cut reports whether the way is cut.
func (p *Path) Cut() bool {
	return p.cut.Load()
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
func (p *Path) Read(ctx context.Context, name stream.Name, from stream.Offset, most int, wait time.Duration) (b stream.Batch, err error) {
	if p.Cut() {
		return stream.Batch{}, ErrAway
	}
	b, err = p.Log.Read(ctx, name, from, most, min(wait, pathWait))
	if p.Cut() {
		return stream.Batch{}, ErrAway
	}
	return b, err
}
