package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/pacing"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

const (
	// localLinkCount is how many peers of its own zone a node dials.
	localLinkCount = 3
	// remoteZoneDialers is how many nodes of a zone dial each other zone. It is low
	// because traffic between zones is expensive.
	remoteZoneDialers = 1
	// linkIdleTimeout is the time without a message after which a link is closed.
	linkIdleTimeout = 2400 * time.Millisecond
	// linkStateInterval is the time between two rounds in which missing links are dialled
	// and one link gets the message of State.
	linkStateInterval = 2000 * time.Millisecond
	// dialTimeout bounds opening a link.
	dialTimeout = 700 * time.Millisecond
)

// peerDelegate implements peer.Delegate for a node.
type peerDelegate struct{ node *Node }

// State returns the message for a new link and, at each linkStateInterval, for one link in
// rotation.
func (d peerDelegate) State() peer.Message {
	now := time.Now()
	m := peer.Message{Marks: d.node.state.Marks(now, replica.Operator, replica.Targets), Suspects: d.node.suspects.Recent(now), Rollouts: d.node.rollouts.States(now)}
	if !d.node.isLeaving.Load() {
		m.Sender, m.KnownNodeCount = &d.node.self, len(d.node.state.FleetNodes(now))
	}
	return m
}

// Receive applies a peer's message and forwards what is new in it. Marks from another
// zone are forwarded only within the node's own zone, since every zone has its own link
// to the zone of the reader.
func (d peerDelegate) Receive(l *peer.Link, m peer.Message) {
	n, now := d.node, time.Now()
	if m.Sender != nil {
		if _, known := n.linkZones.Swap(l, m.Sender.Zone); !known && m.Sender.Zone == n.settings.Zone {
			n.sendLimits(l)
		}
		n.receiveNodes([]vm.VM{*m.Sender}, l, now)
		if nodes := n.state.FleetNodes(now); len(nodes) > m.KnownNodeCount+1 {
			l.Send(peer.Message{Nodes: nodes})
		}
	}
	if m.WantRecords {
		l.Send(peer.Message{Records: n.state.AllRecords()})
	}
	n.receiveNodes(m.Nodes, l, now)
	n.receiveRecords(m.Records, l, now)
	n.receiveMarks(m.Marks, l, now)
	n.receiveLimits(m.Limits, now)
	n.receiveLeft(m.Left, l, now)
	n.suspects.Receive(m, l)
	n.rollouts.Receive(m, l)
}

// receiveLeft records which nodes have begun a planned stop, and forwards what is new.
func (n *Node) receiveLeft(ids []vm.ID, from *peer.Link, now time.Time) {
	if news := n.state.MarkLeft(ids, now); len(news) > 0 {
		n.hub.Broadcast(peer.Message{Left: news}, from)
	}
}

// AddNodes adds nodes to those known, as if the store had listed them as members.
func (n *Node) AddNodes(nodes []vm.VM) {
	n.state.AddNodes(nodes, time.Now())
	n.applyState()
	n.hub.Wake()
}

func (n *Node) receiveNodes(nodes []vm.VM, from *peer.Link, now time.Time) {
	if len(nodes) == 0 || !n.state.AddNodes(nodes, now) {
		return
	}
	// runMaintenance applies the new number of nodes: many arrive when a fleet starts.
	n.hub.Wake()
	n.hub.Broadcast(peer.Message{Nodes: nodes}, from)
}

func (n *Node) receiveRecords(records []replica.Record, from *peer.Link, now time.Time) {
	var changed []replica.Record
	for t := range replica.TopicCount {
		changed = append(changed, n.state.ApplyRecords(t, filterTopic(records, t), "peer", now)...)
	}
	if len(changed) == 0 {
		return
	}
	n.hub.Broadcast(peer.Message{Records: changed}, from)
	n.applyState()
}

// receiveMarks applies and forwards a peer's marks. If the digest of a reader that has
// read at least as far keeps differing from this node's, it requests all records from
// the peer.
func (n *Node) receiveMarks(marks []replica.ReadMark, from *peer.Link, now time.Time) {
	var newMarks []replica.ReadMark
	needsRecords := false
	for _, m := range marks {
		if m.Topic >= replica.TopicCount {
			continue
		}
		readAt := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
		needsRecords = n.state.DetectLastingMismatch(m, now) || needsRecords
		if n.state.ApplyMark(m, readAt) {
			newMarks = append(newMarks, m)
		}
	}
	if last := n.recordsRequestedAt.Load(); needsRecords && now.UnixMilli()-last > pacing.RecordsRequestInterval.Milliseconds() && n.recordsRequestedAt.CompareAndSwap(last, now.UnixMilli()) {
		from.Send(peer.Message{WantRecords: true})
	}
	if !n.isInitialized() {
		n.applyState()
	}
	if len(newMarks) == 0 {
		return
	}
	isRemote := !n.isLocalLink(from)
	n.hub.BroadcastTo(peer.Message{Marks: newMarks}, func(l *peer.Link) bool {
		return l != from && (n.isLocalLink(l) || !isRemote)
	})
}

// isLocalLink reports whether a link leads to a peer of the node's own zone.
func (n *Node) isLocalLink(l *peer.Link) bool {
	z, known := n.linkZones.Load(l)
	return known && z == n.settings.Zone
}

func filterTopic(records []replica.Record, t replica.Topic) (out []replica.Record) {
	for _, r := range records {
		if r.Topic == t {
			out = append(out, r)
		}
	}
	return out
}

// LinkUp logs that a link was opened, and sends the suspected requests over it.
func (d peerDelegate) LinkUp(l *peer.Link) {
	event.PeerUp.Log(d.node.logger)
	d.node.suspects.SendAll(l)
	d.node.rollouts.SendAll(l)
}

// LinkDown logs that a link was closed.
func (d peerDelegate) LinkDown(l *peer.Link) {
	d.node.linkZones.Delete(l)
	event.PeerDown.Log(d.node.logger, zap.String("reason", l.CloseReason()))
}

// PeerRefused logs that a link without the valid token was refused.
func (d peerDelegate) PeerRefused(remote string) {
	event.PeerRefused.Log(d.node.logger, zap.String("remote", remote))
}

// peerAddresses returns the addresses to which the hub keeps links.
func (n *Node) peerAddresses() []vm.Address {
	now := time.Now()
	// A part of the store may be away, which says nothing about links.
	markAge := min(n.state.MarkAge(replica.Operator, now), n.state.MarkAge(replica.Targets, now), now.Sub(n.startedAt))
	return n.selectPeers(n.state.FleetNodes(now), markAge, len(n.hub.Links()) > 0)
}

// selectPeers returns the addresses to dial: a few peers of the own zone and, for a few
// nodes of each zone, one peer in every other zone. A node without links whose last mark
// is older than inventory.OutageThreshold dials one peer in every other zone too.
func (n *Node) selectPeers(nodes []vm.VM, markAge time.Duration, hasLinks bool) (addresses []vm.Address) {
	byZone := map[zone.Name][]vm.VM{}
	for _, v := range nodes {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	localNodes := byZone[n.settings.Zone]
	slices.SortFunc(localNodes, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
	rank := slices.IndexFunc(localNodes, func(v vm.VM) bool { return v.ID == n.self.ID })
	isIsolated := !hasLinks && markAge > inventory.OutageThreshold
	for z, list := range byZone {
		if z == n.settings.Zone {
			addresses = append(addresses, n.pickByHash(list, localLinkCount)...)
			continue
		}
		if rank < remoteZoneDialersAfter(markAge) || isIsolated {
			addresses = append(addresses, n.pickByHash(list, 1)...)
		}
	}
	return addresses
}

// remoteZoneDialersAfter returns how many nodes of a zone dial each other zone when the
// last mark has the given age: the number doubles with each inventory.OutageThreshold. The nodes
// that should link the zone may have failed, so others have to dial. It grows gradually
// because the store may be down instead: then no zone gets marks, and links between zones
// are expensive. The age is negative if a mark arrived after the current time was read.
func remoteZoneDialersAfter(markAge time.Duration) int {
	return remoteZoneDialers << min(max(markAge, 0)/inventory.OutageThreshold, maxDialerDoublings)
}

// maxDialerDoublings bounds how often remoteZoneDialersAfter doubles the number.
const maxDialerDoublings = 6

// pickByHash returns the addresses of count nodes of a list, by rendezvous hashing. Each
// node picks different ones, so that the links form one connected mesh.
func (n *Node) pickByHash(list []vm.VM, count int) (addresses []vm.Address) {
	list = slices.DeleteFunc(slices.Clone(list), func(v vm.VM) bool { return v.ID == n.self.ID })
	slices.SortFunc(list, func(a, b vm.VM) int { return cmp.Compare(n.rendezvousHash(a), n.rendezvousHash(b)) })
	for _, v := range list[:min(count, len(list))] {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

func (n *Node) rendezvousHash(v vm.VM) uint64 {
	return xxhash.Sum64String(string(v.Address) + strconv.FormatUint(uint64(n.hub.Self), 16))
}
