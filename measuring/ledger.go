package measuring

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Settings is the budget of one node per second. Zero values select the
// defaults.
type Settings struct {
	// Messages is the number of messages per second. Default 40.
	MessagesPerSecond float64
	// Bytes is the number of bytes per second. Default 8 KiB.
	BytesPerSecond unit.Bytes
	// TargetTime is the processing time at targets per second. Default 40 ms.
	TargetTimePerSecond time.Duration
	// Refusals is the number of times per second that a call may try another
	// target after one refused it. Such a refusal acts as a probe that costs a
	// message but no target time. Default 1000.
	RefusalsPerSecond float64
}

const (
	defaultMessages   = 40
	defaultBytes      = 8 * unit.Kibibyte
	defaultTargetTime = 40 * time.Millisecond
	defaultRefusals   = 1000
	// burstWindow is the time whose budget may be spent at once.
	burstWindow = 3 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.MessagesPerSecond == 0 {
		s.MessagesPerSecond = defaultMessages
	}
	if s.BytesPerSecond == 0 {
		s.BytesPerSecond = defaultBytes
	}
	if s.TargetTimePerSecond == 0 {
		s.TargetTimePerSecond = defaultTargetTime
	}
	if s.RefusalsPerSecond == 0 {
		s.RefusalsPerSecond = defaultRefusals
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

// Ledger is the budget for measurements, a token bucket for each unit of cost.
// Its zero value has the default settings and starts full.
type Budget struct {
	Settings Settings

	mu         sync.Mutex
	refilledAt time.Time
	remaining  amounts
	totals     Totals
}

// amounts holds one amount for each unit of cost. Amounts can be fractional.
type amounts struct {
	messages, bytes, targetTime, refusals float64
}

// covers reports whether p is at least need in every unit.
func (a amounts) covers(need amounts) bool {
	return need.messages <= a.messages && need.bytes <= a.bytes && need.targetTime <= a.targetTime && need.refusals <= a.refusals
}

// Spend deducts a cost and reports true if the budget covers it; otherwise it
// counts the measurement as skipped and reports false. A nil Ledger has no
// limit.
func (l *Budget) Spend(now time.Time, c Cost) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	need := amounts{float64(c.Messages), float64(c.Bytes), c.TargetTime.Seconds(), float64(c.Refusals)}
	if !l.remaining.covers(need) {
		l.totals.Skipped++
		return false
	}
	l.remaining.messages -= need.messages
	l.remaining.bytes -= need.bytes
	l.remaining.targetTime -= need.targetTime
	l.remaining.refusals -= need.refusals
	l.totals.Spent.Messages += c.Messages
	l.totals.Spent.Bytes += c.Bytes
	l.totals.Spent.TargetTime += c.TargetTime
	l.totals.Spent.Refusals += c.Refusals
	return true
}

// Totals returns what was spent and skipped since the start.
func (l *Budget) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// refill adds the budget for the time since the last call. l.mu must be held.
func (l *Budget) refill(now time.Time) {
	cfg := l.Settings.withDefaults()
	elapsed := burstWindow
	if !l.refilledAt.IsZero() {
		elapsed = min(now.Sub(l.refilledAt), burstWindow)
	}
	l.refilledAt = now
	seconds := max(0, elapsed.Seconds())
	l.remaining.messages = addCapped(l.remaining.messages, cfg.MessagesPerSecond, seconds)
	l.remaining.bytes = addCapped(l.remaining.bytes, float64(cfg.BytesPerSecond), seconds)
	l.remaining.targetTime = addCapped(l.remaining.targetTime, cfg.TargetTimePerSecond.Seconds(), seconds)
	l.remaining.refusals = addCapped(l.remaining.refusals, cfg.RefusalsPerSecond, seconds)
}

func addCapped(amount, perSecond, seconds float64) float64 {
	return min(amount+perSecond*seconds, perSecond*burstWindow.Seconds())
}
