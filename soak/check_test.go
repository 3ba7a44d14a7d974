package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// newTestHarness returns a harness without processes, a node and a target, to call
// the checks directly.
func newTestHarness() (h *harness, n *node, t *target) {
	h = &harness{recorder: newRecorder(), zonesOut: map[string]time.Time{}}
	return h, &node{name: "node-0"}, &target{Target: &platformtest.Target{ID: "t-0"}, zone: "east"}
}

// findingNames returns the names of the violated guarantees, in order.
func findingNames(h *harness) string {
	var names []string
	for _, f := range h.recorder.findings {
		names = append(names, f.Guarantee)
	}
	return strings.Join(names, " ")
}

func TestSettingsCheckRejectsImpossibleRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		s    Settings
		want bool
	}{
		{"a small run", Settings{NodeCount: 5, TargetCount: 8}, true},
		{"too many descriptors", Settings{NodeCount: 1 << 20, TargetCount: 1 << 20}, false},
		{"one kind of fault", Settings{FaultNames: []string{"stop"}}, true},
		{"an unknown kind of fault", Settings{FaultNames: []string{"flood"}}, false},
		{"a store fault with an odd seed", Settings{Seed: 1, FaultNames: []string{"store"}}, true},
		{"a store fault with an even seed", Settings{Seed: 2, FaultNames: []string{"store"}}, false},
	} {
		if err := test.s.check(); (err == nil) != test.want {
			t.Errorf("%s: got error %v, want success: %v", test.name, err, test.want)
		}
	}
}

func TestUnplannedProcessExitIsAFinding(t *testing.T) {
	for _, test := range []struct {
		name, program string
		stopped       bool
		want          string
	}{
		{"a failure", "/bin/false", false, "stays-up"},
		{"a failure during a planned stop", "/bin/false", true, "stays-up"},
		{"an exit without a planned stop", "/bin/true", false, "stays-up"},
		{"a planned stop", "/bin/true", true, ""},
	} {
		s := Settings{Program: test.program, Dir: t.TempDir()}
		n, err := newNode(0, "east", "127.0.0.1:1", s, newRecorder())
		if err != nil {
			t.Fatal(err)
		}
		if test.stopped {
			n.stoppedAt = time.Now().Add(time.Hour)
		}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
		<-n.ended
		n.storeProxy.Close()
		n.peerProxy.Close()
		if got := findingNames(&harness{recorder: n.recorder}); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestRepeatedOrRefusedCallsThatRanAreFindings(t *testing.T) {
	for _, test := range []struct {
		name, id       string
		unsafe         bool
		runs           int
		reportedNotRun bool
		want           string
	}{
		{"run once", "a", true, 1, false, ""},
		{"safe call run twice", "b", false, 2, false, ""},
		{"unsafe call run twice", "c", true, 2, false, "at-most-once"},
		{"unsafe call run and reported as not run", "d", true, 1, true, "not-run-is-true"},
	} {
		h, n, _ := newTestHarness()
		h.recorder.recordSent(test.id, test.unsafe, n)
		for range test.runs {
			h.recorder.recordArrival(test.id)
			h.recorder.recordRun(test.id)
		}
		h.recorder.recordOutcome(test.id, "200", test.reportedNotRun)
		h.recorder.checkTotals()
		if got := findingNames(h); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestWorkAfterTargetOrZoneWithdrawalIsAFinding(t *testing.T) {
	for _, test := range []struct {
		name        string
		age         time.Duration
		zoneOut     bool
		undisturbed time.Duration
		want        string
	}{
		{"within the propagation limit", time.Second, false, time.Hour, ""},
		{"after the propagation limit", propagationLimit + time.Second, false, time.Hour, "no-work-after-drain"},
		{"after the propagation limit, by a recently disturbed node", propagationLimit + time.Second, false, time.Second, ""},
		{"zone withdrawn longer than the propagation limit", propagationLimit + time.Second, true, time.Hour, "no-work-in-a-zone-out"},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, n, tgt := newTestHarness()
			n.recordDisturbance(time.Now().Add(-test.undisturbed))
			since := time.Now().Add(-test.age)
			if test.zoneOut {
				h.zonesOut[tgt.zone] = since
			} else {
				tgt.leftAt = since
			}
			h.recorder.recordSent("a", true, n)
			h.onRun(tgt, "a")
			if got := findingNames(h); got != test.want {
				t.Errorf("%s: got %q, want %q", test.name, got, test.want)
			}
		})
	}
}

func TestCallsBeyondColdStartLimitAreAFinding(t *testing.T) {
	for _, test := range []struct {
		name            string
		calls           int
		gap             time.Duration
		forThisInstance bool
		want            string
	}{
		{"as many as allowed", maxColdPerSecond, 0, true, ""},
		{"one more", maxColdPerSecond + 1, 0, true, "cold-start"},
		{"one more, over more than a second", maxColdPerSecond + 1, time.Second/maxColdPerSecond + time.Millisecond, true, ""},
		{"calls for another instance", 2 * maxColdPerSecond, 0, false, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, n, tgt := newTestHarness()
			tgt.StartColdPeriod(time.Minute)
			for i := range test.calls {
				id := fmt.Sprint(i)
				h.recorder.recordSent(id, false, n)
				h.onArrival(tgt, id, test.forThisInstance)
				time.Sleep(test.gap)
			}
			if got := findingNames(h); got != test.want {
				t.Errorf("%s: got %q, want %q", test.name, got, test.want)
			}
		})
	}
}

func TestExtraArrivalsBeyondRetryBudgetAreAFinding(t *testing.T) {
	for _, test := range []struct {
		name        string
		sent, extra int
		want        bool
	}{
		{"as many as the budget allows", 1000, 250, false},
		{"one more", 1000, 251, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, n, _ := newTestHarness()
			for i := range test.sent {
				h.recorder.recordSent(fmt.Sprint(i), false, n)
			}
			time.Sleep(time.Second)
			h.recorder.recordArrival("0")
			for range test.extra {
				h.recorder.recordArrival("0")
			}
			h.recorder.checkTotals()
			if got := strings.Contains(findingNames(h), "retry-budget"); got != test.want {
				t.Errorf("%s: got %v, want %v", test.name, got, test.want)
			}
		})
	}
}

func TestRevertedOrLateConfigurationIsAFinding(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    int
		check     configCheck
		restarted bool
		want      string
	}{
		{"a newer one is not yet active, within the limit", http.StatusNotFound, configCheck{index: 2, heldIndex: 1}, false, ""},
		{"one that the process held is no longer active", http.StatusNotFound, configCheck{index: 1, heldIndex: 1}, false, "configuration-never-back"},
		{"the node was restarted since", http.StatusNotFound, configCheck{index: 1, heldIndex: 1}, true, ""},
		{"a newer one is not active after the limit", http.StatusNotFound, configCheck{index: 2, heldIndex: 1, isOverdue: true}, false, "configuration-in-force"},
		{"a newer one is active", http.StatusOK, configCheck{index: 2, heldIndex: 1, isOverdue: true}, false, ""},
	} {
		h, n, _ := newTestHarness()
		if test.restarted {
			n.startCount++
		}
		test.check.node, test.check.id = n, "a"
		h.recorder.recordSent("a", false, n)
		h.checkConfig(test.check, test.status)
		if got := findingNames(h); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestCallsAgainstTargetsNoticeAreAFinding(t *testing.T) {
	for _, test := range []struct {
		name            string
		leaving         bool
		age             time.Duration
		calls           int
		linkDisturbed   bool
		nodeUndisturbed time.Duration
		want            string
	}{
		{"leaving, within the limit", true, leavingLimit - time.Second, 1, false, time.Hour, ""},
		{"leaving, after the limit", true, leavingLimit + time.Second, 1, false, time.Hour, "leaving-target"},
		{"leaving, told over a disturbed link", true, leavingLimit + time.Second, 1, true, time.Hour, ""},
		{"leaving, told before the node was disturbed", true, leavingLimit + time.Second, 1, false, time.Second, ""},
		{"refusing, as many as allowed", false, time.Second, maxRefusedArrivals, false, time.Hour, ""},
		{"refusing, one more", false, time.Second, maxRefusedArrivals + 1, false, time.Hour, "refusing-target"},
		{"refusing, at once", false, refusalReaction / 2, maxRefusedArrivals + 1, false, time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, n, tgt := newTestHarness()
				tgt.announced = test.leaving
				if !test.leaving {
					tgt.refusingUntil = time.Now().Add(maxRefusal)
				}
				h.recorder.recordSent("a", false, n)
				n.recordDisturbance(time.Now().Add(-time.Minute))
				h.onArrival(tgt, "a", true)
				time.Sleep(test.age)
				if test.linkDisturbed {
					tgt.linkDisturbedAt = time.Now()
				}
				if test.nodeUndisturbed < test.age {
					n.recordDisturbance(time.Now().Add(-test.nodeUndisturbed))
				}
				for range test.calls {
					h.onArrival(tgt, "a", true)
				}
				if got := findingNames(h); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

func TestCallsBeyondRateLimitAreAFinding(t *testing.T) {
	for _, test := range []struct {
		name            string
		calls           int
		age             time.Duration
		gap             time.Duration
		nodeUndisturbed time.Duration
		want            string
	}{
		{"as many as allowed", allowedInWindow(1), time.Minute, 0, time.Hour, ""},
		{"one more", allowedInWindow(1) + 1, time.Minute, 0, time.Hour, "rate-limit"},
		{"one more, over a longer time", allowedInWindow(1) + 1, time.Minute, time.Second, time.Hour, ""},
		{"just after the limit was named", 100, time.Second, 0, time.Hour, ""},
		{"by a node that was disturbed since", 100, time.Minute, 0, time.Second, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, n, tgt := newTestHarness()
			n.recordDisturbance(time.Now().Add(-test.nodeUndisturbed))
			tgt.limit = namedLimit{perSecond: 1, namedAt: time.Now().Add(-test.age)}
			for i := range test.calls {
				id := fmt.Sprint(i)
				h.recorder.recordSent(id, false, n)
				h.onArrival(tgt, id, true)
				time.Sleep(test.gap)
			}
			if got := findingNames(h); got != test.want {
				t.Errorf("%s: got %q, want %q", test.name, got, test.want)
			}
		})
	}
}

// A node that does not serve the route of the newest configuration must be found, also if no
// configuration was published since.
func TestConfigurationThatIsNotInForceIsAFinding(t *testing.T) {
	for _, test := range []struct {
		status int
		want   string
	}{{http.StatusOK, ""}, {http.StatusNotFound, "configuration-in-force"}} {
		var response http.Handler = http.NotFoundHandler()
		if test.status == http.StatusOK {
			response = &platformtest.Target{ID: "t-0", Slots: 1}
		}
		server := httptest.NewServer(response)
		h, n, _ := newTestHarness()
		n.callerAddress = strings.TrimPrefix(server.URL, "http://")
		h.nodes = []*node{n}
		h.settings.ConfigTimeout = 50 * time.Millisecond
		h.awaitConfig(t.Context(), newClient(), 0, time.Now())
		server.Close()
		if got := findingNames(h); got != test.want {
			t.Errorf("status %d: got %q, want %q", test.status, got, test.want)
		}
	}
}
