package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
)

func request(c Caller, u profile.Urgency) Request {
	return Request{Caller: c, Urgency: u, Deadline: time.Now().Add(time.Minute), MaxWait: 10 * time.Second}
}

// fillToLimit admits calls until the gate is at its limit.
func fillToLimit(t *testing.T, g *Gate) (permits []Permit) {
	t.Helper()
	for range int(g.Limit()) {
		p, refusal := g.Acquire(t.Context(), request("filler", profile.Normal))
		if refusal != "" {
			t.Fatal(refusal)
		}
		permits = append(permits, p)
	}
	return permits
}

func TestAcquireRefusesBeyondQueueLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPool(0).AddGate(4)
		permits := fillToLimit(t, g)
		refusals := make(chan outcome.Reason, 10)
		for range 10 {
			go func() {
				p, refusal := g.Acquire(t.Context(), request("c", profile.Normal))
				refusals <- refusal
				if refusal == "" {
					p.Release(true)
				}
			}()
		}
		synctest.Wait()
		for _, p := range permits {
			p.Release(true)
		}
		got := map[outcome.Reason]int{}
		for range 10 {
			got[<-refusals]++
		}
		if got[""] != 4 || got[outcome.QueueFull] != 6 {
			t.Errorf("refusals: got %v, want 4 admitted and 6 queue-full", got)
		}
	})
}

func TestWaitEndsOnTimeoutAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPool(0).AddGate(4)
		permits := fillToLimit(t, g)
		r := request("c", profile.Normal)
		r.MaxWait = 50 * time.Millisecond
		began := time.Now()
		if _, got := g.Acquire(t.Context(), r); got != outcome.QueueTimeout {
			t.Errorf("refusal: got %q, want %q", got, outcome.QueueTimeout)
		}
		if got := time.Since(began); got != r.MaxWait {
			t.Errorf("waited: got %s, want %s", got, r.MaxWait)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, got := g.Acquire(ctx, request("c", profile.Normal)); got != outcome.CallerGone {
			t.Errorf("refusal: got %q, want %q", got, outcome.CallerGone)
		}
		for _, p := range permits {
			p.Release(true)
		}
		if inFlight, waiting := g.CallCounts(); inFlight != 0 || waiting != 0 || g.pool.HeldCount() != 0 {
			t.Errorf("after the calls ended: got %d in flight, %d waiting, %d held, want none", inFlight, waiting, g.pool.HeldCount())
		}
	})
}

// A call whose deadline falls before its expected end must be refused on
// arrival, not after a useless wait. Calls of 100 ms set the mean service time;
// a call with 80 ms left then meets a full gate.
func TestAcquireRefusesCallThatCannotMeetDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPool(0).AddGate(100)
		for range 200 {
			p, _ := g.Acquire(t.Context(), request("c", profile.Normal))
			time.Sleep(100 * time.Millisecond)
			p.Release(true)
		}
		permits := fillToLimit(t, g)
		r := request("c", profile.Normal)
		r.Deadline = time.Now().Add(80 * time.Millisecond)
		if _, got := g.Acquire(t.Context(), r); got != outcome.DeadlineTooClose {
			t.Errorf("refusal: got %q, want %q", got, outcome.DeadlineTooClose)
		}
		for _, p := range permits {
			p.Release(true)
		}
	})
}

// A caller that queues many calls must delay only its own. One call of another
// caller arrives after 40 calls of the first.
func TestCallersAreServedRoundRobin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPool(0).AddGate(100)
		permits := fillToLimit(t, g)
		order := make(chan Caller, 100)
		makeCall := func(c Caller) {
			p, refusal := g.Acquire(t.Context(), request(c, profile.Normal))
			if refusal == "" {
				order <- c
				time.Sleep(10 * time.Millisecond)
				p.Release(true)
			}
		}
		for range 40 {
			go makeCall("noisy")
		}
		synctest.Wait()
		go makeCall("quiet")
		synctest.Wait()
		permits[0].Release(true)
		permits[1].Release(true)
		synctest.Wait()
		// Two calls were released, and the limit may have increased by one for
		// each.
		const maxAdmitted = 4
		admitted := len(order)
		quietAdmitted := false
		for range admitted {
			quietAdmitted = <-order == "quiet" || quietAdmitted
		}
		if !quietAdmitted || admitted > maxAdmitted {
			t.Errorf("first %d calls admitted: got quiet caller among them: %v, want true and at most %d calls", admitted, quietAdmitted, maxAdmitted)
		}
		for _, p := range permits[2:] {
			p.Release(true)
		}
		time.Sleep(time.Minute)
	})
}

// When the pool is full of patient calls, an urgent call must displace one of
// those that wait.
func TestUrgentCallDisplacesWaitingPatientCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(40)
		patient, urgent := pool.AddGate(100), pool.AddGate(100)
		refusals := make(chan outcome.Reason, 100)
		makeCall := func(g *Gate, u profile.Urgency) {
			p, refusal := g.Acquire(t.Context(), request("c", u))
			refusals <- refusal
			if refusal == "" {
				time.Sleep(time.Second)
				p.Release(true)
			}
		}
		for range 40 {
			go makeCall(patient, profile.Patient)
		}
		synctest.Wait()
		go makeCall(urgent, profile.Urgent)
		synctest.Wait()
		if inFlight, _ := urgent.CallCounts(); inFlight != 1 {
			t.Errorf("urgent calls in flight: got %d, want 1", inFlight)
		}
		time.Sleep(time.Minute)
		got := map[outcome.Reason]int{}
		for range 41 {
			got[<-refusals]++
		}
		if got[outcome.DisplacedByUrgent] != 1 || got[""] != 40 {
			t.Errorf("refusals: got %v, want one displaced and 40 admitted", got)
		}
		if pool.HeldCount() != 0 {
			t.Errorf("held: got %d, want 0", pool.HeldCount())
		}
	})
}

// When urgent calls fill the pool, a patient call must still be admitted,
// within the reserve of its gate.
func TestReserveAdmitsPatientCallUnderUrgentLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(40)
		patient, urgent := pool.AddGate(100), pool.AddGate(100)
		makeCall := func(g *Gate, u profile.Urgency, done chan<- outcome.Reason) {
			p, refusal := g.Acquire(t.Context(), request("c", u))
			if refusal == "" {
				time.Sleep(time.Second)
				p.Release(true)
			}
			done <- refusal
		}
		ignored := make(chan outcome.Reason, 100)
		for range 40 {
			go makeCall(urgent, profile.Urgent, ignored)
		}
		synctest.Wait()
		got := make(chan outcome.Reason, 1)
		go makeCall(patient, profile.Patient, got)
		if refusal := <-got; refusal != "" {
			t.Errorf("refusal of the patient call: got %q, want none", refusal)
		}
		time.Sleep(time.Minute)
		refusals := map[outcome.Reason]int{}
		for range 40 {
			refusals[<-ignored]++
		}
		if refusals[outcome.NodeFull] != 1 || refusals[""] != 39 {
			t.Errorf("refusals of urgent calls: got %v, want one because the node is full", refusals)
		}
	})
}

// The limit must converge to the capacity of the targets, here 8 calls:
// attempts beyond it are refused and decrease the limit.
func TestLimitConvergesToTargetCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPool(0).AddGate(1000)
		const capacity = 8
		var inFlight atomic.Int64
		work := func() {
			p, refusal := g.Acquire(t.Context(), request("c", profile.Normal))
			if refusal != "" {
				return
			}
			if inFlight.Load() >= capacity {
				g.DecreaseLimit(time.Now())
				p.Release(false)
				return
			}
			inFlight.Add(1)
			time.Sleep(10 * time.Millisecond)
			inFlight.Add(-1)
			p.Release(true)
		}
		for range 5000 {
			go work()
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		if got := g.Limit(); got < capacity/2 || got > 2*capacity {
			t.Errorf("limit: got %.1f, want about %d", got, capacity)
		}
		time.Sleep(time.Minute)
	})
}

// A call that joins a queue which has not been empty for standingQueueAge must
// get a shorter wait limit by its urgency. Patient calls keep theirs.
func TestStandingQueueShortensWaitByUrgency(t *testing.T) {
	for urgency, want := range map[profile.Urgency]time.Duration{profile.Urgent: time.Second, profile.Normal: 2500 * time.Millisecond, profile.Patient: 10 * time.Second} {
		t.Run(urgency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewPool(0).AddGate(100)
				permits := fillToLimit(t, g)
				go g.Acquire(t.Context(), request("c", urgency))
				time.Sleep(standingQueueAge + time.Millisecond)
				began := time.Now()
				if _, got := g.Acquire(t.Context(), request("c", urgency)); got != outcome.QueueTimeout {
					t.Errorf("refusal: got %q, want %q", got, outcome.QueueTimeout)
				}
				if got := time.Since(began); got != want {
					t.Errorf("waited: got %s, want %s", got, want)
				}
				for _, p := range permits {
					p.Release(true)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
