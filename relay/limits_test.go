package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/vm"
)

// Guards against a limit of targets for a call that starts anew at each node that the call goes
// through.
func TestForwardedCallReachesMoreTargetsThanItsLimit(t *testing.T) {
	for _, maxRetries := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprint(maxRetries, " retries"), func(t *testing.T) {
			f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: maxRetries}, 4, 12)
			f.respond = loseResponse
			f.nodes[0].path.set(true)
			for i := range 20 {
				id := fmt.Sprint("call-", i)
				f.call(0, id)
				if got := f.runCount(id); got > maxRetries+1 {
					t.Fatalf("targets that ran a call: got %d, want at most %d", got, maxRetries+1)
				}
			}
		})
	}
}

// Guards against the refusal of a node to take a call from another one, for a reason that lies
// between the two, as the response to the caller.
func TestRefusalBetweenNodesReachesCaller(t *testing.T) {
	for _, tt := range []struct {
		name string
		set  func(n *fleetNode)
	}{
		{"sender not listed", func(n *fleetNode) { n.isUnlisted.Store(true) }},
		{"route not known", func(n *fleetNode) { n.lacksRoute.Store(true) }},
		{"other node at the address", func(n *fleetNode) { n.receiver.Self = "node-9" }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 3, 4)
			f.nodes[0].path.set(true)
			tt.set(f.nodes[1])
			for i := range 20 {
				if w := f.call(0, fmt.Sprint("call-", i)); w.Code != http.StatusOK {
					t.Fatalf("status: got %d, want 200 from the node that takes the call", w.Code)
				}
			}
			tt.set(f.nodes[2])
			if w := f.call(0, "call"); w.Code != http.StatusServiceUnavailable {
				t.Errorf("status when no node takes the call: got %d, want 503", w.Code)
			}
		})
	}
}

// Guards against a node that repeats a relayed call although the sender does not state how many
// attempts are left.
func TestRelayedCallWithoutStatedLimitIsRepeated(t *testing.T) {
	f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: 3}, 1, 4)
	f.respond = loseResponse
	for i, stated := range []string{"", "-1", "1e9", "none"} {
		id := fmt.Sprint("call-", i)
		r, err := http.NewRequest(http.MethodGet, "http://"+string(f.nodes[0].vm.Address)+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(headerTo, "node-0")
		r.Header.Set("Call-Id", id)
		if stated != "" {
			r.Header.Set(entry.HeaderMaxExtraAttempts, stated)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := f.runCount(id); got != 1 {
			t.Errorf("targets that ran a call with %q attempts left: got %d, want 1", stated, got)
		}
	}
}

// Guards against a target whose response looks like that of a node: a call that it ran is then
// sent to another target, or reported as not run.
func TestTargetRepliesAsNodeOfFleet(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 4, 4)
	f.nodes[0].path.set(true)
	f.respond = func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range ownHeaders {
			w.Header().Set(name, refusedBeforeStart)
		}
		w.Header().Set(headerOutcome, "not-run")
		w.Header().Set(entry.HeaderExtraAttempts, "7")
		w.WriteHeader(http.StatusCreated)
	}
	w := f.call(0, "call")
	if w.Code != http.StatusCreated || f.runCount("call") != 1 {
		t.Errorf("call: got status %d and %d targets that ran it, want 201 and 1", w.Code, f.runCount("call"))
	}
	for _, name := range append(ownHeaders, entry.HeaderExtraAttempts) {
		if got := w.Header().Get(name); got != "" {
			t.Errorf("header %s at the caller: got %q, want none", name, got)
		}
	}
}

// Guards against a response between nodes that states no outcome, such as that of a server which
// reads the request in part, as the response to the caller.
func TestResponseWithoutOutcomeReachesCaller(t *testing.T) {
	for _, status := range []int{200, 302, 400, 403, 404, 431, 503} {
		h, sender := newSendingHandler(t, false)
		odd := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del(headerOutcome)
			w.WriteHeader(status)
		}
		setNodes(sender, []vm.VM{startReceiver(t, "node-1", always, odd)})
		if w := post(h, "body"); w.Code != http.StatusBadGateway {
			t.Errorf("status of a call with a response %d: got %d, want 502", status, w.Code)
		}
	}
}

// Guards against calls that add tokens to the budgets of two nodes, and against copies that
// no budget pays for.
func TestForwardedCallsExceedRetryBudgetOfFleet(t *testing.T) {
	const callCount, tokensPerCall = 200, 0.5
	for _, tt := range []struct {
		name      string
		isRefused bool
	}{{"responses lost", false}, {"targets refuse", true}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: 3}, 4, 12)
			f.respond = loseResponse
			for _, n := range f.nodes {
				n.service.ExtraAttemptBudget.SetSettings(retry.Settings{TokensPerCall: tokensPerCall, Burst: 1000})
			}
			f.isRefused = func() bool {
				// The path is lost while a target refuses, or before the call.
				f.nodes[0].path.set(true)
				return tt.isRefused
			}
			for i := range callCount {
				f.nodes[0].path.set(i%2 == 0)
				f.call(0, fmt.Sprint("call-", i))
			}
			if got, want := f.repeatCount(), callCount*tokensPerCall; float64(got) > want {
				t.Errorf("arrivals at targets beyond the first of each call: got %d, want at most %g", got, want)
			}
		})
	}
}
