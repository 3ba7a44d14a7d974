package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// coldRights lets nodes with views of their own of who is alive hold the right
// to cold targets, while the log is away for all or for some, links between
// pairs are cut, answers are late, and nodes are paused and replaced. No target
// may have two holders, calls under way included.
var coldRights = scenario{
	name:      "cold-rights",
	play:      playCold,
	mutations: []mutation{"right-without-lease", "right-by-own-view", "promise-not-kept", "ask-only-whom-it-sees"},
}

// listLag is how long the platform's list shows a node that is gone, and lacks
// one that is new.
const listLag = 30 * time.Second

// keeper is one node's rights.
type keeper struct {
	keeper   *coldstart.Manager
	follower *stream.Follower
	log      *standin.LogLink
	cancel   context.CancelFunc
	began    time.Time

	mu   sync.Mutex
	live []member.Entry
	// gone is when the node was replaced; zero while it runs.
	gone time.Time
	// pausedUntil is when a pause of the process ends.
	pausedUntil time.Time
}

func (k *keeper) view() []member.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.live
}

func (k *keeper) setView(live []member.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.live = live
}

func (k *keeper) isGone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.gone.IsZero()
}

func (k *keeper) setGone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = time.Now()
}

func newKeeper(log *standin.Log, self member.Incarnation) *keeper {
	k := &keeper{live: []member.Entry{{Incarnation: self}}, log: &standin.LogLink{Log: log}, began: time.Now()}
	k.keeper = &coldstart.Manager{Log: k.log, Holder: self, State: &coldstart.State{}, LiveMembers: k.view}
	k.keeper.Start()
	k.follower = &stream.Follower{Log: k.log, Name: coldstart.StreamName, Applier: k.keeper.State}
	k.keeper.CaughtUp = k.follower.HasCaughtUp
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	go k.follower.Run(ctx)
	go k.keeper.Run(ctx)
	return k
}

// until asks a node for its right, or a broken part in its place.
func (k *keeper) until(id vm.ID, m mutation) (end time.Time, ok bool) {
	switch m {
	case "right-without-lease":
		return time.Now().Add(time.Second), true
	case "right-by-own-view":
		owner := member.Owner(k.view(), uint64(coldstart.ShardOf(id)))
		return time.Now().Add(time.Second), owner == k.keeper.Holder
	default:
		return k.keeper.LeaseDeadline(id, time.Now())
	}
}

// coldSite is the nodes of a run.
type coldSite struct {
	r        *run
	mutation mutation
	log      *standin.Log
	nodes    []*keeper
	old      []*keeper
	next     member.Incarnation
	cuts     map[[2]member.Incarnation]bool
}

func (s *coldSite) add() *keeper {
	s.next++
	return newKeeper(s.log, s.next)
}

// listed returns who is on the platform's list, which lags.
func (s *coldSite) listed(now time.Time) (out []member.Incarnation) {
	for _, k := range s.nodes {
		if now.Sub(k.began) >= listLag {
			out = append(out, k.keeper.Holder)
		}
	}
	for _, k := range s.old {
		if now.Sub(k.gone) < listLag {
			out = append(out, k.keeper.Holder)
		}
	}
	return out
}

func viewOf(live []member.Entry) member.ViewHash {
	v := member.ViewHash(0)
	for _, e := range live {
		v = v*31 + member.ViewHash(e.Incarnation)
	}
	return v
}

func holds(live []member.Entry, i member.Incarnation) bool {
	for _, e := range live {
		if e.Incarnation == i {
			return true
		}
	}
	return false
}

// ask lets a node that has no log ask all others to promise, as nodes do: only
// if it sees everybody on the list.
func (s *coldSite) ask(k *keeper) {
	now := time.Now()
	if now.Sub(k.follower.LastReadAt()) < 3*time.Second || now.Before(k.pausedUntil) {
		return
	}
	live := k.view()
	if s.mutation != "ask-only-whom-it-sees" {
		for _, i := range s.listed(now) {
			if !holds(live, i) {
				return
			}
		}
	}
	var others []member.Incarnation
	for _, e := range live {
		if e.Incarnation != k.keeper.Holder {
			others = append(others, e.Incarnation)
		}
	}
	nonce, ok := k.keeper.RequestExtension(now, others, viewOf(live))
	if !ok {
		return
	}
	for _, o := range s.nodes {
		if holds(live, o.keeper.Holder) && o != k {
			s.deliver(k, o, nonce, s.r.between(0, 6*time.Second), s.r.between(0, 6*time.Second))
		}
	}
}

// deliver carries a question and its answer, which may both be late or lost.
func (s *coldSite) deliver(from, to *keeper, nonce uint64, there, back time.Duration) {
	if s.cuts[pair(from, to)] || time.Now().Before(to.pausedUntil) {
		return
	}
	time.AfterFunc(there, func() {
		if to.isGone() {
			return
		}
		if s.mutation != "promise-not-kept" {
			to.keeper.GrantHold(time.Now())
		}
		view := viewOf(to.view())
		if s.mutation == "ask-only-whom-it-sees" {
			view = viewOf(from.view())
		}
		time.AfterFunc(back, func() { from.keeper.HandleHold(time.Now(), to.keeper.Holder, nonce, view) })
	})
}

func pair(a, b *keeper) [2]member.Incarnation {
	x, y := a.keeper.Holder, b.keeper.Holder
	return [2]member.Incarnation{min(x, y), max(x, y)}
}

// trouble lets something happen to the nodes.
func (s *coldSite) trouble() {
	r := s.r
	n := s.nodes[r.rng.IntN(len(s.nodes))]
	switch {
	case r.chance(0.06):
		r.fault("view-changed")
		live := []member.Entry{{Incarnation: n.keeper.Holder}}
		for _, o := range s.nodes {
			if o != n && r.chance(0.7) {
				live = append(live, member.Entry{Incarnation: o.keeper.Holder})
			}
		}
		n.setView(live)
	case r.chance(0.08):
		// Most of the time everybody sees everybody.
		var live []member.Entry
		for _, o := range s.nodes {
			live = append(live, member.Entry{Incarnation: o.keeper.Holder})
		}
		for _, o := range s.nodes {
			o.setView(live)
		}
	case r.chance(0.02):
		r.fault("node-replaced")
		n.cancel()
		n.setGone()
		s.old = append(s.old, n)
		for i := range s.nodes {
			if s.nodes[i] == n {
				s.nodes[i] = s.add()
			}
		}
	case r.chance(0.05):
		r.fault("node-cut-off-from-log")
		n.log.SetPartitioned(!n.log.Partitioned())
	case r.chance(0.05):
		r.fault("link-cut")
		o := s.nodes[r.rng.IntN(len(s.nodes))]
		s.cuts[pair(n, o)] = !s.cuts[pair(n, o)]
	case r.chance(0.02):
		r.fault("node-paused")
		n.pausedUntil = time.Now().Add(r.between(0, time.Minute))
	}
}

func playCold(r *run, m mutation) {
	log := &standin.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	go r.breakLog(ctx, log, 3*time.Minute, 3*time.Minute)
	s := &coldSite{r: r, mutation: m, log: log, cuts: map[[2]member.Incarnation]bool{}}
	for range 2 + r.rng.IntN(4) {
		s.nodes = append(s.nodes, s.add())
	}
	// busy is when the last call of a holder ends at the latest.
	type busy struct {
		holder *keeper
		until  time.Time
	}
	open := map[vm.ID]busy{}
	served := 0
	for range 700 {
		time.Sleep(r.between(100*time.Millisecond, 2*time.Second))
		s.trouble()
		s.ask(s.nodes[r.rng.IntN(len(s.nodes))])
		s.ask(s.nodes[r.rng.IntN(len(s.nodes))])
		for target := range 8 {
			id := vm.ID(fmt.Sprint("target-", target))
			for _, n := range s.nodes {
				end, ok := n.until(id, m)
				now := time.Now()
				if !ok || now.Before(n.pausedUntil) {
					continue
				}
				if b, taken := open[id]; taken && b.holder != n && now.Before(b.until) {
					r.breach("%s is open to two nodes", id)
				}
				served++
				// A call may last to the end of the right; some do.
				open[id] = busy{holder: n, until: now.Add(min(end.Sub(now), r.between(0, 50*time.Second)))}
			}
		}
	}
	if served == 0 {
		r.breach("no right was ever held")
	}
	cancel()
	for _, n := range s.nodes {
		n.cancel()
	}
	time.Sleep(10 * time.Minute)
}
