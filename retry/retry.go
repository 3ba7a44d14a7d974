package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Settings configures a Budget. Zero values select the defaults.
type Settings struct {
	// TokensPerCall is the number of tokens added by each call. Default 0.1.
	TokensPerCall float64
	// Burst is the largest number of tokens held. Default 20.
	Burst float64
	// TokensPerSecond is the number of tokens added per second, without calls.
	// Default 0.
	TokensPerSecond float64
}

const (
	defaultTokensPerCall = 0.1
	defaultBurst         = 20
)

// The tokens for hedges that a call adds decrease linearly with the estimated
// load of the targets, a fraction of their slots: all of them up to
// fullHedgeLoad, none from zeroHedgeLoad. The estimate is about a tenth below
// the real load.
const (
	fullHedgeLoad = 0.74
	zeroHedgeLoad = 0.84
)

// HedgeTokenFraction returns the fraction, 0 to 1, of its tokens for hedges that
// a call adds at the given load of the targets.
func HedgeTokenFraction(load float64) float64 {
	return min(max((zeroHedgeLoad-load)/(zeroHedgeLoad-fullHedgeLoad), 0), 1)
}

// HedgeTokensPerCall is the number of tokens for hedges that each call adds,
// before HedgeTokenFraction scales it by the load.
const HedgeTokensPerCall = 0.1

func (s Settings) withDefaults() Settings {
	if s.TokensPerCall == 0 {
		s.TokensPerCall = defaultTokensPerCall
	}
	if s.Burst == 0 {
		s.Burst = defaultBurst
	}
	return s
}

// Budget is a token bucket that pays for extra attempts. Its zero value starts
// empty with the default settings.
type Budget struct {
	Settings Settings

	mu     sync.Mutex
	tokens float64
	// refilledAt is the last time at which tokens were added for elapsed time.
	refilledAt time.Time
}

// SetSettings replaces the settings. Tokens are kept, up to the new Burst.
func (b *Budget) SetSettings(settings Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Settings = settings
	b.tokens = min(b.tokens, settings.withDefaults().Burst)
}

// Earn adds the tokens of one call.
func (b *Budget) Earn() {
	b.EarnFraction(1)
}

// EarnFraction adds a fraction, 0 to 1, of the tokens of one call. Burst is
// scaled by the same fraction, so that a fraction of 0 empties the bucket.
func (b *Budget) EarnFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cfg := b.Settings.withDefaults()
	b.tokens = min(b.tokens+cfg.TokensPerCall*fraction, cfg.Burst*fraction)
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	return b.SpendAboveReserve(0)
}

// SpendAboveReserve takes one token if at least the fraction reserve, 0 to 1,
// of Burst remains afterwards. It reports whether a token was taken.
func (b *Budget) SpendAboveReserve(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if b.tokens-1 < reserve*b.Settings.withDefaults().Burst {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill. b.mu must be held.
func (b *Budget) refill(now time.Time) {
	cfg := b.Settings.withDefaults()
	if cfg.TokensPerSecond == 0 {
		return
	}
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = min(b.tokens+cfg.TokensPerSecond*now.Sub(b.refilledAt).Seconds(), cfg.Burst)
	b.refilledAt = now
}

// Allowance is the number of extra attempts that a call may still make over its
// whole call chain. It is not safe for concurrent use.
type Allowance struct {
	remaining, spent int
}

// NewAllowance returns an allowance of n extra attempts, or of none if n is
// negative.
func NewAllowance(n int) Allowance {
	return Allowance{remaining: max(0, n)}
}

// Remaining returns the number of extra attempts that remain.
func (a *Allowance) Remaining() int {
	return a.remaining
}

// DownstreamLimit returns the number of extra attempts that the layers below
// one attempt may make. It is half of what remains, since an attempt whose
// response is lost is charged the whole number.
func (a *Allowance) DownstreamLimit() int {
	return a.remaining / 2
}

// Spent returns the number of extra attempts made by this layer and the layers
// below.
func (a *Allowance) Spent() int {
	return a.spent
}

// Spend spends one extra attempt and reports whether one remained.
func (a *Allowance) Spend() bool {
	if a.remaining < 1 {
		return false
	}
	a.remaining--
	a.spent++
	return true
}

// ChargeDownstream deducts n extra attempts that the layers below spent, at
// most what remains. For an attempt without a response, n is all that was
// passed down.
func (a *Allowance) ChargeDownstream(n int) {
	n = min(max(0, n), a.remaining)
	a.remaining -= n
	a.spent += n
}

// Bounds and precision of the recorded latencies.
const (
	minLatencyMicros         = 10
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 1
	// halfWindow is the duration of one half of the observation window.
	halfWindow = 5 * time.Second
	// minSamples is the smallest number of responses for which a percentile is
	// returned.
	minSamples = 50
)

// LatencyWindow records the latencies of first attempts in two halves of a
// window and returns percentiles of one of them. With a steady flow of calls,
// the two halves cover the last 5 to 10 seconds. Its zero value is ready to
// use.
type LatencyWindow struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// Observe records one latency.
func (l *LatencyWindow) Observe(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	us := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// RecordValue cannot fail: us is within the bounds of the histogram.
	_ = l.current.RecordValue(us)
}

// Percentile returns the latency at a percentile (0 to 100), from the half of
// the window with more samples. ok is false if that has fewer than minSamples.
func (l *LatencyWindow) Percentile(now time.Time, percent float64) (d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	h := l.previous
	if h.TotalCount() < l.current.TotalCount() {
		h = l.current
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond, true
}

// rotate starts a new half of the window when the current one has ended, and
// discards the previous one, and the current one too if it ended longer ago than
// one half. l.mu must be held.
func (l *LatencyWindow) rotate(now time.Time) {
	if l.current == nil {
		l.current, l.previous = newHistogram(), newHistogram()
		l.rotatedAt = now
	}
	elapsed := now.Sub(l.rotatedAt)
	if elapsed < halfWindow {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if elapsed >= 2*halfWindow {
		l.previous.Reset()
	}
	l.rotatedAt = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}
