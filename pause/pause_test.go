package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, test := range []struct {
		name      string
		timeout   time.Duration
		d, want   time.Duration
		completed bool
	}{
		{"to the end", time.Hour, time.Minute, time.Minute, true},
		{"cut short", time.Second, time.Minute, time.Second, false},
		{"nothing to wait for", time.Hour, 0, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			began := time.Now()
			completed := For(ctx, test.d)
			if got := time.Since(began); got != test.want || completed != test.completed {
				t.Errorf("%s: got %s and %v, want %s and %v", test.name, got, completed, test.want, test.completed)
			}
		})
	}
}

func TestAbout(t *testing.T) {
	for _, d := range []time.Duration{0, time.Nanosecond, time.Second} {
		for range 1000 {
			if got := About(d); got < d*9/10 || got > d*11/10+1 {
				t.Fatalf("about %s: got %s, want within a tenth", d, got)
			}
		}
	}
}
