package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/fault"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/unit"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

const (
	// publishAppend bounds the append of a publication.
	publishAppend = 3 * time.Second
	// publishWait is how long a publication's fate is waited for.
	publishWait = 8 * time.Second
	// fateTick is how often the fate is looked up.
	fateTick = 10 * time.Millisecond
	// defaultWithdrawal is how long a temporary withdrawal lasts.
	defaultWithdrawal = 10 * time.Minute
)

// operatorHost is the node as operators see it.
type operatorHost struct{ n *Node }

// Publish checks a document, appends it and waits until the stream shows its
// fate.
func (h operatorHost) Publish(ctx context.Context, doc config.Document) operator.Response {
	n := h.n
	if !n.book.HasConfiguration() && !n.configFollower.HasCaughtUp() {
		return operator.Response{Result: operator.Refused, Reason: "this node holds no configuration yet; ask another node"}
	}
	c := n.book.Current()
	p, err := config.PreparePublication(c, doc, n.facts())
	if err != nil {
		event.PublicationRefused.Log(n.logger, zap.String("reason", err.Error()))
		return operator.Response{Result: operator.Refused, Revision: c.Revision, Reason: "the document is faulty", Faults: fault.FromError(err)}
	}
	if p.BaseRevision != c.Revision {
		return operator.Response{Result: operator.Overtaken, Revision: c.Revision, Reason: fmt.Sprintf("based on revision %d, but %d is in force", p.BaseRevision, c.Revision)}
	}
	appendCtx, cancel := context.WithTimeout(ctx, publishAppend)
	defer cancel()
	_, appendErr := n.platform.Log.Append(appendCtx, config.Stream, config.EncodePublication(p))
	return h.awaitFate(ctx, p.ID, appendErr)
}

// Check returns the faults of a document that is not to be published.
func (h operatorHost) Check(doc config.Document) fault.List {
	_, err := config.PreparePublication(h.n.book.Current(), doc, h.n.facts())
	return fault.FromError(err)
}

// awaitFate looks a publication up in the stream until its fate is known.
func (h operatorHost) awaitFate(ctx context.Context, id config.PublicationID, appendErr error) operator.Response {
	ctx, cancel := context.WithTimeout(ctx, publishWait)
	defer cancel()
	for ctx.Err() == nil {
		if a := h.Publication(id); a.Result != operator.Undetermined {
			h.logFate(a)
			return a
		}
		pause.For(ctx, fateTick)
	}
	a := operator.Response{Result: operator.Undetermined, ID: id, Revision: h.n.book.Current().Revision}
	a.Reason = "the log has not shown the publication yet; ask again by its ID"
	if appendErr != nil {
		a.Reason = "the log did not acknowledge the publication, and it has not been seen; it may still take force: ask again by its ID"
	}
	event.PublicationUnknown.Log(h.n.logger, zap.String("id", string(id)), zap.Error(appendErr))
	return a
}

func (h operatorHost) logFate(a operator.Response) {
	if a.Result == operator.Accepted {
		event.PublicationAccepted.Log(h.n.logger, zap.String("id", string(a.ID)), zap.Uint64("revision", uint64(a.Revision)))
		return
	}
	event.PublicationRefused.Log(h.n.logger, zap.String("id", string(a.ID)), zap.String("reason", a.Reason))
}

// Publication says what became of a publication.
func (h operatorHost) Publication(id config.PublicationID) operator.Response {
	c := h.n.book.Current()
	v, ok := c.ResultOf(id)
	switch {
	case !ok:
		return operator.Response{Result: operator.Undetermined, ID: id, Revision: c.Revision, Reason: "not seen in the log, or too long ago"}
	case v.Accepted:
		return operator.Response{Result: operator.Accepted, ID: id, Revision: v.Revision}
	default:
		return operator.Response{Result: operator.Overtaken, ID: id, Revision: v.Revision, Reason: v.Reason}
	}
}

// facts gathers what a publication is checked against.
func (n *Node) facts() (f config.Environment) {
	f = config.Environment{LogRetention: n.settings.LogRetention, Zones: map[zone.Name]bool{}, VMs: map[vm.ID]bool{}}
	now := time.Now()
	services := n.fleet.current.Load().config.Services
	for name, svc := range n.fleet.tables() {
		for _, v := range svc.Table.Views(now) {
			f.Capacities = append(f.Capacities, config.TargetCapacity{
				Service: name, Zone: v.Ref.Zone, VM: v.Ref.ID, Slots: services[name].Slots, SlotsInUse: float64(v.OwnInFlight) + v.OthersInFlight,
			})
		}
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, v := range n.fleet.list.VMs {
		f.Zones[v.Zone] = true
		f.VMs[v.ID] = true
	}
	return f
}

// Configuration returns what is in force.
func (h operatorHost) Configuration() operator.Configuration {
	c := h.n.book.Current()
	out := operator.Configuration{Revision: c.Revision, NextOffset: uint64(c.NextOffset), Digest: fmt.Sprintf("%016x", uint64(c.Digest()))}
	for _, p := range c.Profiles {
		out.Profiles = append(out.Profiles, p.Document())
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, s.Document())
	}
	for z := range c.WithdrawnZones {
		out.WithdrawnZones = append(out.WithdrawnZones, string(z))
	}
	for id := range c.WithdrawnVMs {
		out.WithdrawnVMs = append(out.WithdrawnVMs, string(id))
	}
	for _, w := range h.n.fleet.tellWithdrawals(time.Now()) {
		if !w.Ended {
			out.TemporaryWithdrawals = append(out.TemporaryWithdrawals, temporaryOut(w))
		}
	}
	slices.SortFunc(out.Profiles, func(a, b profile.Document) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Services, func(a, b service.Document) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(out.WithdrawnZones)
	slices.Sort(out.WithdrawnVMs)
	return out
}

func temporaryOut(w peer.Withdrawal) operator.TemporaryWithdrawal {
	left := time.Duration(w.RemainingMillis) * time.Millisecond
	return operator.TemporaryWithdrawal{ID: w.ID, Zone: string(w.Zone), Remaining: left.Round(time.Second).String()}
}

// Status returns what the node says of itself.
func (h operatorHost) Status() operator.Status {
	n := h.n
	reason := n.unreadyReason()
	traffic, spent := n.hub.Traffic(), n.ledger.Totals()
	s := operator.Status{
		VM: string(n.settings.VM), Zone: string(n.settings.Zone), Incarnation: incarnation(n.members.Self().Incarnation),
		Ready: reason == "", Reason: reason, Revision: n.book.Current().Revision,
		LogAge:              time.Since(n.configFollower.LastReadAt()).Round(time.Millisecond).String(),
		ClaimCount:          n.claims.State.Len(),
		HeldColdShards:      n.rights.HeldShardCount(time.Now()),
		HeldCalls:           n.fleet.pool.HeldCount(),
		InvariantViolations: map[string]int64{},
		PeerTraffic: operator.Traffic{
			Links: len(n.hub.Links()), SentMessages: traffic.SentMessages, SentBytes: traffic.SentBytes,
			ReceivedBytes: traffic.ReceivedBytes, DroppedMessages: traffic.DroppedMessages,
		},
		ProbeUsage: operator.ProbeUsage{
			Messages: spent.Spent.Messages, Bytes: int64(spent.Spent.Bytes), TargetTime: spent.Spent.TargetTime.String(), Refusals: spent.Spent.Refusals, Skipped: spent.Skipped,
		},
	}
	for p := range invariant.NameCount {
		s.InvariantViolations[p.String()] = n.checks.Violations(p)
	}
	for _, e := range n.members.Live() {
		s.Members = append(s.Members, operator.Member{
			Incarnation: incarnation(e.Incarnation), Address: string(e.Address), Zone: string(e.Zone), Status: e.Status.String(),
			NextOffset: uint64(e.ConfigNext), Digest: fmt.Sprintf("%016x", uint64(e.ConfigDigest)),
		})
	}
	return s
}

func incarnation[T ~uint64](i T) string {
	return fmt.Sprintf("%016x", uint64(i))
}

// Targets returns the targets as the node sees them.
func (h operatorHost) Targets() (out []operator.Target) {
	now := time.Now()
	for name, svc := range h.n.fleet.tables() {
		for _, v := range svc.Table.Views(now) {
			out = append(out, operator.Target{
				Service: string(name), VM: string(v.Ref.ID), Address: string(v.Ref.Address), Zone: string(v.Ref.Zone),
				Instance: string(v.Instance), State: v.State.String(), Withdrawn: v.IsWithdrawn, Ejected: v.IsEjected,
				OwnInFlight: v.OwnInFlight, OthersInFlight: v.OthersInFlight, Slowness: v.Slowness, ServedCount: v.ServedCount,
			})
		}
	}
	slices.SortFunc(out, func(a, b operator.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM))
	})
	return out
}

// Withdraw begins or ends a temporary withdrawal and tells peers at once.
func (h operatorHost) Withdraw(w operator.WithdrawalRequest) (operator.TemporaryWithdrawal, fault.List) {
	var r unit.Parser
	length := r.Duration("for", w.Duration, defaultWithdrawal)
	r.CheckDuration("for", length, time.Second, maxWithdrawal)
	if w.Zone == "" {
		r.Faults.Add("zone", "is missing")
	}
	if w.End && w.ID == "" {
		r.Faults.Add("id", "is missing; it names the withdrawal to end")
	}
	if len(r.Faults) > 0 {
		return operator.TemporaryWithdrawal{}, r.Faults
	}
	id := w.ID
	if id == "" {
		id = uuid.NewString()
	}
	out := peer.Withdrawal{Zone: zone.Name(w.Zone), ID: id, RemainingMillis: peer.Milliseconds(length), Ended: w.End}
	h.n.hearWithdrawals([]peer.Withdrawal{out}, nil)
	return temporaryOut(out), nil
}
