package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
)

const (
	// probeInterval is the time between two probe checks of each service, and
	// probeCooldown the mean time before the same target may be probed again.
	probeInterval = 100 * time.Millisecond
	probeCooldown = 2 * time.Second
	// connMaintenanceInterval is the time between two updates of the connection limits,
	// each with a check for idle connections.
	connMaintenanceInterval = time.Second
)

// probeTargets probes targets that are not live or that are ejected, unless they are
// withdrawn, because responses to calls give too little information about them. It
// probes one target at a time and within the probe budget.
func (n *Node) probeTargets(ctx context.Context) {
	runPeriodically(ctx, probeInterval, func() {
		for name := range n.services.byName() {
			n.probeService(ctx, name)
		}
	})
}

func (n *Node) probeService(ctx context.Context, name service.Name) {
	svc := n.services.byName()[name]
	if svc == nil {
		return
	}
	// The jitter keeps nodes from probing the same target at the same time.
	ref, ok := svc.Table.NextProbeTarget(time.Now(), probeCooldown/2+rand.N(probeCooldown))
	if !ok {
		return
	}
	pool := n.services.Pool(ref)
	if pool == nil {
		return
	}
	startedAt := time.Now()
	report, err := pool.Probe(ctx)
	if err != nil {
		event.MeasuringForgone.Log(n.logger, zap.String("target", string(ref.ID)), zap.String("cause", eris.Cause(err).Error()))
		report = target.Report{}
	}
	if report.Instance != "" {
		n.quarantine.RecordAlive(quarantine.Process{Target: ref.ID, Instance: report.Instance}, startedAt)
	}
	svc.Table.RecordReport(ref.ID, time.Now(), report)
}

// maintainConnections periodically applies the current connection limits, closes
// connections that have been idle for too long and forgets expired suspicions.
func (n *Node) maintainConnections(ctx context.Context) {
	runPeriodically(ctx, connMaintenanceInterval, func() {
		n.services.maintainConnections(time.Now())
		n.quarantine.Ledger.Expire(time.Now())
	})
}
