package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, test := range []struct {
		name     string
		patience time.Duration
		d, want  time.Duration
		whole    bool
	}{
		{"to the end", time.Hour, time.Minute, time.Minute, true},
		{"cut short", time.Second, time.Minute, time.Second, false},
		{"nothing to wait for", time.Hour, 0, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.patience)
			defer cancel()
			began := time.Now()
			whole := For(ctx, test.d)
			if got := time.Since(began); got != test.want || whole != test.whole {
				t.Errorf("%s: got %s and %v, want %s and %v", test.name, got, whole, test.want, test.whole)
			}
		})
	}
}

func TestAbout(t *testing.T) {
	for _, d := range []time.Duration{0, time.Nanosecond, time.Second} {
		for range 1000 {
			if got := Jitter(d); got < d*9/10 || got > d*11/10+1 {
				t.Fatalf("about %s: got %s, want within a tenth", d, got)
			}
		}
	}
}
