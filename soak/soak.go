package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// Settings configure a run.
type Settings struct {
	// Program and Args start one node, which reads the path of its settings file from
	// the environment.
	Program     string
	Args        []string
	Seed        uint64
	NodeCount   int
	TargetCount int
	// StopSignal is the signal of a planned stop; zero means SIGTERM.
	StopSignal syscall.Signal
	// SoleMembers makes the store name no other node to a node, so that each takes what
	// targets accept from the whole fleet for itself.
	SoleMembers bool
	// UnannouncedLeave makes targets leave without a record in the store.
	UnannouncedLeave bool
	// FaultNames lists the names of the faults to draw from; empty means all.
	FaultNames []string
	// FaultDuration is how long faults are injected, and CallerCount the number of
	// concurrent callers.
	FaultDuration time.Duration
	CallerCount   int
	// Harmful adds a caller whose requests end the targets that run them. With
	// DistinctCopies each copy is another request, so that no node can identify it.
	Harmful, DistinctCopies bool
	// ConfigTimeout is how long a configuration may take to become active at all nodes
	// when there is no fault. The default, propagationLimit, leaves time for slow machines.
	ConfigTimeout time.Duration
	// Dir is the folder for settings and log files. Progress, if not nil, receives one
	// line per event.
	Dir      string
	Progress io.Writer
}

// descriptorsPerPair is an estimate of the file descriptors that this process may hold
// for one pair of node and target: two of the proxy, one of the target, and some
// of a second connection.
const descriptorsPerPair = 4

// check returns an error if no fault is enabled, or if the run needs more file
// descriptors than the limit of this process.
func (s Settings) check() error {
	if len(s.enabledFaults()) == 0 {
		return eris.Errorf("none of the faults %q exists in a run with seed %d", s.FaultNames, s.Seed)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return eris.Wrap(err, "read the limit of file descriptors")
	}
	if need := uint64(descriptorsPerPair * s.NodeCount * s.TargetCount); need > limit.Cur {
		return eris.Errorf("%d nodes and %d targets need about %d file descriptors, but the limit is %d: run fewer", s.NodeCount, s.TargetCount, need, limit.Cur)
	}
	return nil
}

// Result is the result of a run: the number of calls by outcome, the number of faults
// by name, and the findings.
type Result struct {
	Seed          uint64
	OutcomeCounts map[string]int
	FaultCounts   map[string]int
	Findings      []string
}

// harness is the state of one run.
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
	// publishedAt holds the publication time of each configuration, by its index in
	// publication order.
	publishedAt []time.Time
	// version is the version of the newest configuration.
	version int
	// zonesOut holds the withdrawal time of each zone that is out of service.
	zonesOut    map[string]time.Time
	harmful     map[string]*harmfulRequest
	faultCounts map[string]int
	// sequence is the sequence number of the last target record in the store.
	sequence atomic.Int64
	// storeFaultAt is when a fault of the store last began or ended.
	storeFaultAt time.Time
	// targetsFaultAt is when a fault of the targets topic alone last began or ended.
	targetsFaultAt time.Time
}

// zones are the availability zones of a run.
var zones = []string{"east", "west", "south"}

// Run runs nodes under faults and returns the findings. The error is not nil if the
// run could not be done.
func Run(ctx context.Context, s Settings) (r Result, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", s.Seed) }()
	if err := s.check(); err != nil {
		return Result{}, err
	}
	h := &harness{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), store: &platformtest.Store{SoleMembers: s.SoleMembers}, recorder: newRecorder(), faultCounts: map[string]int{}, zonesOut: map[string]time.Time{}, harmful: map[string]*harmfulRequest{}}
	defer h.close()
	if err := h.build(); err != nil {
		return Result{}, err
	}
	if !h.awaitReady(ctx, readyTimeout) {
		return Result{}, eris.Errorf("the nodes did not become ready: %s", h.describeUnready())
	}
	callCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range s.CallerCount {
		callers.Go(func() { h.sendCalls(callCtx, rand.New(rand.NewPCG(s.Seed, uint64(i+1)))) })
	}
	harmfulCtx, stopHarmful := context.WithCancel(callCtx)
	var harmful sync.WaitGroup
	if s.Harmful {
		harmful.Go(func() { h.sendHarmful(harmfulCtx, rand.New(rand.NewPCG(s.Seed, 0))) })
	}
	err = h.injectFaults(ctx)
	stopHarmful()
	harmful.Wait()
	if err != nil {
		stop()
		return Result{}, err
	}
	h.checkRecovery(ctx)
	stop()
	callers.Wait()
	if len(s.FaultNames) == 0 {
		h.checkFleetReturn(ctx)
	}
	h.recorder.checkTotals()
	return h.result(), nil
}

const (
	// readyTimeout is how long nodes may take to become ready, with time for slow
	// machines.
	readyTimeout = 30 * time.Second
	// propagationLimit is how long after a change callers and targets may still observe
	// the previous state: the platform's limit, extended as for a store with faults,
	// and time for slow machines.
	propagationLimit = 12 * time.Second
)

func (h *harness) build() error {
	address, closeStore, err := platformtest.StartServer(h.store)
	if err != nil {
		return err
	}
	h.storeAddress = address
	h.closers = append(h.closers, closeStore)
	for range h.settings.TargetCount {
		if err := h.addTarget(false); err != nil {
			return err
		}
	}
	h.publishConfig()
	for i := range h.settings.NodeCount {
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
		n.storeProxy.Close()
		n.peerProxy.Close()
	}
	for _, c := range h.closers {
		c()
	}
}

// publishConfig publishes a configuration with a higher version. Each configuration has
// one route more than its predecessor, from which callers determine which
// configuration a node holds.
func (h *harness) publishConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version += 1 + h.rng.IntN(3)
	h.publishedAt = append(h.publishedAt, time.Now())
	routes := []platformtest.Route{{Prefix: "/safe/", IsIdempotent: true, Service: "a"}, {Prefix: "/unsafe/", Service: "a"}}
	for i := range h.publishedAt {
		routes = append(routes, platformtest.Route{Prefix: "/" + configRoute(i) + "/", IsIdempotent: true, Service: "a"})
	}
	h.store.Put(platformtest.OperatorTopic, "config", platformtest.ConfigurationJSON(h.version, host, []string{"a"}, routes))
}

// configRoute returns the route added by the configuration with index i.
func configRoute(i int) string { return fmt.Sprint("since-", i) }

// newestConfig returns the index and the publication time of the newest
// configuration.
func (h *harness) newestConfig() (i int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i = len(h.publishedAt) - 1
	return i, h.publishedAt[i]
}

// host is the Host header of all calls.
const host = "h.example"

// awaitReady waits until all nodes are ready and reports whether they became so within
// the limit.
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

// describeUnready returns the nodes that are not ready and the ends of their logs.
func (h *harness) describeUnready() string {
	var text strings.Builder
	for _, n := range h.nodes {
		if !n.isReady() {
			fmt.Fprintf(&text, "%s (exited: %v); end of its log:\n%s\n", n.name, n.hasExited(), n.logTail())
		}
	}
	return text.String()
}

func (h *harness) result() Result {
	r := Result{Seed: h.settings.Seed, OutcomeCounts: h.recorder.outcomeCounts, FaultCounts: h.faultCounts}
	for _, f := range h.recorder.findings {
		r.Findings = append(r.Findings, f.Guarantee+": "+f.Detail)
	}
	return r
}

func (h *harness) logf(format string, args ...any) {
	if h.settings.Progress != nil {
		fmt.Fprintf(h.settings.Progress, format+"\n", args...)
	}
}

// TempDir creates a folder for a run's files and returns its path.
func TempDir() (dir string, err error) {
	return os.MkdirTemp("", "apricotmount-soak-")
}
