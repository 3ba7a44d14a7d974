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

// Settings of a demonstration; zero values mean the defaults.
type Settings struct {
	// Seed starts all random numbers. Default 1.
	Seed uint64
	// Duration is how long calls flow. Default 20 s, at least 10 s.
	Duration time.Duration
	// Nodes is how many entry nodes run. Default 5.
	NodeCount int
	// Progress gets a line for each thing that happens.
	Progress io.Writer
}

const (
	defaultDuration = 20 * time.Second
	minDuration     = 10 * time.Second
	defaultNodes    = 5
	startTimeout    = 20 * time.Second
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
		s.NodeCount = defaultNodes
	}
	if s.Progress == nil {
		s.Progress = io.Discard
	}
	return s
}

// Parts of the run at which things happen, as fractions of its length.
const (
	zoneOutAt  = 0.2
	zoneInAt   = 0.5
	nodeStopAt = 0.7
)

// demo is one run.
type demo struct {
	settings   Settings
	deployment *deployment
	balancer   *load.Balancer
	callers    *load.Callers
	began      time.Time
	out        zoneOut
	stopped    *node.Node
	reverted   int
	added      load.Overhead
}

// Run runs the demonstration and counts what came of it.
func Run(ctx context.Context, s Settings) (r *Result, err error) {
	defer func() { err = eris.Wrap(err, "run the demonstration") }()
	s = s.withDefaults()
	d := &demo{settings: s, deployment: &deployment{seed: s.Seed}, balancer: &load.Balancer{}}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	defer d.deployment.close()
	if err := d.flow(ctx); err != nil {
		return nil, err
	}
	return d.count(), nil
}

func (d *demo) say(format string, args ...any) {
	at := time.Duration(0)
	if !d.began.IsZero() {
		at = time.Since(d.began).Round(100 * time.Millisecond)
	}
	fmt.Fprintf(d.settings.Progress, "%6s  %s\n", at, fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.deployment.start(d.settings.NodeCount); err != nil {
		return err
	}
	d.say("%d entry nodes and %d targets in 3 availability zones started", len(d.deployment.nodes), len(d.deployment.targets))
	if err := d.deployment.awaitReady(ctx); err != nil {
		return err
	}
	if err := d.deployment.publish(ctx); err != nil {
		return err
	}
	d.say("profiles and services published")
	// The list lags; nodes must have seen the targets before calls flow.
	time.Sleep(listLag + time.Second)
	return nil
}

// flow lets calls flow while things happen.
func (d *demo) flow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Duration)
	defer cancel()
	d.balancer.SetNodes(endpoints(d.deployment.nodes))
	d.balancer.CheckReadiness(ctx)
	d.callers = load.NewCallers(d.balancer, d.settings.Seed, answerBytes)
	d.began = time.Now()
	var background sync.WaitGroup
	background.Go(func() { d.balancer.Run(ctx) })
	background.Go(func() { d.watchRevisions(ctx) })
	background.Go(func() { d.watchAdded(ctx) })
	background.Go(func() { d.reportProgress(ctx) })
	for i, k := range kinds {
		background.Go(func() { d.callers.Run(ctx, k, i) })
	}
	err := d.happen(ctx)
	<-ctx.Done()
	background.Wait()
	d.callers.Wait()
	return err
}

// happen makes things happen at their times.
func (d *demo) happen(ctx context.Context) error {
	if err := d.takeZoneOut(ctx); err != nil {
		return err
	}
	if err := d.bringZoneBack(ctx); err != nil {
		return err
	}
	return d.replaceNode(ctx)
}

func (d *demo) waitFor(part float64) {
	time.Sleep(time.Until(d.began.Add(time.Duration(part * float64(d.settings.Duration)))))
}

func (d *demo) takeZoneOut(ctx context.Context) error {
	d.waitFor(zoneOutAt)
	z := zones[0]
	at, err := d.deployment.change(ctx, config.Document{WithdrawZones: []zone.Name{z}})
	if err != nil {
		return eris.Wrap(err, "take a zone out")
	}
	d.out = zoneOut{zone: z, from: at}
	d.say("availability zone %s taken out", z)
	return nil
}

func (d *demo) bringZoneBack(ctx context.Context) error {
	d.waitFor((zoneOutAt + zoneInAt) / 2)
	for _, t := range d.deployment.inZone(d.out.zone) {
		t.Restart()
	}
	d.say("the targets of %s restarted without a word; they will be cold", d.out.zone)
	d.waitFor(zoneInAt)
	d.out.until = time.Now()
	for _, t := range d.deployment.inZone(d.out.zone) {
		t.Restart()
	}
	if _, err := d.deployment.change(ctx, config.Document{ReturnZones: []zone.Name{d.out.zone}}); err != nil {
		return eris.Wrap(err, "bring a zone back")
	}
	d.say("availability zone %s brought back, its targets cold", d.out.zone)
	return nil
}

// replaceNode stops the last node as planned and starts another.
func (d *demo) replaceNode(ctx context.Context) error {
	d.waitFor(nodeStopAt)
	last := len(d.deployment.nodes) - 1
	d.stopped = d.deployment.nodes[last]
	name := d.deployment.names[last]
	d.say("entry node %s is being stopped as planned", name)
	cut := d.stopped.Stop(context.Background())
	d.deployment.platform.List.Remove(vm.ID(name))
	d.say("entry node %s stopped; calls it cut off: %d", name, cut)
	n, err := d.deployment.addNode()
	if err != nil {
		return err
	}
	remaining := append([]*node.Node(nil), d.deployment.nodes[:last]...)
	d.balancer.SetNodes(endpoints(append(remaining, n)))
	d.say("another entry node started in its place")
	return nil
}

// watchRevisions looks for a revision in force that goes back.
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
				d.reverted++
			}
			latest[e.Name] = c.Revision
		}
		time.Sleep(revisionTick)
	}
}

// revisionTick is how often the revisions in force are looked at.
const revisionTick = 200 * time.Millisecond

func (d *demo) watchAdded(ctx context.Context) {
	var address vm.Address
	for _, t := range d.deployment.targets {
		if t.VM().Service == straight {
			address = t.VM().Address
		}
	}
	// Added time is that of the steady state, before anything is broken.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(zoneOutAt*float64(d.settings.Duration)))
	defer cancel()
	d.added = d.callers.MeasureOverhead(ctx, string(address), "/straight/x")
}

// progressTick is how often progress is shown.
const progressTick = 2 * time.Second

func (d *demo) reportProgress(ctx context.Context) {
	for {
		timer := time.NewTimer(progressTick)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		d.say("%d calls ended", len(d.callers.Records()))
	}
}

// count holds all accounts against each other.
func (d *demo) count() *Result {
	r := &Result{Seed: d.settings.Seed, NodeCount: d.settings.NodeCount, ConfigReverts: d.reverted}
	started := map[string][]standin.StartedCall{}
	for _, t := range d.deployment.targets {
		if t.VM().Service == straight {
			continue
		}
		for _, s := range t.StartedCalls() {
			started[s.CallID] = append(started[s.CallID], s)
		}
	}
	records := d.callers.Records()
	r.countCalls(records, started)
	for _, rec := range records {
		if rec.ConnectionBroken && rec.Node == endpoint(d.stopped) {
			r.CutByPlannedStop++
		}
	}
	r.countZoneOut(d.deployment.targets, d.out)
	r.countTargets(d.deployment.targets, time.Since(d.began))
	booked := 0
	for _, n := range d.deployment.nodes {
		r.InvariantViolations += int(n.InvariantChecks().TotalViolations())
		booked += n.ProbeTotals().Spent.Messages
	}
	for _, t := range d.deployment.targets {
		r.UnbudgetedProbes += t.Totals().Probes
	}
	r.UnbudgetedProbes = max(0, r.UnbudgetedProbes-booked)
	r.OverheadP50Millis, r.OverheadP99Millis = d.added.PercentileMillis(50), d.added.PercentileMillis(99)
	return r
}
