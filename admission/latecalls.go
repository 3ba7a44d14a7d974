package admission

import "sync"

const (
	// initialLateCallLimit is the limit of a new LateCallLimiter.
	initialLateCallLimit = 4
	// maxLateCallLimit and minLateCallLimit bound the limit. minLateCallLimit
	// is above zero, so that one call can always wait.
	maxLateCallLimit = 32
	minLateCallLimit = 0.25
	// lateCallLimitIncrement is added to the limit for each late call that was
	// sent. The limit is multiplied by lateCallLimitDecreaseFactor for each one
	// that gave up.
	lateCallLimitIncrement      = 0.25
	lateCallLimitDecreaseFactor = 0.8
)

// LateCallLimiter limits the late calls of a service that wait in this node. A
// late call can no longer get its response within its latency objective, and
// waits for capacity that no other call needs.
//
// Late calls occur when the load exceeds the capacity of the targets. If they
// were sent at once, they would delay calls that can still meet their
// objective; if all of them waited, most would wait until they give up. The
// limit therefore adapts: it increases with each late call that was sent and
// decreases with each one that gave up. The zero value is ready to use.
type LateCallLimiter struct {
	mu      sync.Mutex
	waiting int
	// limitOffset is the current limit minus initialLateCallLimit, so that the
	// zero value starts at initialLateCallLimit.
	limitOffset float64
}

// TryAcquire reports whether a late call may wait. If so, Release must be
// called once.
func (l *LateCallLimiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(l.waiting) >= initialLateCallLimit+l.limitOffset {
		return false
	}
	l.waiting++
	return true
}

// Release ends the wait of a late call. sent reports whether the call was sent
// to a target.
func (l *LateCallLimiter) Release(sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	limit := initialLateCallLimit + l.limitOffset
	if sent {
		limit = min(limit+lateCallLimitIncrement, maxLateCallLimit)
	} else {
		limit = max(limit*lateCallLimitDecreaseFactor, minLateCallLimit)
	}
	l.limitOffset = limit - initialLateCallLimit
}
