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
// to cold targets, while the log fails and nodes are paused and replaced. No
// target may have two holders, calls under way included.
var coldRights = scenario{
	name:      "cold-rights",
	play:      playCold,
	mutations: []mutation{"right-without-lease", "right-by-own-view"},
}

// keeper is one node's rights.
type keeper struct {
	mu     sync.Mutex
	live   []member.Entry
	keeper *coldstart.Keeper
	cancel context.CancelFunc
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

func newKeeper(log stream.Log, self member.Incarnation) *keeper {
	k := &keeper{live: []member.Entry{{Incarnation: self}}}
	k.keeper = &coldstart.Keeper{Log: log, Holder: self, Book: &coldstart.Book{}, Live: k.view}
	k.keeper.Start()
	f := &stream.Follower{Log: log, Name: coldstart.Stream, Fold: k.keeper.Book}
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	go f.Run(ctx)
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
		return k.keeper.Until(id, time.Now())
	}
}

func playCold(r *run, m mutation) {
	log := &standin.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	go r.breakLog(ctx, log, 40*time.Second, 40*time.Second)
	nodes := make([]*keeper, 2+r.rng.IntN(5))
	for i := range nodes {
		nodes[i] = newKeeper(log, member.Incarnation(i+1))
	}
	next := member.Incarnation(len(nodes) + 1)
	// busyUntil is when the last call of each holder ends at the latest.
	type busy struct {
		holder *keeper
		until  time.Time
	}
	open := map[vm.ID]busy{}
	served := 0
	for range 400 {
		time.Sleep(r.between(100*time.Millisecond, 2*time.Second))
		switch {
		case r.chance(0.05):
			r.fault("view-changed")
			n := nodes[r.rng.IntN(len(nodes))]
			live := []member.Entry{{Incarnation: n.keeper.Holder}}
			for _, o := range nodes {
				if o != n && r.chance(0.6) {
					live = append(live, member.Entry{Incarnation: o.keeper.Holder})
				}
			}
			n.setView(live)
		case r.chance(0.02):
			r.fault("node-replaced")
			i := r.rng.IntN(len(nodes))
			nodes[i].cancel()
			nodes[i] = newKeeper(log, next)
			next++
		}
		id := vm.ID(fmt.Sprint("target-", r.rng.IntN(8)))
		for _, n := range nodes {
			end, ok := n.until(id, m)
			if !ok {
				continue
			}
			now := time.Now()
			if b, taken := open[id]; taken && b.holder != n && now.Before(b.until) {
				r.breach("%s is open to two nodes", id)
			}
			served++
			// A call may last to the end of the right; some do.
			open[id] = busy{holder: n, until: now.Add(min(end.Sub(now), r.between(0, 40*time.Second)))}
		}
	}
	if served == 0 {
		r.breach("no right was ever held")
	}
	cancel()
	for _, n := range nodes {
		n.cancel()
	}
	time.Sleep(3 * time.Minute)
}
