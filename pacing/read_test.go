package pacing

import (
	"math"
	"slices"
	"testing"
	"time"
)

// When the reader of a fleet of 133 nodes fails, no node receives marks any more. Few
// nodes may start to read before the first of them has informed the others, and the
// first must be in time for changes that are due within two seconds.
func TestFewNodesTakeOverReading(t *testing.T) {
	const (
		nodeCount      = 133
		trials         = 200
		informDelay    = 100 * time.Millisecond
		maxChangeDelay = 2 * time.Second
	)
	early := 0
	for range trials {
		var takeovers []time.Duration
		for range nodeCount {
			takeovers = append(takeovers, TakeoverAge())
		}
		slices.Sort(takeovers)
		for _, a := range takeovers {
			if a < takeovers[0]+informDelay {
				early++
			}
		}
	}
	if got, want := early/trials, nodeCount/8; got > want {
		t.Errorf("nodes that read before they could be informed: got %d of %d, want at most %d", got, nodeCount, want)
	}
	if latest := takeoverAge + takeoverSpread; latest+2*informDelay > maxChangeDelay {
		t.Errorf("latest takeover: got %s, want it at least %s before changes are due", latest, 2*informDelay)
	}
}

// All nodes of a large fleet restart together and are linked. Few of them may read the
// store before the first to do so has sent the records to the others, three at a time; a
// small fleet must not wait.
func TestFewNodesReadAfterRestart(t *testing.T) {
	const (
		trials       = 100
		hopDelay     = 8 * time.Millisecond
		linksPerNode = 3
	)
	for _, tt := range []struct{ nodeCount, maxReaders int }{{472, 472 / 4}, {946, 946 / 4}} {
		informDelay := hopDelay * time.Duration(math.Ceil(math.Log(float64(tt.nodeCount))/math.Log(linksPerNode)))
		readers := 0
		for range trials {
			var delays []time.Duration
			for range tt.nodeCount {
				delays = append(delays, RestartWait(tt.nodeCount))
			}
			first := slices.Min(delays)
			for _, d := range delays {
				if d <= first+informDelay {
					readers++
				}
			}
		}
		if got := readers / trials; got > tt.maxReaders {
			t.Errorf("%d nodes: got %d that read, want at most %d", tt.nodeCount, got, tt.maxReaders)
		}
	}
	if got, want := restartSpread(18), 10*time.Millisecond; got > want {
		t.Errorf("18 nodes: got up to %v of waiting, want at most %v", got, want)
	}
}

// The whole fleet must retry an unreachable store only a few times per second, whatever
// its size, and each node often enough to detect the recovery alone.
func TestStoreRetryRateIsLimited(t *testing.T) {
	for _, n := range []int{1, 3, 13, 25} {
		totalDelay := time.Duration(0)
		const trials = 2000
		for range trials {
			totalDelay += retryDelay(n)
		}
		perSecond := float64(n) / (totalDelay / trials).Seconds()
		if perSecond > 1.1*retriesPerSecond {
			t.Errorf("%d nodes: got %.1f retries per second, want at most %d", n, perSecond, retriesPerSecond)
		}
	}
	if got := retryDelay(1000); got > 2*maxRetryDelay {
		t.Errorf("delay of one of 1000 nodes: got %s, want at most %s", got, 2*maxRetryDelay)
	}
}

// However a plan reaches a node, the longest times of all steps must fit into the bound: a sum
// that fits on average only does not. readTime allows for a first read over a new connection
// and for the way to the peers, on a slow VM.
func TestEachPathOfPlanFitsIntoBound(t *testing.T) {
	const (
		applyBound   = 2 * time.Second
		contactBound = 3 * time.Second
		readTime     = 250 * time.Millisecond
	)
	takeover := takeoverAge + takeoverSpread + MarkCheckInterval
	maxRetryDelay := func(links int) time.Duration {
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, RetryDelay(links, math.MaxInt))
		}
		return longest
	}
	for _, tt := range []struct {
		path       string
		sum, bound time.Duration
	}{
		{"read by a reader whose waiting read missed the record", OperatorReadWait + readTime, applyBound},
		{"reader lost just after its last mark", takeover + readTime, applyBound},
		{"reader lost, and the next one before it could tell", takeover + readTime, applyBound},
		{"reader's read hangs", takeover + readTime, applyBound},
		{"record lost on its way, next mark", max(OperatorReadWait, TargetsReadInterval) + RecordsRequestInterval + readTime, applyBound},
		{"node without links back from a cut, with a call that hangs", maxRetryDelay(0) + StoreTimeout + readTime, contactBound},
		{"node with one link back from a cut", maxRetryDelay(1) + StoreTimeout + readTime, contactBound},
	} {
		if tt.sum > tt.bound {
			t.Errorf("%s: got up to %s, want at most %s", tt.path, tt.sum, tt.bound)
		}
	}
	// A reader's marks must keep the others from taking over.
	if longest := max(OperatorReadWait, TargetsReadInterval); longest >= takeoverAge {
		t.Errorf("time between two marks: got %s, want less than %s", longest, takeoverAge)
	}
}
