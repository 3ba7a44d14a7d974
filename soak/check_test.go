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
func checked() (w *world, n *node, t *target) {
	w = &world{account: newAccount(), out: map[string]time.Time{}}
	return w, &node{name: "node-0"}, &target{Target: &platformtest.Target{ID: "t-0"}, zone: "east"}
}

// found returns the promises that were found broken.
func found(w *world) string {
	var names []string
	for _, f := range w.account.findings {
		names = append(names, f.Guarantee)
	}
	return strings.Join(names, " ")
}

func TestRunsThatCannotBe(t *testing.T) {
	for _, test := range []struct {
		name string
		s    Settings
		want bool
	}{
		{"a small run", Settings{NodeCount: 5, TargetCount: 8}, true},
		{"too many descriptors", Settings{NodeCount: 1 << 20, TargetCount: 1 << 20}, false},
		{"one kind of fault", Settings{FaultNames: []string{"stop"}}, true},
		{"an unknown kind", Settings{FaultNames: []string{"flood"}}, false},
		{"a fault of the store with an odd seed", Settings{Seed: 1, FaultNames: []string{"store"}}, true},
		{"a fault of the store with an even seed", Settings{Seed: 2, FaultNames: []string{"store"}}, false},
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
		n, err := newNode(0, "east", "127.0.0.1:1", s, newAccount())
		if err != nil {
			t.Fatal(err)
		}
		if test.stopped {
			n.stopped = time.Now().Add(time.Hour)
		}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
		<-n.ended
		n.store.close()
		n.peers.close()
		if got := found(&world{account: n.account}); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestCallsThatRun(t *testing.T) {
	for _, test := range []struct {
		name, id string
		unsafe   bool
		runs     int
		refused  bool
		want     string
	}{
		{"once", "a", true, 1, false, ""},
		{"safe and twice", "b", false, 2, false, ""},
		{"unsafe and twice", "c", true, 2, false, "at-most-once"},
		{"refused and run", "d", true, 1, true, "not-run-is-true"},
	} {
		w, n, _ := checked()
		w.account.sent(test.id, test.unsafe, n)
		for range test.runs {
			w.account.arrived(test.id)
			w.account.ran(test.id)
		}
		w.account.told(test.id, "200", test.refused)
		w.account.settle()
		if got := found(w); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestWorkAtATargetThatLeft(t *testing.T) {
	for _, test := range []struct {
		name   string
		before time.Duration
		zone   bool
		calm   time.Duration
		want   string
	}{
		{"just now", time.Second, false, time.Hour, ""},
		{"long ago", applied + time.Second, false, time.Hour, "no-work-after-drain"},
		{"long ago, by a node that was broken since", applied + time.Second, false, time.Second, ""},
		{"its zone is out", applied + time.Second, true, time.Hour, "no-work-in-a-zone-out"},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, n, to := checked()
			n.disturb(time.Now().Add(-test.calm))
			since := time.Now().Add(-test.before)
			if test.zone {
				w.out[to.zone] = since
			} else {
				to.leftAt = since
			}
			w.account.sent("a", true, n)
			w.ran(to, "a")
			if got := found(w); got != test.want {
				t.Errorf("%s: got %q, want %q", test.name, got, test.want)
			}
		})
	}
}

func TestCallsAtAColdTarget(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls int
		gap   time.Duration
		mine  bool
		want  string
	}{
		{"as many as it bears", coldMost, 0, true, ""},
		{"one more", coldMost + 1, 0, true, "cold-start"},
		{"one more, in longer than a second", coldMost + 1, time.Second/coldMost + time.Millisecond, true, ""},
		{"for another instance", 2 * coldMost, 0, false, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, n, to := checked()
			to.StartColdPeriod(time.Minute)
			for i := range test.calls {
				id := fmt.Sprint(i)
				w.account.sent(id, false, n)
				w.arrived(to, id, test.mine)
				time.Sleep(test.gap)
			}
			if got := found(w); got != test.want {
				t.Errorf("%s: got %q, want %q", test.name, got, test.want)
			}
		})
	}
}

func TestArrivalsBeyondTheFirst(t *testing.T) {
	for _, test := range []struct {
		name        string
		sent, again int
		want        bool
	}{
		{"all that calls allow", 1000, 250, false},
		{"one more", 1000, 251, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			w, n, _ := checked()
			for i := range test.sent {
				w.account.sent(fmt.Sprint(i), false, n)
			}
			time.Sleep(time.Second)
			w.account.arrived("0")
			for range test.again {
				w.account.arrived("0")
			}
			w.account.settle()
			if got := strings.Contains(found(w), "retry-budget"); got != test.want {
				t.Errorf("%s: got %v, want %v", test.name, got, test.want)
			}
		})
	}
}

func TestConfigurationsThatNodesHold(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		q       question
		started bool
		want    string
	}{
		{"a newer one is on its way", http.StatusNotFound, question{asked: 2, held: 1}, false, ""},
		{"one that it held is gone", http.StatusNotFound, question{asked: 1, held: 1}, false, "configuration-never-back"},
		{"another process holds less", http.StatusNotFound, question{asked: 1, held: 1}, true, ""},
		{"it is late", http.StatusNotFound, question{asked: 2, held: 1, overdue: true}, false, "configuration-in-force"},
		{"it is in force", http.StatusOK, question{asked: 2, held: 1, overdue: true}, false, ""},
	} {
		w, n, _ := checked()
		if test.started {
			n.starts++
		}
		test.q.to, test.q.id = n, "a"
		w.account.sent("a", false, n)
		w.judgeSince(test.q, test.status)
		if got := found(w); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
