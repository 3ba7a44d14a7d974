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
	Program string
	Args    []string
	Seed    uint64
	Nodes   int
	Targets int
	// StopSignal is the signal of a planned stop, SIGTERM if it is zero.
	StopSignal syscall.Signal
	// Unheard makes targets leave without a word in the store.
	Unheard bool
	// Only names the faults to draw from; none means all.
	Only []string
	// Faults is how long things break, and Callers how many call at once.
	Faults  time.Duration
	Callers int
	// InForce is how long a configuration may take to be in force everywhere when
	// nothing is broken. The default leaves time for slow machines.
	InForce time.Duration
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
	if len(s.enabledFaults()) == 0 {
		return eris.Errorf("only %q: a run with seed %d has no such fault", s.Only, s.Seed)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return eris.Wrap(err, "look up the limit of descriptors")
	}
	if need := uint64(descriptorsPerPair * s.Nodes * s.Targets); need > limit.Cur {
		return eris.Errorf("%d nodes and %d targets need some %d descriptors, %d are allowed: run fewer", s.Nodes, s.Targets, need, limit.Cur)
	}
	return nil
}

// Result is what a run came to.
type Result struct {
	Seed     uint64
	Calls    map[string]int
	Faults   map[string]int
	Findings []string
}

// world is one run.
type harness struct {
	settings     Settings
	rng          *rand.Rand
	store        *platformtest.Store
	storeAddress string
	nodes        []*node
	recorder     *recorder
	closers      []func()

	mu      sync.Mutex
	targets []*target
	// published holds when each configuration was published, by its place among
	// them.
	publishedAt []time.Time
	version     int
	// out holds since when each zone is out of service.
	zonesOut    map[string]time.Time
	faultCounts map[string]int
	sequence    atomic.Int64
	// storeBroken is when the store was last broken.
	storeFaultAt time.Time
}

// zones are the availability zones of a run.
var zones = []string{"east", "west", "south"}

// Run runs nodes under faults and returns what was found.
func Run(ctx context.Context, s Settings) (r Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", s.Seed) }()
	if err := s.check(); err != nil {
		return Result{}, err
	}
	h := &harness{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), store: &platformtest.Store{}, recorder: newRecorder(), faultCounts: map[string]int{}, zonesOut: map[string]time.Time{}}
	defer h.close()
	if err := h.build(); err != nil {
		return Result{}, err
	}
	if !h.awaitReady(ctx, readyTimeout) {
		return Result{}, eris.Errorf("the nodes did not become ready: %s", h.describeUnready())
	}
	callCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range s.Callers {
		callers.Go(func() { h.sendCalls(callCtx, rand.New(rand.NewPCG(s.Seed, uint64(i+1)))) })
	}
	if err := h.injectFaults(ctx); err != nil {
		stop()
		return Result{}, err
	}
	h.checkRecovery(ctx)
	stop()
	callers.Wait()
	h.recorder.checkTotals()
	return h.result(), nil
}

const (
	// startLimit is how long nodes may take to be ready, on a slow machine too.
	readyTimeout = 30 * time.Second
	// applied is how long after a change callers and targets may still see what was
	// before: the platform's bound, stretched as for a store in trouble, and time
	// for slow machines.
	propagationLimit = 12 * time.Second
)

func (h *harness) build() error {
	address, closeStore, err := platformtest.Listen(h.store)
	if err != nil {
		return err
	}
	h.storeAddress = address
	h.closers = append(h.closers, closeStore)
	for range h.settings.Targets {
		if err := h.addTarget(false); err != nil {
			return err
		}
	}
	h.publishConfig()
	for i := range h.settings.Nodes {
		n, err := newNode(i, zones[i%len(zones)], address, h.settings, h.recorder)
		if err != nil {
			return err
		}
		h.nodes = append(h.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) close() {
	for _, n := range h.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.awaitExit(time.Second)
		n.storeProxy.close()
		n.peerProxy.close()
	}
	for _, c := range h.closers {
		c()
	}
}

// plan publishes a configuration of the next version. Each has a route more than the
// one before, by which callers tell which ones a node holds.
func (h *harness) publishConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version += 1 + h.rng.IntN(3)
	h.publishedAt = append(h.publishedAt, time.Now())
	routes := []platformtest.Route{{Prefix: "/safe/", Safe: true, Service: "a"}, {Prefix: "/unsafe/", Service: "a"}}
	for i := range h.publishedAt {
		routes = append(routes, platformtest.Route{Prefix: "/" + configRoute(i) + "/", Safe: true, Service: "a"})
	}
	h.store.Put(platformtest.Operator, "config", platformtest.Configuration(h.version, host, []string{"a"}, routes))
}

// sinceRoute is the route that came with a configuration.
func configRoute(i int) string { return fmt.Sprint("since-", i) }

// newest returns the place of the newest configuration, and when it was published.
func (h *harness) newestConfig() (i int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i = len(h.publishedAt) - 1
	return i, h.publishedAt[i]
}

// host is the host of all calls.
const host = "h.example"

// await waits until all nodes are ready.
func (h *harness) awaitReady(ctx context.Context, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range h.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(h.nodes) {
			return true
		}
	}
	return false
}

// unready tells which nodes are not ready and what they logged last.
func (h *harness) describeUnready() string {
	var text strings.Builder
	for _, n := range h.nodes {
		if !n.isReady() {
			fmt.Fprintf(&text, "%s (ended: %v) logged last:\n%s\n", n.name, n.hasExited(), n.logTail())
		}
	}
	return text.String()
}

// recoveryCalls is how many calls must all be served once everything is whole.
const recoveryCalls = 40

// recover mends everything and checks that all is served again.
func (h *harness) checkRecovery(ctx context.Context) {
	h.store.SetFault(platformtest.None)
	h.mu.Lock()
	for z := range h.zonesOut {
		h.restoreZone(z)
	}
	h.mu.Unlock()
	for _, n := range h.nodes {
		n.storeProxy.setMode(linkOpen)
		n.peerProxy.setMode(linkOpen)
		n.signal(syscall.SIGCONT)
	}
	if !h.awaitReady(ctx, readyTimeout) {
		h.recorder.addFinding("recovery", "not all nodes were ready %s after the last fault: %s", readyTimeout, h.describeUnready())
		return
	}
	time.Sleep(2 * time.Second)
	client := newClient()
	for i := range recoveryCalls {
		n := h.nodes[i%len(h.nodes)]
		id := fmt.Sprintf("recover-%d", i)
		h.recorder.recordSent(id, false, n)
		if status, err := h.send(ctx, client, n, id, "safe"); err != nil || status != 200 {
			h.recorder.addFinding("recovery", "%s at %s: got %d %v, want 200", id, n.name, status, err)
		}
	}
	h.checkPropagation(ctx, client)
}

// change publishes a configuration while a target leaves, and checks that every node
// serves its new route in time.
func (h *harness) checkPropagation(ctx context.Context, client *http.Client) {
	h.publishConfig()
	h.removeTarget()
	limit := cmp.Or(h.settings.InForce, propagationLimit)
	i, published := h.newestConfig()
	for _, n := range h.nodes {
		for tries := 0; !h.servesConfig(ctx, client, n, i, tries); tries++ {
			if time.Since(published) > limit || ctx.Err() != nil {
				h.recorder.addFinding("configuration-in-force", "%s does not serve the new route after %s", n.name, limit)
				break
			}
			time.Sleep(routePollInterval)
		}
	}
	h.logf("the new configuration was in force everywhere after %s", time.Since(published).Round(time.Millisecond))
}

// askAgain is the time between two calls to a node that does not serve a route yet.
const routePollInterval = 20 * time.Millisecond

// serves reports whether a node serves the route that came with a configuration.
func (h *harness) servesConfig(ctx context.Context, client *http.Client, n *node, configuration, try int) bool {
	id := fmt.Sprintf("change-%s-%d", n.name, try)
	h.recorder.recordSent(id, false, n)
	status, err := h.send(ctx, client, n, id, configRoute(configuration))
	return err == nil && status == http.StatusOK
}

func (h *harness) result() Result {
	r := Result{Seed: h.settings.Seed, Calls: h.recorder.outcomeCounts, Faults: h.faultCounts}
	for _, f := range h.recorder.findings {
		r.Findings = append(r.Findings, f.Promise+": "+f.Detail)
	}
	return r
}

func (h *harness) logf(format string, args ...any) {
	if h.settings.Progress != nil {
		fmt.Fprintf(h.settings.Progress, format+"\n", args...)
	}
}

// TempDir returns a new folder for a run's files.
func TempDir() (dir string, err error) {
	return os.MkdirTemp("", "apricotmount-soak-")
}
