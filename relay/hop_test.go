package relay

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/profile"
)

// relayAfter sends a call that waits for the given time before a node takes it, and returns
// the call at that node and its latest deadline.
func relayAfter(t *testing.T, wait time.Duration) (received *dispatch.Call, deadline time.Time) {
	t.Helper()
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second}, 3, 2)
	f.nodes[0].path.set(true)
	var hasWaited atomic.Bool
	var call atomic.Pointer[dispatch.Call]
	for _, n := range f.nodes[1:] {
		n.receiver.CanServe = func() bool {
			if hasWaited.Swap(true) {
				return true
			}
			time.Sleep(wait)
			return false
		}
		n.handler.OnCallEnd = func(e entry.CallResult) { call.Store(e.Call) }
	}
	r := httptest.NewRequest(http.MethodGet, "http://h.example/x", nil)
	r.Header.Set(entry.HeaderDeadline, "2000")
	deadline = time.Now().Add(2 * time.Second)
	f.nodes[0].handler.ServeHTTP(httptest.NewRecorder(), r)
	if received = call.Load(); received == nil {
		t.Fatal("relayed call: got none, want one")
	}
	return received, deadline
}

// Guards against a deadline that starts anew at the node that serves a relayed call.
func TestRelayedCallKeepsDeadlineAndCaller(t *testing.T) {
	const wait, slack = 300 * time.Millisecond, 250 * time.Millisecond
	c, deadline := relayAfter(t, wait)
	if got := c.Deadline.Sub(deadline); got > slack {
		t.Errorf("deadline at the other node: got %s after that of the caller, want at most %s", got, slack)
	}
	if c.Caller != "192.0.2.1" {
		t.Errorf("caller: got %q, want 192.0.2.1", c.Caller)
	}
}

// Guards against a latency objective that starts anew at the node that serves a relayed call.
func TestRelayedCallKeepsAge(t *testing.T) {
	const wait = 300 * time.Millisecond
	if c, _ := relayAfter(t, wait); c.Age < wait {
		t.Errorf("age at the other node: got %s, want at least %s", c.Age, wait)
	}
}

// Guards against a call that one node has perhaps run, and that is reported as not run
// because the next node refused it.
func TestLostCallThatNextNodeRefusesIsUnknown(t *testing.T) {
	f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, MaxRetries: 1}, 3, 0)
	f.nodes[0].path.set(true)
	var calls atomic.Int64
	for _, n := range f.nodes[1:] {
		n.receiver.CanServe = func() bool {
			if calls.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			return true
		}
	}
	// One copy is paid for; a node without targets refuses it.
	f.nodes[0].service.ExtraAttemptBudget.Earn()
	w := f.call(0, "call")
	if got := calls.Load(); got < 2 || w.Code != http.StatusBadGateway {
		t.Errorf("copies and status: got %d and %d, want 2 at least and 502", got, w.Code)
	}
}
