package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// finding is a promise that was broken.
type finding struct {
	Guarantee string
	Detail    string
}

// call is what targets and its caller saw of a call.
type call struct {
	// by is the node that got it.
	by             *node
	unsafe         bool
	arrivals, runs int
	// refused says that its caller was told that it has not run.
	refused bool
}

// sum counts, in one second, the calls sent and the arrivals beyond the first of
// each.
type sum struct{ sent, again int }

// account is what targets and callers saw of each call.
type account struct {
	mu    sync.Mutex
	calls map[string]*call
	// first is when the first call was sent; sums are counted by seconds from it.
	first    time.Time
	sums     []sum
	findings []finding
	counts   map[string]int
}

func newAccount() *account {
	return &account{calls: map[string]*call{}, counts: map[string]int{}}
}

func (a *account) broken(promise, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings = append(a.findings, finding{promise, fmt.Sprintf(format, args...)})
}

// now returns the sum of the present second. The lock must be held.
func (a *account) now() *sum {
	if a.first.IsZero() {
		a.first = time.Now()
	}
	second := int(time.Since(a.first) / time.Second)
	for len(a.sums) <= second {
		a.sums = append(a.sums, sum{})
	}
	return &a.sums[second]
}

// sent notes a call before it leaves for a node.
func (a *account) sent(id string, unsafe bool, by *node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[id] = &call{by: by, unsafe: unsafe}
	a.now().sent++
}

// arrived notes that a call reached a target.
func (a *account) arrived(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.calls[id]
	if c == nil {
		a.findings = append(a.findings, finding{"unasked", "a target got " + id + ", which nobody sent"})
		return
	}
	c.arrivals++
	if c.arrivals > 1 {
		a.now().again++
	}
}

// ran notes that a target runs a call, and returns the node that sent it there.
func (a *account) ran(id string) (by *node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.calls[id]
	if c == nil {
		return nil
	}
	c.runs++
	return c.by
}

// hasArrived reports whether a call reached a target.
func (a *account) hasArrived(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[id].arrivals > 0
}

// told notes what a caller was told.
func (a *account) told(id, outcome string, notRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[outcome]++
	a.calls[id].refused = notRun
}

// settle checks what only the end shows.
func (a *account) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, c := range a.calls {
		if c.unsafe && c.runs > 1 {
			a.findings = append(a.findings, finding{"at-most-once", fmt.Sprintf("%s ran %d times", id, c.runs)})
		}
		if c.refused && c.unsafe && c.runs > 0 {
			a.findings = append(a.findings, finding{"not-run-is-true", id + " ran, and its caller was told that it did not"})
		}
	}
	a.settleSums()
}

const (
	// budgetWindow is the span of the bound on arrivals beyond the first, in seconds.
	budgetWindow = 10
	// budgetPart and budgetSlack are that bound: a part of the calls, and some more.
	budgetPart  = platformtest.RetryBudgetRatio
	budgetSlack = platformtest.RetrySlack
)

// settleSums checks the arrivals beyond the first of each call.
func (a *account) settleSums() {
	for from := range a.sums {
		calls := max(a.total(from, sent), a.total(from-budgetWindow/2, sent), a.total(from-budgetWindow, sent))
		again, most := a.total(from, again), int(budgetPart*float64(calls))+budgetSlack
		if again > most {
			a.findings = append(a.findings, finding{"retry-budget", fmt.Sprintf("%d arrivals beyond the first in the %d s from second %d, %d are allowed", again, budgetWindow, from, most)})
		}
	}
}

func sent(s sum) int  { return s.sent }
func again(s sum) int { return s.again }

// total adds up a figure over the window that begins at a second.
func (a *account) total(from int, figure func(sum) int) (n int) {
	for i := max(from, 0); i < min(from+budgetWindow, len(a.sums)); i++ {
		n += figure(a.sums[i])
	}
	return n
}
