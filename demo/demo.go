package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/load"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Settings configure a demonstration; a zero field selects its default.
type Settings struct {
	// Seed seeds all random number generators. Default 1.
	Seed uint64
	// Duration is how long calls are sent. Default 20 s; raised to at least 10 s.
	Duration time.Duration
	// NodeCount is the number of entry nodes. Default 5.
	NodeCount int
	// Progress receives one line per event. The default discards the lines.
	Progress io.Writer
}

const (
	defaultDuration  = 20 * time.Second
	minDuration      = 10 * time.Second
	defaultNodeCount = 5
	// startTimeout bounds the start, up to the publication of the configuration.
	startTimeout = 20 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Seed == 0 {
		s.Seed = 1
	}
	if s.Duration == 0 {
		s.Duration = defaultDuration
	}
	s.Duration = max(s.Duration, minDuration)
	if s.NodeCount == 0 {
		s.NodeCount = defaultNodeCount
	}
	if s.Progress == nil {
		s.Progress = io.Discard
	}
	return s
}

// Times of the events, as fractions of the run's duration.
const (
	zoneWithdrawalFraction = 0.2
	zoneReturnFraction     = 0.5
	nodeStopFraction       = 0.7
)

// demo is the state of one run.
type demo struct {
	settings       Settings
	deployment     *deployment
	balancer       *load.Balancer
	callers        *load.Callers
	startedAt      time.Time
	zoneWithdrawal zoneWithdrawal
	stoppedNode    *node.Node
	revertCount    int
	overhead       load.Overhead
}

// Run runs the demonstration and returns its result. The error is not nil if the
// deployment could not be started or changed.
func Run(ctx context.Context, s Settings) (r *Result, err error) {
	defer func() { err = eris.Wrap(err, "run the demonstration") }()
	s = s.withDefaults()
	d := &demo{settings: s, deployment: &deployment{seed: s.Seed}, balancer: &load.Balancer{}}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	defer d.deployment.close()
	if err := d.runCalls(ctx); err != nil {
		return nil, err
	}
	return d.evaluate(), nil
}

func (d *demo) progressf(format string, args ...any) {
	at := time.Duration(0)
	if !d.startedAt.IsZero() {
		at = time.Since(d.startedAt).Round(100 * time.Millisecond)
	}
	fmt.Fprintf(d.settings.Progress, "%6s  %s\n", at, fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.deployment.start(d.settings.NodeCount); err != nil {
		return err
	}
	d.progressf("%d entry nodes and %d targets in 3 availability zones started", len(d.deployment.nodes), len(d.deployment.targets))
	if err := d.deployment.awaitReady(ctx); err != nil {
		return err
	}
	if err := d.deployment.publish(ctx); err != nil {
		return err
	}
	d.progressf("profiles and services published")
	// The list is stale by listLag; nodes must have read the targets before calls
	// are sent.
	time.Sleep(listLag + time.Second)
	return nil
}

// runCalls sends calls for the duration of the run while the events take place.
func (d *demo) runCalls(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Duration)
	defer cancel()
	d.balancer.SetNodes(endpoints(d.deployment.nodes))
	d.balancer.CheckReadiness(ctx)
	d.callers = load.NewCallers(d.balancer, d.settings.Seed, responseBytes)
	d.startedAt = time.Now()
	var background sync.WaitGroup
	background.Go(func() { d.balancer.Run(ctx) })
	background.Go(func() { d.watchRevisions(ctx) })
	background.Go(func() { d.measureOverhead(ctx) })
	background.Go(func() { d.reportProgress(ctx) })
	for i, w := range workloads {
		background.Go(func() { d.callers.Run(ctx, w, i) })
	}
	err := d.runEvents(ctx)
	<-ctx.Done()
	background.Wait()
	d.callers.Wait()
	return err
}

// runEvents withdraws a zone, returns it and replaces a node, each at its fraction of
// the run's duration.
func (d *demo) runEvents(ctx context.Context) error {
	if err := d.withdrawZone(ctx); err != nil {
		return err
	}
	if err := d.returnZone(ctx); err != nil {
		return err
	}
	return d.replaceNode(ctx)
}

func (d *demo) waitUntilFraction(fraction float64) {
	time.Sleep(time.Until(d.startedAt.Add(time.Duration(fraction * float64(d.settings.Duration)))))
}

func (d *demo) withdrawZone(ctx context.Context) error {
	d.waitUntilFraction(zoneWithdrawalFraction)
	z := zones[0]
	at, err := d.deployment.publishChange(ctx, config.Document{WithdrawZones: []zone.Name{z}})
	if err != nil {
		return eris.Wrap(err, "withdraw a zone")
	}
	d.zoneWithdrawal = zoneWithdrawal{zone: z, from: at}
	d.progressf("availability zone %s withdrawn", z)
	return nil
}

func (d *demo) returnZone(ctx context.Context) error {
	d.waitUntilFraction((zoneWithdrawalFraction + zoneReturnFraction) / 2)
	for _, t := range d.deployment.targetsInZone(d.zoneWithdrawal.zone) {
		t.Restart()
	}
	d.progressf("the targets of %s restarted without notice; they will be cold", d.zoneWithdrawal.zone)
	d.waitUntilFraction(zoneReturnFraction)
	d.zoneWithdrawal.until = time.Now()
	for _, t := range d.deployment.targetsInZone(d.zoneWithdrawal.zone) {
		t.Restart()
	}
	if _, err := d.deployment.publishChange(ctx, config.Document{ReturnZones: []zone.Name{d.zoneWithdrawal.zone}}); err != nil {
		return eris.Wrap(err, "return a zone")
	}
	d.progressf("availability zone %s returned to service, its targets cold", d.zoneWithdrawal.zone)
	return nil
}

// replaceNode does a planned stop of the last node and starts another.
func (d *demo) replaceNode(ctx context.Context) error {
	d.waitUntilFraction(nodeStopFraction)
	last := len(d.deployment.nodes) - 1
	d.stoppedNode = d.deployment.nodes[last]
	name := d.deployment.nodeNames[last]
	d.progressf("entry node %s is being stopped as planned", name)
	cut := d.stoppedNode.Stop(context.Background())
	d.deployment.platform.List.Remove(vm.ID(name))
	d.progressf("entry node %s stopped; calls it cut off: %d", name, cut)
	n, err := d.deployment.addNode()
	if err != nil {
		return err
	}
	remaining := append([]*node.Node(nil), d.deployment.nodes[:last]...)
	d.balancer.SetNodes(endpoints(append(remaining, n)))
	d.progressf("another entry node started in its place")
	return nil
}

// watchRevisions counts the times that a node's active revision decreases.
func (d *demo) watchRevisions(ctx context.Context) {
	latest := map[string]config.Revision{}
	for ctx.Err() == nil {
		for _, e := range d.balancer.Nodes() {
			client := operator.Client{URL: "http://" + e.Name}
			c, err := client.Configuration(ctx)
			if err != nil {
				continue
			}
			if c.Revision < latest[e.Name] {
				d.revertCount++
			}
			latest[e.Name] = c.Revision
		}
		time.Sleep(revisionPollInterval)
	}
}

// revisionPollInterval is the interval between reads of the active revisions.
const revisionPollInterval = 200 * time.Millisecond

func (d *demo) measureOverhead(ctx context.Context) {
	var address vm.Address
	for _, t := range d.deployment.targets {
		if t.VM().Service == directService {
			address = t.VM().Address
		}
	}
	// Measure the overhead in the steady state, before the first event.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(zoneWithdrawalFraction*float64(d.settings.Duration)))
	defer cancel()
	d.overhead = d.callers.MeasureOverhead(ctx, string(address), "/straight/x")
}

// progressInterval is the interval between progress lines.
const progressInterval = 2 * time.Second

func (d *demo) reportProgress(ctx context.Context) {
	for {
		timer := time.NewTimer(progressInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		d.progressf("%d calls ended", len(d.callers.Records()))
	}
}

// evaluate compares the records of callers and targets, and adds the counts of nodes.
func (d *demo) evaluate() *Result {
	r := &Result{Seed: d.settings.Seed, NodeCount: d.settings.NodeCount, ConfigReverts: d.revertCount}
	started := map[string][]standin.StartedCall{}
	for _, t := range d.deployment.targets {
		if t.VM().Service == directService {
			continue
		}
		for _, s := range t.StartedCalls() {
			started[s.CallID] = append(started[s.CallID], s)
		}
	}
	records := d.callers.Records()
	r.compareCalls(records, started)
	for _, rec := range records {
		if rec.ConnectionBroken && rec.Node == endpoint(d.stoppedNode) {
			r.CutByPlannedStop++
		}
	}
	r.countLateZoneStarts(d.deployment.targets, d.zoneWithdrawal)
	r.countTargets(d.deployment.targets, time.Since(d.startedAt))
	budgeted := 0
	for _, n := range d.deployment.nodes {
		r.InvariantViolations += int(n.InvariantChecks().TotalViolations())
		budgeted += n.ProbeTotals().Spent.Messages
	}
	for _, t := range d.deployment.targets {
		r.UnbudgetedProbes += t.Totals().Probes
	}
	r.UnbudgetedProbes = max(0, r.UnbudgetedProbes-budgeted)
	r.OverheadP50Millis, r.OverheadP99Millis = d.overhead.PercentileMillis(50), d.overhead.PercentileMillis(99)
	return r
}
