package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// checked returns a world without processes whose checks run.
func newTestHarness() (h *harness, n *node, t *target) {
	h = &harness{recorder: newRecorder(), zonesOut: map[string]time.Time{}}
	return h, &node{name: "node-0"}, &target{Target: &platformtest.Target{ID: "t-0"}, zone: "east"}
}

// found returns the promises that were found broken.
func findingNames(h *harness) string {
	var names []string
	for _, f := range h.recorder.findings {
		names = append(names, f.Promise)
	}
	return strings.Join(names, " ")
}

func TestRunsThatCannotBe(t *testing.T) {
	for _, test := range []struct {
		name string
		s    Settings
		want bool
	}{
		{"a small run", Settings{Nodes: 5, Targets: 8}, true},
		{"too many descriptors", Settings{Nodes: 1 << 20, Targets: 1 << 20}, false},
		{"one kind of fault", Settings{Only: []string{"stop"}}, true},
		{"an unknown kind", Settings{Only: []string{"flood"}}, false},
		{"a fault of the store with an odd seed", Settings{Seed: 1, Only: []string{"store"}}, true},
		{"a fault of the store with an even seed", Settings{Seed: 2, Only: []string{"store"}}, false},
	} {
		if err := test.s.check(); (err == nil) != test.want {
			t.Errorf("%s: got %v, want it to run: %v", test.name, err, test.want)
		}
	}
}

func TestProcessesThatEndByThemselves(t *testing.T) {
	for _, test := range []struct {
		name, program string
		stopped       bool
		want          string
	}{
		{"a failure", "/bin/false", false, "stays-up"},
		{"a failure while it stops", "/bin/false", true, "stays-up"},
		{"an end that nobody asked for", "/bin/true", false, "stays-up"},
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
		n.storeProxy.close()
		n.peerProxy.close()
		if got := findingNames(&harness{recorder: n.recorder}); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestCallsThatRun(t *testing.T) {
	for _, test := range []struct {
		name, id       string
		unsafe         bool
		runs           int
		reportedNotRun bool
		want           string
	}{
		{"once", "a", true, 1, false, ""},
		{"safe and twice", "b", false, 2, false, ""},
		{"unsafe and twice", "c", true, 2, false, "at-most-once"},
		{"refused and run", "d", true, 1, true, "not-run-is-true"},
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

func TestWorkAtATargetThatLeft(t *testing.T) {
	for _, test := range []struct {
		name        string
		age         time.Duration
		zoneOut     bool
		undisturbed time.Duration
		want        string
	}{
		{"just now", time.Second, false, time.Hour, ""},
		{"long ago", propagationLimit + time.Second, false, time.Hour, "no-work-after-drain"},
		{"long ago, by a node that was broken since", propagationLimit + time.Second, false, time.Second, ""},
		{"its zone is out", propagationLimit + time.Second, true, time.Hour, "no-work-in-a-zone-out"},
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

func TestCallsAtAColdTarget(t *testing.T) {
	for _, test := range []struct {
		name            string
		calls           int
		gap             time.Duration
		forThisInstance bool
		want            string
	}{
		{"as many as it bears", maxColdPerSecond, 0, true, ""},
		{"one more", maxColdPerSecond + 1, 0, true, "cold-start"},
		{"one more, in longer than a second", maxColdPerSecond + 1, time.Second/maxColdPerSecond + time.Millisecond, true, ""},
		{"for another instance", 2 * maxColdPerSecond, 0, false, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, n, tgt := newTestHarness()
			tgt.Cool(time.Minute)
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

func TestArrivalsBeyondTheFirst(t *testing.T) {
	for _, test := range []struct {
		name        string
		sent, extra int
		want        bool
	}{
		{"all that calls allow", 1000, 250, false},
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

func TestConfigurationsThatNodesHold(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		check   configCheck
		started bool
		want    string
	}{
		{"a newer one is on its way", http.StatusNotFound, configCheck{index: 2, heldIndex: 1}, false, ""},
		{"one that it held is gone", http.StatusNotFound, configCheck{index: 1, heldIndex: 1}, false, "configuration-never-back"},
		{"another process holds less", http.StatusNotFound, configCheck{index: 1, heldIndex: 1}, true, ""},
		{"it is late", http.StatusNotFound, configCheck{index: 2, heldIndex: 1, isOverdue: true}, false, "configuration-in-force"},
		{"it is in force", http.StatusOK, configCheck{index: 2, heldIndex: 1, isOverdue: true}, false, ""},
	} {
		h, n, _ := newTestHarness()
		if test.started {
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
