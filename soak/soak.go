package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// Settings of a run.
type Settings struct {
	// Program and Args start one node, which reads its settings file from the
	// environment.
	Program     string
	Args        []string
	Seed        uint64
	NodeCount   int
	TargetCount int
	// StopSignal is the signal of a planned stop, SIGTERM if it is zero.
	StopSignal syscall.Signal
	// Unheard makes targets leave without a word in the store.
	UnannouncedLeave bool
	// Only names the faults to draw from; none means all.
	FaultNames []string
	// Faults is how long things break, and Callers how many call at once.
	FaultDuration time.Duration
	CallerCount   int
	// InForce is how long a configuration may take to be in force everywhere when
	// nothing is broken. The default leaves time for slow machines.
	ConfigTimeout time.Duration
	// Dir gets settings and logs, and Progress what happens.
	Dir      string
	Progress io.Writer
}

// descriptorsPerPair is how many descriptors this process may hold for a node and a
// target that speak to each other: the proxy's two and the target's own, and some of a
// second connection.
const descriptorsPerPair = 4

// check returns an error if no fault is left to draw, or if this process may not open
// as many descriptors as the run needs.
func (s Settings) check() error {
	if len(s.kinds()) == 0 {
		return eris.Errorf("only %q: a run with seed %d has no such fault", s.FaultNames, s.Seed)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return eris.Wrap(err, "look up the limit of descriptors")
	}
	if need := uint64(descriptorsPerPair * s.NodeCount * s.TargetCount); need > limit.Cur {
		return eris.Errorf("%d nodes and %d targets need some %d descriptors, %d are allowed: run fewer", s.NodeCount, s.TargetCount, need, limit.Cur)
	}
	return nil
}

// Result is what a run came to.
type Result struct {
	Seed          uint64
	OutcomeCounts map[string]int
	FaultCounts   map[string]int
	Findings      []string
}

// world is one run.
type world struct {
	settings Settings
	rng      *rand.Rand
	store    *platformtest.Store
	address  string
	nodes    []*node
	account  *account
	closers  []func()

	mu      sync.Mutex
	targets []*target
	// published holds when each configuration was published, by its place among
	// them.
	published []time.Time
	version   int
	// out holds since when each zone is out of service.
	out      map[string]time.Time
	faults   map[string]int
	sequence atomic.Int64
	// storeBroken is when the store was last broken.
	storeBroken time.Time
}

// zones are the availability zones of a run.
var zones = []string{"east", "west", "south"}

// Run runs nodes under faults and returns what was found.
func Run(ctx context.Context, s Settings) (r Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", s.Seed) }()
	if err := s.check(); err != nil {
		return Result{}, err
	}
	w := &world{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), store: &platformtest.Store{}, account: newAccount(), faults: map[string]int{}, out: map[string]time.Time{}}
	defer w.close()
	if err := w.build(); err != nil {
		return Result{}, err
	}
	if !w.await(ctx, startLimit) {
		return Result{}, eris.Errorf("the nodes did not become ready: %s", w.unready())
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range s.CallerCount {
		callers.Go(func() { w.call(calling, rand.New(rand.NewPCG(s.Seed, uint64(i+1)))) })
	}
	if err := w.breakThings(ctx); err != nil {
		stop()
		return Result{}, err
	}
	w.recover(ctx)
	stop()
	callers.Wait()
	w.account.settle()
	return w.result(), nil
}

const (
	// startLimit is how long nodes may take to be ready, on a slow machine too.
	startLimit = 30 * time.Second
	// applied is how long after a change callers and targets may still see what was
	// before: the platform's bound, stretched as for a store in trouble, and time
	// for slow machines.
	applied = 12 * time.Second
)

func (w *world) build() error {
	address, closeStore, err := platformtest.StartServer(w.store)
	if err != nil {
		return err
	}
	w.address = address
	w.closers = append(w.closers, closeStore)
	for range w.settings.TargetCount {
		if err := w.addTarget(false); err != nil {
			return err
		}
	}
	w.plan()
	for i := range w.settings.NodeCount {
		n, err := newNode(i, zones[i%len(zones)], address, w.settings, w.account)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.await(time.Second)
		n.store.close()
		n.peers.close()
	}
	for _, c := range w.closers {
		c()
	}
}

// plan publishes a configuration of the next version. Each has a route more than the
// one before, by which callers tell which ones a node holds.
func (w *world) plan() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.rng.IntN(3)
	w.published = append(w.published, time.Now())
	routes := []platformtest.Route{{Prefix: "/safe/", IsIdempotent: true, Service: "a"}, {Prefix: "/unsafe/", Service: "a"}}
	for i := range w.published {
		routes = append(routes, platformtest.Route{Prefix: "/" + sinceRoute(i) + "/", IsIdempotent: true, Service: "a"})
	}
	w.store.Put(platformtest.OperatorTopic, "config", platformtest.ConfigurationJSON(w.version, host, []string{"a"}, routes))
}

// sinceRoute is the route that came with a configuration.
func sinceRoute(i int) string { return fmt.Sprint("since-", i) }

// newest returns the place of the newest configuration, and when it was published.
func (w *world) newest() (i int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i = len(w.published) - 1
	return i, w.published[i]
}

// host is the host of all calls.
const host = "h.example"

// await waits until all nodes are ready.
func (w *world) await(ctx context.Context, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
	}
	return false
}

// unready tells which nodes are not ready and what they logged last.
func (w *world) unready() string {
	var text strings.Builder
	for _, n := range w.nodes {
		if !n.isReady() {
			fmt.Fprintf(&text, "%s (ended: %v) logged last:\n%s\n", n.name, n.hasEnded(), n.tail())
		}
	}
	return text.String()
}

// recoveryCalls is how many calls must all be served once everything is whole.
const recoveryCalls = 40

// recover mends everything and checks that all is served again.
func (w *world) recover(ctx context.Context) {
	w.store.SetFault(platformtest.NoFault)
	w.mu.Lock()
	for z := range w.out {
		w.bringBack(z)
	}
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.store.set(open)
		n.peers.set(open)
		n.signal(syscall.SIGCONT)
	}
	if !w.await(ctx, startLimit) {
		w.account.broken("recovery", "not all nodes were ready %s after the last fault: %s", startLimit, w.unready())
		return
	}
	time.Sleep(2 * time.Second)
	client := newCaller()
	for i := range recoveryCalls {
		n := w.nodes[i%len(w.nodes)]
		id := fmt.Sprintf("recover-%d", i)
		w.account.sent(id, false, n)
		if status, err := w.send(ctx, client, n, id, "safe"); err != nil || status != 200 {
			w.account.broken("recovery", "%s at %s: got %d %v, want 200", id, n.name, status, err)
		}
	}
	w.change(ctx, client)
}

// change publishes a configuration while a target leaves, and checks that every node
// serves its new route in time.
func (w *world) change(ctx context.Context, client *http.Client) {
	w.plan()
	w.removeTarget()
	limit := cmp.Or(w.settings.ConfigTimeout, applied)
	i, published := w.newest()
	for _, n := range w.nodes {
		for tries := 0; !w.serves(ctx, client, n, i, tries); tries++ {
			if time.Since(published) > limit || ctx.Err() != nil {
				w.account.broken("configuration-in-force", "%s does not serve the new route after %s", n.name, limit)
				break
			}
			time.Sleep(askAgain)
		}
	}
	w.note("the new configuration was in force everywhere after %s", time.Since(published).Round(time.Millisecond))
}

// askAgain is the time between two calls to a node that does not serve a route yet.
const askAgain = 20 * time.Millisecond

// serves reports whether a node serves the route that came with a configuration.
func (w *world) serves(ctx context.Context, client *http.Client, n *node, configuration, try int) bool {
	id := fmt.Sprintf("change-%s-%d", n.name, try)
	w.account.sent(id, false, n)
	status, err := w.send(ctx, client, n, id, sinceRoute(configuration))
	return err == nil && status == http.StatusOK
}

func (w *world) result() Result {
	r := Result{Seed: w.settings.Seed, OutcomeCounts: w.account.counts, FaultCounts: w.faults}
	for _, f := range w.account.findings {
		r.Findings = append(r.Findings, f.Guarantee+": "+f.Detail)
	}
	return r
}

func (w *world) note(format string, args ...any) {
	if w.settings.Progress != nil {
		fmt.Fprintf(w.settings.Progress, format+"\n", args...)
	}
}

// TempDir returns a new folder for a run's files.
func TempDir() (dir string, err error) {
	return os.MkdirTemp("", "apricotmount-soak-")
}
