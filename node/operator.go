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
	// publishAppendTimeout bounds the append of a publication to the log.
	publishAppendTimeout = 3 * time.Second
	// publishResultTimeout bounds the wait for the result of a publication.
	publishResultTimeout = 8 * time.Second
	// publishPollInterval is the time between two lookups of the result.
	publishPollInterval = 10 * time.Millisecond
	// defaultWithdrawalDuration is how long a temporary withdrawal lasts if the
	// request gives no duration.
	defaultWithdrawalDuration = 10 * time.Minute
)

// operatorNode adapts a Node to operator.Node.
type operatorNode struct{ node *Node }

// Publish checks a document, appends it to the log and waits for its result in the
// configuration stream.
func (o operatorNode) Publish(ctx context.Context, doc config.Document) operator.Response {
	n := o.node
	if !n.configState.HasConfiguration() && !n.configFollower.HasCaughtUp() {
		return operator.Response{Result: operator.Refused, Reason: "this node has no configuration yet; use another node"}
	}
	c := n.configState.Current()
	p, err := config.PreparePublication(c, doc, n.publicationEnvironment())
	if err != nil {
		event.PublicationRefused.Log(n.logger, zap.String("reason", err.Error()))
		return operator.Response{Result: operator.Refused, Revision: c.Revision, Reason: "the document is faulty", Faults: fault.FromError(err)}
	}
	if p.BaseRevision != c.Revision {
		return operator.Response{Result: operator.Overtaken, Revision: c.Revision, Reason: fmt.Sprintf("based on revision %d, but %d is in force", p.BaseRevision, c.Revision)}
	}
	appendCtx, cancel := context.WithTimeout(ctx, publishAppendTimeout)
	defer cancel()
	_, appendErr := n.platform.Log.Append(appendCtx, config.Stream, config.EncodePublication(p))
	return o.awaitResult(ctx, p.ID, appendErr)
}

// Check returns the faults of a document without publishing it.
func (o operatorNode) Check(doc config.Document) fault.List {
	_, err := config.PreparePublication(o.node.configState.Current(), doc, o.node.publicationEnvironment())
	return fault.FromError(err)
}

// awaitResult looks up a publication in the stream until it has a result or
// publishResultTimeout has passed. A failed append is looked up as well, since the log
// may have stored the record.
func (o operatorNode) awaitResult(ctx context.Context, id config.PublicationID, appendErr error) operator.Response {
	ctx, cancel := context.WithTimeout(ctx, publishResultTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if response := o.Publication(id); response.Result != operator.Undetermined {
			o.logResult(response)
			return response
		}
		pause.For(ctx, publishPollInterval)
	}
	response := operator.Response{Result: operator.Undetermined, ID: id, Revision: o.node.configState.Current().Revision}
	response.Reason = "the publication has not been read back from the log yet; query it again by its ID"
	if appendErr != nil {
		response.Reason = "the log did not acknowledge the publication, and it has not been read back from the log; it may still become active: query it again by its ID"
	}
	event.PublicationUnknown.Log(o.node.logger, zap.String("id", string(id)), zap.Error(appendErr))
	return response
}

func (o operatorNode) logResult(response operator.Response) {
	if response.Result == operator.Accepted {
		event.PublicationAccepted.Log(o.node.logger, zap.String("id", string(response.ID)), zap.Uint64("revision", uint64(response.Revision)))
		return
	}
	event.PublicationRefused.Log(o.node.logger, zap.String("id", string(response.ID)), zap.String("reason", response.Reason))
}

// Publication returns the result of a publication, or operator.Undetermined if the
// result is not known.
func (o operatorNode) Publication(id config.PublicationID) operator.Response {
	c := o.node.configState.Current()
	result, ok := c.ResultOf(id)
	switch {
	case !ok:
		return operator.Response{Result: operator.Undetermined, ID: id, Revision: c.Revision, Reason: "the publication was not found in the log, or its result is no longer kept"}
	case result.Accepted:
		return operator.Response{Result: operator.Accepted, ID: id, Revision: result.Revision}
	default:
		return operator.Response{Result: operator.Overtaken, ID: id, Revision: result.Revision, Reason: result.Reason}
	}
}

// publicationEnvironment returns the platform and load data that a publication is
// checked against.
func (n *Node) publicationEnvironment() (env config.Environment) {
	env = config.Environment{LogRetention: n.settings.LogRetention, Zones: map[zone.Name]bool{}, VMs: map[vm.ID]bool{}}
	now := time.Now()
	services := n.services.active.Load().config.Services
	for name, svc := range n.services.byName() {
		for _, v := range svc.Table.Views(now) {
			env.Capacities = append(env.Capacities, config.TargetCapacity{
				Service: name, Zone: v.Ref.Zone, VM: v.Ref.ID, Slots: services[name].Slots, SlotsInUse: float64(v.OwnInFlight) + v.OthersInFlight,
			})
		}
	}
	n.services.mu.Lock()
	defer n.services.mu.Unlock()
	for _, v := range n.services.vmList.VMs {
		env.Zones[v.Zone] = true
		env.VMs[v.ID] = true
	}
	return env
}

// Configuration returns the active configuration with the temporary withdrawals.
func (o operatorNode) Configuration() operator.Configuration {
	c := o.node.configState.Current()
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
	for _, w := range o.node.services.unexpiredWithdrawals(time.Now()) {
		if !w.Ended {
			out.TemporaryWithdrawals = append(out.TemporaryWithdrawals, toTemporaryWithdrawal(w))
		}
	}
	slices.SortFunc(out.Profiles, func(a, b profile.Document) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Services, func(a, b service.Document) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(out.WithdrawnZones)
	slices.Sort(out.WithdrawnVMs)
	return out
}

func toTemporaryWithdrawal(w peer.Withdrawal) operator.TemporaryWithdrawal {
	remaining := time.Duration(w.RemainingMillis) * time.Millisecond
	return operator.TemporaryWithdrawal{ID: w.ID, Zone: string(w.Zone), Remaining: remaining.Round(time.Second).String()}
}

// Status returns the node's state, counters and view of the membership.
func (o operatorNode) Status() operator.Status {
	n := o.node
	reason := n.unreadyReason()
	traffic, probeTotals := n.hub.Traffic(), n.probeBudget.Totals()
	s := operator.Status{
		VM: string(n.settings.VM), Zone: string(n.settings.Zone), Incarnation: formatIncarnation(n.members.Self().Incarnation),
		Ready: reason == "", Reason: reason, Revision: n.configState.Current().Revision,
		LogAge:              n.configFollower.ReadAge().Round(time.Millisecond).String(),
		ClaimCount:          n.claimManager.State.Len(),
		HeldColdShards:      n.leaseManager.HeldShardCount(time.Now()),
		HeldCalls:           n.services.admissionPool.HeldCount(),
		InvariantViolations: map[string]int64{},
		PeerTraffic: operator.Traffic{
			Links: len(n.hub.Links()), SentMessages: traffic.SentMessages, SentBytes: traffic.SentBytes,
			ReceivedBytes: traffic.ReceivedBytes, DroppedMessages: traffic.DroppedMessages,
		},
		ProbeUsage: operator.ProbeUsage{
			Messages: probeTotals.Spent.Messages, Bytes: int64(probeTotals.Spent.Bytes), TargetTime: probeTotals.Spent.TargetTime.String(), Refusals: probeTotals.Spent.Refusals, Skipped: probeTotals.Skipped,
		},
	}
	for name := range invariant.NameCount {
		s.InvariantViolations[name.String()] = n.invariantChecks.Violations(name)
	}
	for _, e := range n.members.Live() {
		s.Members = append(s.Members, operator.Member{
			Incarnation: formatIncarnation(e.Incarnation), Address: string(e.Address), Zone: string(e.Zone), Status: e.Status.String(),
			NextOffset: uint64(e.ConfigNext), Digest: fmt.Sprintf("%016x", uint64(e.ConfigDigest)),
		})
	}
	return s
}

func formatIncarnation[T ~uint64](i T) string {
	return fmt.Sprintf("%016x", uint64(i))
}

// Targets returns the node's view of all targets, ordered by service and VM.
func (o operatorNode) Targets() (out []operator.Target) {
	now := time.Now()
	for name, svc := range o.node.services.byName() {
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

// Withdraw begins or ends a temporary withdrawal and broadcasts it to peers.
func (o operatorNode) Withdraw(w operator.WithdrawalRequest) (operator.TemporaryWithdrawal, fault.List) {
	var r unit.Parser
	duration := r.Duration("for", w.Duration, defaultWithdrawalDuration)
	r.CheckDuration("for", duration, time.Second, maxWithdrawalDuration)
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
	out := peer.Withdrawal{Zone: zone.Name(w.Zone), ID: id, RemainingMillis: peer.Milliseconds(duration), Ended: w.End}
	o.node.receiveWithdrawals([]peer.Withdrawal{out}, nil)
	return toTemporaryWithdrawal(out), nil
}
