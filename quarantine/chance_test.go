package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// flapping is a service of which some targets end and start again all the time.
type flapping struct {
	targetCount, badCount int
	// uptime is the time from the start of a process of a bad target until its end, and
	// downtime the time until the next one starts.
	uptime, downtime time.Duration
	// work is the duration of a call.
	work time.Duration
}

// nextEnd returns when the process of a bad target ends that runs at the given time, and its
// number; isUp is false if there is none.
func (f flapping) nextEnd(target int, at time.Duration) (end time.Duration, n int, isUp bool) {
	period := f.uptime + f.downtime
	// Targets do not flap in step, nor evenly spread.
	offset := time.Duration(target*target*7919) * time.Millisecond % period
	n = int((at + offset) / period)
	sincePeriodStart := (at + offset) % period
	return at + f.uptime - sincePeriodStart, n, sincePeriodStart < f.uptime
}

// maxCopies is the number of times that a caller sends one request.
const maxCopies = 3

// isHeld plays one harmless request with all its copies, and reports whether it was held back.
func (f flapping) isHeld(rng *rand.Rand, d Digest) bool {
	l := &Ledger{}
	now := time.Duration(rng.Int64N(int64(10 * (f.uptime + f.downtime))))
	for range maxCopies {
		a := l.Admit(d, testEpoch.Add(now), noTurn)
		if a.IsRefused {
			return true
		}
		for attempt := 0; attempt == 0 || attempt == 1 && l.Verdict(d) < Suspected; attempt++ {
			target := rng.IntN(f.targetCount)
			end, n, isUp := time.Duration(0), 0, true
			if target < f.badCount {
				end, n, isUp = f.nextEnd(target, now)
			}
			if !isUp {
				// The connection is refused, and another target is tried.
				attempt--
				now += time.Millisecond
				continue
			}
			if target >= f.badCount || end > now+f.work {
				l.RecordCompletion(d, testEpoch.Add(now+f.work))
				return false
			}
			now = end
			l.RecordEnd(d, testEnd(fmt.Sprintf("i-%d-%d", target, n), testEpoch.Add(now)))
		}
		l.Leave(d)
		now += 100 * time.Millisecond
	}
	return l.Verdict(d) == Held
}

// Harmless requests are open at targets that end for another reason. Few of them may be held,
// for the few seconds until a trial clears them.
func TestHarmlessRequestsAreRarelyHeld(t *testing.T) {
	const runs = 20000
	for _, tt := range []struct {
		name string
		f    flapping
		// maxShare is the largest share of requests that may be held.
		maxShare float64
	}{
		{"a sixth restarts every 10 s", flapping{12, 2, 8 * time.Second, 2 * time.Second, 400 * time.Millisecond}, 1.0 / 500},
		{"half restart every 10 s", flapping{12, 6, 8 * time.Second, 2 * time.Second, 400 * time.Millisecond}, 1.0 / 500},
		{"all restart every 10 s", flapping{12, 12, 8 * time.Second, 2 * time.Second, 400 * time.Millisecond}, 1.0 / 500},
		{"a sixth flaps every 2.8 s", flapping{12, 2, 1400 * time.Millisecond, 1400 * time.Millisecond, 400 * time.Millisecond}, 1.0 / 500},
		{"half flap every 2.8 s", flapping{12, 6, 1400 * time.Millisecond, 1400 * time.Millisecond, 400 * time.Millisecond}, 1.0 / 500},
		{"all flap every 2.8 s", flapping{12, 12, 1400 * time.Millisecond, 1400 * time.Millisecond, 400 * time.Millisecond}, 1.0 / 20},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		held := 0
		for i := range runs {
			if tt.f.isHeld(rng, testDigest(i)) {
				held++
			}
		}
		share := float64(held) / runs
		t.Logf("%s: %.5f held", tt.name, share)
		if share > tt.maxShare {
			t.Errorf("%s: got %.5f of the harmless requests held, want at most %.5f", tt.name, share, tt.maxShare)
		}
	}
}
