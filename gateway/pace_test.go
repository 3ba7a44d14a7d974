package gateway

import (
	"slices"
	"testing"
	"time"
)

// The load: the reader of a fleet of 133 dies, and everybody hears nothing any
// more. Few may read before the first of them can tell the others, and the first
// must still be in time for changes that are due within two seconds.
func TestFewStepIn(t *testing.T) {
	const (
		nodes  = 133
		trials = 200
		tell   = 100 * time.Millisecond
		due    = 2 * time.Second
	)
	early := 0
	for range trials {
		var at []time.Duration
		for range nodes {
			at = append(at, takeoverAge+lateBiasedDelay(takeoverSpread))
		}
		slices.Sort(at)
		for _, a := range at {
			if a < at[0]+tell {
				early++
			}
		}
	}
	if got, want := early/trials, nodes/8; got > want {
		t.Errorf("nodes that read before they could be told: got %d of %d, want %d at most", got, nodes, want)
	}
	if latest := takeoverAge + takeoverSpread; latest+2*tell > due {
		t.Errorf("latest step in: got %s, want %s before changes are due", latest, 2*tell)
	}
}

// A store that is away is tried a few times a second by the whole fleet, however
// large it is, and by each node often enough to notice its return alone.
func TestTriesOfAnAbsentStore(t *testing.T) {
	for _, n := range []int{1, 3, 13, 25} {
		total := time.Duration(0)
		const trials = 2000
		for range trials {
			total += storeRetryDelay(n)
		}
		perSecond := float64(n) / (total / trials).Seconds()
		if perSecond > 1.1*storeRetriesPerSecond {
			t.Errorf("%d nodes: got %.1f tries a second, want %d at most", n, perSecond, storeRetriesPerSecond)
		}
	}
	if got := storeRetryDelay(1000); got > 2*maxStoreRetryDelay {
		t.Errorf("one of 1000: got %s, want %s at most", got, 2*maxStoreRetryDelay)
	}
}
