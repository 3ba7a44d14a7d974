package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// beatEvery is how often the node counts its beat up.
	beatEvery = time.Second
	// lagAllowed is how long a peer may be ahead of the log before its
	// configuration is asked for.
	lagAllowed = 700 * time.Millisecond
	// platformEvery is how often the platform's services are judged.
	platformEvery = 500 * time.Millisecond
	// awayAfter is the silence after which the log counts as away.
	awayAfter = 5 * time.Second
	// probeEvery is how often one probe is considered, and probeAgain how long
	// a target is left alone after one.
	probeEvery = 100 * time.Millisecond
	probeAgain = 2 * time.Second
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
	// pauseTick is how often the node looks at the clocks, and pauseFrom the
	// standstill that is worth an event.
	pauseTick = 200 * time.Millisecond
	pauseFrom = time.Second
	// snapshotEvery is how often the need of a snapshot is looked at, and
	// snapshotRecords how many records may be behind it.
	snapshotEvery   = 5 * time.Second
	snapshotRecords = 500
	// snapshotShare is the part of the log's retention after which a snapshot
	// is renewed, as a divisor.
	snapshotShare = 4
	// snapshotTurn is how long each node in line waits for the one before it.
	snapshotTurn = 2 * time.Second
)

// every calls f again and again, about as often as said, until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		wait(ctx, d*9/10+rand.N(d/5))
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchList reads the platform's list.
func (n *Node) watchList(ctx context.Context) {
	away := false
	every(ctx, n.settings.ListEvery, func() {
		list, err := n.platform.Lister.List(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !away {
				event.ListAway.Log(n.logger, zap.Error(err))
			}
			away = true
			n.fleet.again()
			return
		}
		if away {
			event.ListBack.Log(n.logger)
		}
		away = false
		n.members.SetListed(len(list.OfRole(vm.RoleEntry)))
		n.fleet.setList(list)
	})
}

// again hands the last list to the tables once more, so that times pass.
func (f *fleet) again() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
}

// entryVMs returns the entry nodes on the platform's list.
func (f *fleet) entryVMs() []vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.OfRole(vm.RoleEntry)
}

// watchMembers counts the node's beat up, notes who has gone, tells peers of
// targets that changed, and catches up with peers that are ahead.
func (n *Node) watchMembers(ctx context.Context) {
	n.loops.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-n.words.wake:
				n.spreadWords()
			}
		}
	})
	var behind time.Time
	every(ctx, beatEvery, func() {
		c := n.book.Current()
		status := n.status()
		n.members.Update(func(e *member.Entry) {
			e.Status = status
			if e.ConfigNext != c.Next {
				e.ConfigNext, e.ConfigDigest = c.Next, c.Digest()
			}
		})
		n.noteChanges(n.members.Tick(time.Now()))
		behind = n.catchUp(c, behind)
	})
}

// catchUp asks a peer for its configuration if it has been ahead for longer
// than the log should take. It returns since when a peer has been ahead.
func (n *Node) catchUp(c *config.Configuration, since time.Time) time.Time {
	ahead, ok := n.members.Ahead(c.Next)
	if !ok {
		return time.Time{}
	}
	now := time.Now()
	if since.IsZero() {
		return now
	}
	if now.Sub(since) < lagAllowed {
		return since
	}
	if l := n.hub.To(ahead.Incarnation); l != nil {
		l.Send(peer.Message{WantConfig: true})
		return since
	}
	// No link leads there; any peer may have it by now.
	if links := n.hub.Links(); len(links) > 0 {
		links[rand.IntN(len(links))].Send(peer.Message{WantConfig: true})
	}
	return since
}

func (n *Node) status() member.Status {
	switch {
	case n.leaving.Load():
		return member.Leaving
	case n.ready.Load():
		return member.Ready
	default:
		return member.Joining
	}
}

// watchPlatform tells when the log goes and comes, and keeps readiness.
func (n *Node) watchPlatform(ctx context.Context) {
	away, claimsReady := false, false
	reported := ""
	every(ctx, platformEvery, func() {
		if !claimsReady && n.claimFollower.CaughtUp() {
			claimsReady = true
			event.ClaimsReady.Log(n.logger, zap.Int("held", n.claims.Book.Len()))
		}
		silent := time.Since(n.configFollower.Contact()) > awayAfter
		if silent != away {
			away = silent
			if away {
				event.LogAway.Log(n.logger)
			} else {
				event.LogBack.Log(n.logger)
			}
		}
		reason := n.unreadyReason()
		n.ready.Store(reason == "")
		if reason == reported {
			return
		}
		if reason == "" {
			event.NodeReady.Log(n.logger, zap.Uint64("revision", uint64(n.book.Current().Revision)))
		} else {
			event.NodeUnready.Log(n.logger, zap.String("reason", reason))
		}
		reported = reason
	})
}

// unreadyReason says why the node does not ask for work, or "".
func (n *Node) unreadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case !n.book.Known() && !n.configFollower.CaughtUp():
		return "no-configuration"
	case n.fleet.selfWithdrawn():
		return "out-of-service"
	default:
		return ""
	}
}

// watchPauses notes when process or VM stood still.
func (n *Node) watchPauses(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		wait(ctx, pauseTick)
		now := time.Now()
		stood := max(now.Sub(last), now.Round(0).Sub(last.Round(0))) - pauseTick
		if stood > pauseFrom {
			event.NodePaused.Log(n.logger, zap.Duration("stood", stood))
		}
		last = now
	}
}

// writeSnapshots writes a snapshot of the configuration when one is due. Nodes
// stand in line by a weight drawn from the offset; each waits for those before
// it, so that usually one writes. Two that write do no harm.
func (n *Node) writeSnapshots(ctx context.Context) {
	every(ctx, snapshotEvery, func() {
		if !n.snapshotDue() {
			return
		}
		wait(ctx, time.Duration(n.place(uint64(n.book.Current().Next)))*snapshotTurn)
		if ctx.Err() != nil || !n.snapshotDue() {
			return
		}
		c := n.book.Current()
		appendCtx, cancel := context.WithTimeout(ctx, snapshotTurn)
		defer cancel()
		if _, err := n.platform.Log.Append(appendCtx, config.Stream, config.EncodeSnapshot(c)); err == nil {
			event.ConfigSnapshot.Log(n.logger, zap.Uint64("covers", uint64(c.Next)))
		}
	})
}

func (n *Node) snapshotDue() bool {
	return n.book.SnapshotDue(time.Now(), n.settings.LogRetention/snapshotShare, snapshotRecords)
}

// place is this node's place in line for a thing, from 0.
func (n *Node) place(thing uint64) (p int) {
	self := n.members.Self().Incarnation
	live := n.members.Live()
	for len(live) > 1 {
		first := member.Owner(live, thing)
		if first == self {
			return p
		}
		p++
		live = without(live, first)
	}
	return p
}

func without(list []member.Entry, i member.Incarnation) (out []member.Entry) {
	for _, e := range list {
		if e.Incarnation != i {
			out = append(out, e)
		}
	}
	return out
}

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
	ref, ok := svc.Table.ProbeWanted(time.Now(), probeAgain/2+rand.N(probeAgain))
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
	svc.Table.Probed(ref.ID, time.Now(), report)
}

// sweep closes connections that have been idle for too long.
func (n *Node) sweep(ctx context.Context) {
	every(ctx, sweepEvery, func() { n.fleet.sweep(time.Now()) })
}

// configChanged takes a new configuration; it is called with the book's lock
// held.
func (n *Node) configChanged(c *config.Configuration) {
	before := n.fleet.current.Load().config.Revision
	n.fleet.setConfig(c)
	if c.Revision != before {
		event.ConfigInForce.Log(n.logger, zap.Uint64("revision", uint64(c.Revision)))
	}
}

// followFailed logs a reader's trouble that is not the log being away.
func (n *Node) followFailed(err error) {
	switch {
	case eris.Is(err, config.ErrFormat):
		event.ConfigFormat.Log(n.logger)
	case n.book.Behind():
		event.ConfigBehind.Log(n.logger)
	}
}
