package measuring

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Settings is the budget of one node per second. Zero values select the
// defaults.
type Settings struct {
	// MessagesPerSecond is the number of messages that measurements may send
	// per second. Default 40.
	MessagesPerSecond float64
	// BytesPerSecond is the number of bytes that measurements may transfer per
	// second. Default 8 KiB.
	BytesPerSecond unit.Bytes
	// TargetTimePerSecond is the processing time at targets that measurements
	// may take per second. Default 40 ms.
	TargetTimePerSecond time.Duration
	// RefusalsPerSecond is the number of times per second that a call may try
	// another target after one refused it. Such a refusal acts as a probe that
	// costs a message but no target time. Default 1000.
	RefusalsPerSecond float64
}

const (
	defaultMessagesPerSecond   = 40
	defaultBytesPerSecond      = 8 * unit.Kibibyte
	defaultTargetTimePerSecond = 40 * time.Millisecond
	defaultRefusalsPerSecond   = 1000
	// burstWindow is the time whose budget may be spent at once.
	burstWindow = 3 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.MessagesPerSecond == 0 {
		s.MessagesPerSecond = defaultMessagesPerSecond
	}
	if s.BytesPerSecond == 0 {
		s.BytesPerSecond = defaultBytesPerSecond
	}
	if s.TargetTimePerSecond == 0 {
		s.TargetTimePerSecond = defaultTargetTimePerSecond
	}
	if s.RefusalsPerSecond == 0 {
		s.RefusalsPerSecond = defaultRefusalsPerSecond
	}
	return s
}

// Cost is the cost of one measurement.
type Cost struct {
	Messages   int
	Bytes      unit.Bytes
	TargetTime time.Duration
	// Refusals is the number of refusals used as probes.
	Refusals int
}

// Totals is what was spent, and the number of measurements skipped for lack of
// budget, since the start.
type Totals struct {
	Spent   Cost
	Skipped int
}

// Budget limits the cost of measurements, with a token bucket for each unit of
// cost. Its zero value has the default settings and starts full.
type Budget struct {
	Settings Settings

	mu         sync.Mutex
	refilledAt time.Time
	remaining  amounts
	totals     Totals
}

// amounts holds one amount for each unit of cost. Amounts can be fractional;
// targetTime is in seconds.
type amounts struct {
	messages, bytes, targetTime, refusals float64
}

// covers reports whether a is at least need in every unit.
func (a amounts) covers(need amounts) bool {
	return need.messages <= a.messages && need.bytes <= a.bytes && need.targetTime <= a.targetTime && need.refusals <= a.refusals
}

// Spend deducts a cost and reports true if the budget covers it; otherwise it
// counts the measurement as skipped and reports false. A nil Budget has no
// limit.
func (b *Budget) Spend(now time.Time, c Cost) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := amounts{float64(c.Messages), float64(c.Bytes), c.TargetTime.Seconds(), float64(c.Refusals)}
	if !b.remaining.covers(need) {
		b.totals.Skipped++
		return false
	}
	b.remaining.messages -= need.messages
	b.remaining.bytes -= need.bytes
	b.remaining.targetTime -= need.targetTime
	b.remaining.refusals -= need.refusals
	b.totals.Spent.Messages += c.Messages
	b.totals.Spent.Bytes += c.Bytes
	b.totals.Spent.TargetTime += c.TargetTime
	b.totals.Spent.Refusals += c.Refusals
	return true
}

// Totals returns what was spent and skipped since the start.
func (b *Budget) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// refill adds the budget for the time since the last refill, at most that of
// burstWindow. b.mu must be held.
func (b *Budget) refill(now time.Time) {
	cfg := b.Settings.withDefaults()
	elapsed := burstWindow
	if !b.refilledAt.IsZero() {
		elapsed = min(now.Sub(b.refilledAt), burstWindow)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	seconds := max(0, elapsed.Seconds())
	b.remaining.messages = addCapped(b.remaining.messages, cfg.MessagesPerSecond, seconds)
	b.remaining.bytes = addCapped(b.remaining.bytes, float64(cfg.BytesPerSecond), seconds)
	b.remaining.targetTime = addCapped(b.remaining.targetTime, cfg.TargetTimePerSecond.Seconds(), seconds)
	b.remaining.refusals = addCapped(b.remaining.refusals, cfg.RefusalsPerSecond, seconds)
}

func addCapped(amount, perSecond, seconds float64) float64 {
	return min(amount+perSecond*seconds, perSecond*burstWindow.Seconds())
}
