package admission

import "sync"

const (
	// initialOverflowLimit is the limit of a new Overflow.
	initialOverflowLimit = 4
	// maxOverflowLimit and minOverflowLimit bound the limit. minOverflowLimit
	// is above zero, so that one call can always wait.
	maxOverflowLimit = 32
	minOverflowLimit = 0.25
	// overflowIncrement is added to the limit for each late call that was sent.
	// The limit is multiplied by overflowDecreaseFactor for each one that gave
	// up.
	overflowIncrement      = 0.25
	overflowDecreaseFactor = 0.8
)

// Overflow limits the late calls of a service that wait in this node. A late
// call can no longer get its response within its latency objective, and waits
// for capacity that no other call needs.
//
// Late calls occur when the load exceeds the capacity of the targets. If they
// were sent at once, they would delay calls that can still meet their
// objective; if all of them waited, most would wait until they give up. The
// limit therefore adapts: it increases with each late call that was sent and
// decreases with each one that gave up. The zero value is ready to use.
type LateCallLimiter struct {
	mu      sync.Mutex
	waiting int
	// limitOffset is the current limit minus initialOverflowLimit, so that the
	// zero value starts at initialOverflowLimit.
	limitOffset float64
}

// Enter reports whether a late call may wait. If so, Leave must be called once.
func (o *LateCallLimiter) TryAcquire() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if float64(o.waiting) >= initialOverflowLimit+o.limitOffset {
		return false
	}
	o.waiting++
	return true
}

// Leave ends the wait of a late call. sent reports whether the call was sent to
// a target.
func (o *LateCallLimiter) Release(sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting--
	limit := initialOverflowLimit + o.limitOffset
	if sent {
		limit = min(limit+overflowIncrement, maxOverflowLimit)
	} else {
		limit = max(limit*overflowDecreaseFactor, minOverflowLimit)
	}
	o.limitOffset = limit - initialOverflowLimit
}
