package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
)

// faults draws what goes wrong in a testFleet. It is safe for concurrent use.
type faults struct {
	mu  sync.Mutex
	rng *rand.Rand
	// lossShare is the share of calls whose response a target loses, refusalShare that of the
	// attempts which targets refuse, and breakShare that of the relayed calls which a node
	// loses.
	lossShare, refusalShare, breakShare float64
}

// newFaults returns the faults of a seed.
func newFaults(seed uint64) *faults {
	d := &faults{rng: rand.New(rand.NewPCG(seed, 0))}
	d.lossShare = []float64{0.1, 0.5, 1}[d.intN(3)]
	d.refusalShare = []float64{0, 0.1, 0.6}[d.intN(3)]
	d.breakShare = []float64{0, 0.4}[d.intN(2)]
	return d
}

// draw reports an event of the given probability.
func (d *faults) draw(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < p
}

func (d *faults) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// changeFleet changes what some nodes know or reach. The first one, which has the callers, is
// without a path most of the time.
func (d *faults) changeFleet(f *testFleet) {
	f.nodes[0].path.set(d.draw(0.5))
	for _, n := range f.nodes[1:] {
		n.path.set(d.draw(0.15))
		n.isUnlisted.Store(d.draw(0.1))
		n.lacksRoute.Store(d.draw(0.1))
	}
}

// refuse reports whether a target refuses an attempt. Nodes may lose their paths then.
func (d *faults) refuse(f *testFleet) bool {
	if !d.draw(d.refusalShare) {
		return false
	}
	for _, n := range f.nodes {
		if d.draw(0.3) {
			n.path.set(true)
		}
	}
	return true
}

// serveTarget is what a target does with a call that it runs.
func (d *faults) serveTarget(f *testFleet) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if d.draw(0.5) {
			f.nodes[0].path.set(true)
			time.Sleep(time.Millisecond)
		}
		if d.draw(d.lossShare) {
			panic(http.ErrAbortHandler)
		}
		switch d.intN(4) {
		case 0, 1, 2:
			w.WriteHeader(http.StatusInternalServerError)
		default:
			for _, name := range ownHeaders {
				w.Header().Set(name, refusedBeforeStart)
			}
		}
	}
}

// hastyWriter writes responses without a time for the next request, so that a node that has
// refused a call is tried again at once.
type hastyWriter struct{ http.ResponseWriter }

func (w *hastyWriter) WriteHeader(status int) {
	w.Header().Del("Retry-After")
	w.ResponseWriter.WriteHeader(status)
}

func (w *hastyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// breakPeers makes nodes lose the responses to calls of others, as a node that restarts does.
func (d *faults) breakPeers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTo) == "" {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&hastyWriter{w}, r)
		if d.draw(d.breakShare) {
			panic(http.ErrAbortHandler)
		}
	})
}

// Whatever is lost, refused or restarted, a call runs at no more targets than its route allows,
// its copies are within the fleet's sum, it is not reported as not run if it ran, and no caller
// gets a 3xx or 4xx that no target sent.
func TestCallsThroughNodesKeepTheirBounds(t *testing.T) {
	const seedCount, callsPerSeed = 30, 60
	for seed := range uint64(seedCount) {
		d := newFaults(seed)
		p := profile.Profile{Idempotent: d.draw(0.7), CallTimeout: 3 * time.Second, AttemptTimeout: time.Second, MaxRetries: d.intN(6)}
		p.Hedge, p.HedgePercentile = p.Idempotent && d.draw(0.5), profile.DefaultHedgePercentile
		f := newTestFleetWith(t, p, 3+d.intN(4), 12, d.breakPeers)
		// Few tokens try the fleet's sum, many the limit of each call.
		tokensPerCall := []float64{0.02, 20}[seed%2]
		maxRuns := 1
		if p.Idempotent {
			maxRuns += p.MaxRetries
		}
		for _, n := range f.nodes {
			n.service.ExtraAttemptBudget.SetSettings(retry.Settings{TokensPerCall: tokensPerCall, Burst: 1000})
			if p.Hedge && tokensPerCall > 1 {
				enableHedges(n, 500*time.Microsecond)
			}
		}
		f.isRefused = func() bool { return d.refuse(f) }
		f.respond = d.serveTarget(f)
		var calls sync.WaitGroup
		slots := make(chan struct{}, 4)
		for i := range callsPerSeed {
			slots <- struct{}{}
			d.changeFleet(f)
			calls.Go(func() {
				defer func() { <-slots }()
				id := fmt.Sprint("call-", i)
				w := callThrough(f.nodes[0].handler, id)
				runs := f.runCount(id)
				if runs > maxRuns {
					t.Errorf("seed %d, %s: targets that ran it: got %d, want at most %d", seed, id, runs, maxRuns)
				}
				if w.Code >= 300 && w.Code < 500 {
					t.Errorf("seed %d, %s: status: got %d, want none of 3xx and 4xx", seed, id, w.Code)
				}
				if runs > 0 && (w.Code == http.StatusServiceUnavailable || f.isNotRun(id)) {
					t.Errorf("seed %d, %s: got not-run with status %d, want another outcome after %d runs", seed, id, w.Code, runs)
				}
			})
		}
		calls.Wait()
		if got, want := f.repeatCount(), callsPerSeed*tokensPerCall; float64(got) > want {
			t.Errorf("seed %d: arrivals beyond the first of each call: got %d, want at most %g", seed, got, want)
		}
	}
}

// callThrough sends a call and returns its response; one that breaks off has status 0.
func callThrough(h http.Handler, id string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w.Code = 0
		}
	}()
	r := httptest.NewRequest(http.MethodGet, "http://h.example/x", nil)
	r.Header.Set("Call-Id", id)
	h.ServeHTTP(w, r)
	return w
}
