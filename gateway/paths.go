package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/reach"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
)

const (
	// pathCheckInterval is the time between two load queries to targets of a service whose
	// path is in doubt, so that its loss and its return are detected without calls.
	pathCheckInterval = 250 * time.Millisecond
	// pathCheckCount is the number of targets that are queried each time.
	pathCheckCount = 2
)

// recordSilence records a load query that began at startedAt and got no response.
func (n *Node) recordSilence(ref target.Ref, table *target.Table, startedAt time.Time) {
	now := time.Now()
	n.applyPathChanges(n.paths.RecordFailure(reach.Failure{Service: ref.Service, Target: ref.ID, TargetCount: table.Counts(now).Total, StartedAt: startedAt}, now))
	select {
	case n.pathDoubt <- struct{}{}:
	default:
	}
}

// recordContact records that a target of a service responded.
func (n *Node) recordContact(s service.Name) {
	n.applyPathChanges(n.paths.RecordResponse(s, time.Now()))
}

// applyPathChanges logs paths that were lost or are back.
func (n *Node) applyPathChanges(changes []reach.Change) {
	for _, c := range changes {
		fields := []zap.Field{zap.String("service", string(c.Service))}
		if !c.IsLost {
			event.PathBack.Log(n.logger, fields...)
			continue
		}
		ids := make([]string, len(c.SilentTargets))
		for i, id := range c.SilentTargets {
			ids[i] = string(id)
		}
		fields = append(fields, zap.Strings("silent", ids))
		if !c.LastResponseAt.IsZero() {
			fields = append(fields, zap.Int64("last-response-ms", time.Since(c.LastResponseAt).Milliseconds()))
		}
		event.PathLost.Log(n.logger, fields...)
	}
}

// watchPaths queries targets of the services whose path is in doubt or lost, until ctx ends.
func (n *Node) watchPaths(ctx context.Context) {
	for ctx.Err() == nil {
		doubtful := n.paths.Doubtful()
		if len(doubtful) == 0 {
			select {
			case <-n.pathDoubt:
			case <-ctx.Done():
			}
			continue
		}
		for _, s := range doubtful {
			n.upstreams.sampleTargets(s)
		}
		pause.For(ctx, pathCheckInterval)
		n.applyPathChanges(n.paths.Check(time.Now()))
	}
}

// sampleTargets starts load queries to some targets of a service.
func (u *upstreams) sampleTargets(name service.Name) {
	s := u.active.Load().services[name]
	if s == nil {
		u.node.paths.Forget(name)
		return
	}
	for _, ref := range s.dispatch.Table.Sample(pathCheckCount, time.Now()) {
		if pool := u.Pool(ref); pool != nil {
			u.openQuery(ref, pool, s.dispatch.Table)
		}
	}
}
