package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsForDurationOrContext(t *testing.T) {
	for _, test := range []struct {
		name          string
		timeout       time.Duration
		d, wantWait   time.Duration
		wantCompleted bool
	}{
		{"full duration", time.Hour, time.Minute, time.Minute, true},
		{"context done first", time.Second, time.Minute, time.Second, false},
		{"zero duration", time.Hour, 0, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			began := time.Now()
			completed := For(ctx, test.d)
			if got := time.Since(began); got != test.wantWait || completed != test.wantCompleted {
				t.Errorf("%s: got %s and completed %v, want %s and %v", test.name, got, completed, test.wantWait, test.wantCompleted)
			}
		})
	}
}

func TestJitterStaysWithinTenPercent(t *testing.T) {
	for _, d := range []time.Duration{0, time.Nanosecond, time.Second} {
		for range 1000 {
			if got := Jitter(d); got < d*9/10 || got > d*11/10+1 {
				t.Fatalf("Jitter(%s): got %s, want within 10%%", d, got)
			}
		}
	}
}
