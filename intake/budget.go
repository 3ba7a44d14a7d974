package intake

import (
	"sync"
	"time"
)

// FreeBytes is the memory that each connection may take for a head beside the budget, either as
// received or parsed. The heads of most requests fit. It is part of ConnectionBytes.
const FreeBytes = 8 << 10

// Budget bounds the memory that the heads of all connections take beyond FreeBytes each. It is
// safe for concurrent use.
type Budget struct {
	// received is the maximum for heads as received, and parsed that for parsed ones, in bytes.
	received, parsed int64

	mu      sync.Mutex
	changed *sync.Cond
	// receivedUsed and parsedUsed are the bytes in use.
	receivedUsed, parsedUsed int64
	// holders are the heads that take memory as received.
	holders map[*Hold]struct{}
	// waiting are the complete heads that wait until they may be parsed.
	waiting []*waiter
}

// receivedShare is the part of a budget for heads as received.
const receivedShare = 0.25

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget {
	b := &Budget{received: int64(receivedShare * float64(total)), holders: map[*Hold]struct{}{}}
	b.parsed = total - b.received
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Hold is what the head of one connection takes of a budget. Its owner must call Release at the
// end of each request and of the connection.
type Hold struct {
	// OnEvicted is called when the head has to give way. The owner then must call Release soon;
	// it must not do so during the call.
	OnEvicted func()

	budget *Budget
	// isUsed reports whether the head has taken any bytes; only the owner uses it.
	isUsed bool
	// received and parsed are the bytes taken, and since is when the head began.
	received, parsed int64
	since            time.Time
	// isComplete heads do not give way; isEvicted ones must.
	isComplete, isEvicted bool
}

// NewHold returns a hold that takes nothing yet.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Grow lets a head that is being received take n bytes in all. Where there is no room, the heads
// that take the most give way, the oldest first. It reports false if this head is one of them.
func (h *Hold) Grow(n int64, since time.Time) bool {
	if n <= FreeBytes {
		return true
	}
	h.isUsed = true
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.since = since
	for !h.isEvicted && b.receivedUsed+n-h.received > b.received {
		victim := b.victim(h, n)
		if victim == nil {
			h.isEvicted = true
			break
		}
		if !victim.isEvicted {
			victim.isEvicted = true
			victim.OnEvicted()
			b.changed.Broadcast()
		}
		b.changed.Wait()
	}
	if h.isEvicted {
		return false
	}
	b.receivedUsed += n - h.received
	h.received = n
	b.holders[h] = struct{}{}
	return true
}

// victim returns the incomplete head that takes the most, if that is more than h is to take, or
// as much and longer. Heads that give way already go before others. b.mu must be held.
func (b *Budget) victim(h *Hold, n int64) (v *Hold) {
	for other := range b.holders {
		switch {
		case other == h || other.isComplete:
		case other.isEvicted:
			return other
		case v == nil || other.received > v.received || other.received == v.received && other.since.Before(v.since):
			v = other
		}
	}
	if v != nil && (v.received > n || v.received == n && !v.since.After(h.since)) {
		return v
	}
	return nil
}

// waiter is a complete head that waits.
type waiter struct {
	hold    *Hold
	cost    int64
	granted chan struct{}
}

// CanHold reports whether a head that costs so many bytes may be parsed at all.
func (b *Budget) CanHold(cost int64) bool { return cost <= max(b.parsed, FreeBytes) }

// Parse waits until the complete head may be parsed, which takes cost bytes. The heads that take
// the least go first. It reports false if there is no room within the timeout, which is always so if
// CanHold is false.
func (h *Hold) Parse(cost int64, timeout time.Duration) bool {
	if cost <= FreeBytes {
		return true
	}
	h.isUsed = true
	b := h.budget
	b.mu.Lock()
	if h.isEvicted {
		b.mu.Unlock()
		return false
	}
	h.isComplete = true
	w := &waiter{hold: h, cost: cost, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
		return b.withdraw(w)
	}
}

// grant lets waiting heads be parsed, the cheapest first. b.mu must be held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 {
		next := 0
		for i, w := range b.waiting {
			if w.cost < b.waiting[next].cost {
				next = i
			}
		}
		w := b.waiting[next]
		if b.parsedUsed+w.cost > b.parsed {
			return
		}
		b.parsedUsed += w.cost
		w.hold.parsed += w.cost
		b.remove(next)
		close(w.granted)
	}
}

// remove removes a waiting head. b.mu must be held.
func (b *Budget) remove(i int) {
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
}

// withdraw ends the wait of a head. It reports whether the head was let through meanwhile.
func (b *Budget) withdraw(w *waiter) (isGranted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.remove(i)
			return false
		}
	}
	return true
}

// ReleaseReceived returns what the head takes as received.
func (h *Hold) ReleaseReceived() {
	if !h.isUsed {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receivedUsed -= h.received
	h.received = 0
	delete(b.holders, h)
	b.changed.Broadcast()
}

// Release returns all that the head takes, and makes the hold ready for the next one.
func (h *Hold) Release() {
	if !h.isUsed {
		return
	}
	h.ReleaseReceived()
	h.isUsed = false
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parsedUsed -= h.parsed
	h.parsed, h.isComplete, h.isEvicted = 0, false, false
	b.grant()
}
