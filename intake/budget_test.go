package intake

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// The parts of the memory, with the garbage that the runtime lets grow, must not be more than all of
// it, whatever the machine has.
func TestSharesFitIntoMemory(t *testing.T) {
	live := BodyShare + ResponseShare + HeadShare + ConnectionShare + OtherShare
	if got := live * (1 + GarbagePercent/100.0); got > 1.000001 {
		t.Errorf("memory with garbage: got %.3f of it, want at most all", got)
	}
	for _, s := range []Shares{{96 << 20, 4100}, {136 << 20, 2870}, {284 << 20, 4100}, {536 << 20, 8192}, {284 << 20, 600}} {
		open := s.CallerConnections() + s.PeerConnections() + 2*s.SmallPortConnections()
		if got, limit := int64(open)*ConnectionBytes, int64(ConnectionShare*float64(s.MemoryBytes)); got > limit {
			t.Errorf("%+v: memory of connections: got %d, want at most %d", s, got, limit)
		}
		// Each connection of a caller or a node may need one to a target.
		if got := open + s.CallerConnections() + fileDescriptors; got > s.Descriptors {
			t.Errorf("%+v: descriptors: got %d, want at most %d", s, got, s.Descriptors)
		}
	}
}

// A budget must not be exceeded, and the heads that take most must give way first.
func TestLargestUnfinishedHeadGivesWay(t *testing.T) {
	b := NewBudget(400 << 10)
	start := time.Now()
	var evicted []*Hold
	hold := func(size int64, since time.Time) *Hold {
		h := b.NewHold()
		h.OnEvicted = func() {
			evicted = append(evicted, h)
			go h.Release()
		}
		if !h.Grow(size, since) {
			t.Fatalf("head of %d bytes: got refused, want room for it", size)
		}
		return h
	}
	hold(16<<10, start)
	largest := hold(60<<10, start.Add(2*time.Second))
	hold(20<<10, start.Add(time.Second))
	hold(16<<10, start.Add(3*time.Second))
	if len(evicted) != 1 || evicted[0] != largest {
		t.Errorf("heads that gave way: got %d, want the largest one only", len(evicted))
	}
	newest := b.NewHold()
	if newest.Grow(90<<10, start.Add(4*time.Second)) {
		t.Error("head larger than all others: got room, want it to give way itself")
	}
	if b.receivedUsed > b.received {
		t.Errorf("bytes in use: got %d, want at most %d", b.receivedUsed, b.received)
	}
}

// A complete head does not give way to one that is still being received.
func TestCompleteHeadDoesNotGiveWay(t *testing.T) {
	b := NewBudget(400 << 10)
	complete := b.NewHold()
	complete.OnEvicted = func() { t.Error("complete head: got evicted, want it kept") }
	if !complete.Grow(90<<10, time.Now()) || !complete.Parse(300<<10, time.Second) {
		t.Fatal("first head: got refused, want it parsed")
	}
	if b.NewHold().Grow(50<<10, time.Now()) {
		t.Error("second head: got room, want it refused")
	}
}

// Heads wait for those before them, the cheapest first; the budget is never exceeded.
func TestHeadsWaitUntilThereIsMemory(t *testing.T) {
	b := NewBudget(400 << 10)
	first := b.NewHold()
	if !first.Parse(300<<10, time.Second) {
		t.Fatal("first head: got refused, want it parsed")
	}
	if b.NewHold().Parse(200<<10, time.Millisecond) {
		t.Error("second head: got parsed beside the first, want it refused")
	}
	if !b.NewHold().Parse(FreeBytes, 0) {
		t.Error("ordinary head: got refused, want it parsed at once")
	}
	var mu sync.Mutex
	var order []int64
	var waiting sync.WaitGroup
	for _, cost := range []int64{250 << 10, 90 << 10} {
		waiting.Go(func() {
			h := b.NewHold()
			if !h.Parse(cost, 10*time.Second) {
				t.Errorf("head of %d bytes: got refused, want it parsed", cost)
			}
			mu.Lock()
			order = append(order, cost)
			mu.Unlock()
			h.Release()
		})
	}
	for isWaiting := false; !isWaiting; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		isWaiting = len(b.waiting) == 2
		b.mu.Unlock()
	}
	first.Release()
	waiting.Wait()
	if order[0] != 90<<10 {
		t.Errorf("first head after the wait: got that of %d bytes, want the cheapest", order[0])
	}
	if b.parsedUsed != 0 || b.receivedUsed != 0 {
		t.Errorf("bytes in use at the end: got %d and %d, want none", b.parsedUsed, b.receivedUsed)
	}
}

// A head that costs more than the whole budget would end the process. Each head within the limits of
// the pages fits, also with the shortest lines and on a small machine.
func TestHeadBeyondWholeBudgetIsRefused(t *testing.T) {
	const smallMemory, headBytes = 136 << 20, 16 << 10
	b := NewBudget(Shares{MemoryBytes: smallMemory}.HeadBudget())
	var h Head
	h.Scan([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", headBytes)))
	if cost := h.Cost(); !b.CanHold(cost) || !b.NewHold().Parse(cost, 0) {
		t.Errorf("head of %d lines: got refused, want it parsed", h.Lines())
	}
	if b.CanHold(b.parsed+1) || b.NewHold().Parse(b.parsed+1, 0) {
		t.Error("head beyond the budget: got parsed, want it refused")
	}
	if !NewBudget(0).CanHold(FreeBytes) {
		t.Error("ordinary head: got refused, want it parsed without any budget")
	}
}
