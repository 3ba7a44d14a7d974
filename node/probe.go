package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
)

const (
	// probeEvery is how often one probe is considered, and probeAgain how long
	// a target is left alone after one.
	probeEvery = 100 * time.Millisecond
	probeAgain = 2 * time.Second
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
)

// probe asks targets about which answers leave something unknown, one at a
// time and within the measuring budget.
func (n *Node) probe(ctx context.Context) {
	every(ctx, probeEvery, func() {
		for name := range n.fleet.tables() {
			n.probeOne(ctx, name)
		}
	})
}

func (n *Node) probeOne(ctx context.Context, name service.Name) {
	svc := n.fleet.tables()[name]
	if svc == nil {
		return
	}
	// The jitter keeps nodes from probing the same target together.
	ref, ok := svc.Table.NextProbeTarget(time.Now(), probeAgain/2+rand.N(probeAgain))
	if !ok {
		return
	}
	pool := n.fleet.Pool(ref)
	if pool == nil {
		return
	}
	report, err := pool.Probe(ctx)
	if err != nil {
		event.MeasuringForgone.Log(n.logger, zap.String("target", string(ref.ID)), zap.String("cause", eris.Cause(err).Error()))
		report = target.Report{}
	}
	svc.Table.RecordReport(ref.ID, time.Now(), report)
}

// sweep closes connections that have been idle for too long.
func (n *Node) sweep(ctx context.Context) {
	every(ctx, sweepEvery, func() { n.fleet.sweep(time.Now()) })
}
