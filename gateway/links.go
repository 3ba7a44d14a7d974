package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
	"go.uber.org/zap"
)

const (
	// localLinkCount is how many peers of its own zone a node dials.
	localLinkCount = 3
	// remoteZoneDialers is how many nodes of a zone dial each other zone: bytes between
	// zones are dear.
	remoteZoneDialers = 1
	// linkSilenceTimeout is how long a link may say nothing.
	linkSilenceTimeout = 2400 * time.Millisecond
	// linkTickInterval is how often missing links are dialled.
	linkTickInterval = 2000 * time.Millisecond
	// dialTimeout bounds opening a link.
	dialTimeout = 700 * time.Millisecond
)

// hubHost serves the hub.
type hubHost struct{ node *Node }

// State returns what a new link, and one link in turn, is told first.
func (h hubHost) State() peer.Message {
	now := time.Now()
	return peer.Message{Sender: &h.node.self, Known: len(h.node.state.fleetNodes(now)), Marks: h.node.state.marks(now)}
}

// Receive takes what a peer tells and passes on what is news. Marks that came
// from another zone stay in this one: every zone is linked to the reader's.
func (h hubHost) Receive(l *peer.Link, m peer.Message) {
	n, now := h.node, time.Now()
	if m.Sender != nil {
		n.linkZones.Store(l, m.Sender.Zone)
		n.receiveNodes([]vm.VM{*m.Sender}, l, now)
		if nodes := n.state.fleetNodes(now); len(nodes) > m.Known+1 {
			l.Send(peer.Message{Nodes: nodes})
		}
	}
	if m.WantRecords {
		l.Send(peer.Message{Records: n.state.allRecords()})
	}
	n.receiveNodes(m.Nodes, l, now)
	n.receiveRecords(m.Records, l, now)
	n.receiveMarks(m.Marks, l, now)
}

// Introduce tells the node of others, as the store's members would.
func (n *Node) Introduce(nodes []vm.VM) {
	n.state.addNodes(nodes, time.Now())
	n.applyState()
	n.hub.Wake()
}

func (n *Node) receiveNodes(nodes []vm.VM, from *peer.Link, now time.Time) {
	if len(nodes) == 0 || !n.state.addNodes(nodes, now) {
		return
	}
	n.applyState()
	n.hub.Wake()
	n.hub.Broadcast(peer.Message{Nodes: nodes}, from)
}

func (n *Node) receiveRecords(records []replica.Record, from *peer.Link, now time.Time) {
	var news []replica.Record
	for t := range replica.Topics {
		news = append(news, n.state.applyRecords(t, filterTopic(records, t), "peer", now)...)
	}
	if len(news) == 0 {
		return
	}
	n.applyState()
	n.hub.Broadcast(peer.Message{Records: news}, from)
}

// recordsRequestInterval is the least time between two requests for all records.
const recordsRequestInterval = 250 * time.Millisecond

// receiveMarks takes a peer's marks. Where a reader as far as this node held
// something else, the peer is asked for all it holds.
func (n *Node) receiveMarks(marks []replica.Mark, from *peer.Link, now time.Time) {
	var fresh []replica.Mark
	want := false
	for _, m := range marks {
		if m.Topic >= replica.Topics {
			continue
		}
		at := now.Add(-time.Duration(m.Age) * time.Millisecond)
		want = want || n.state.hasLastingMismatch(m, now)
		if n.state.applyMark(m, at) {
			fresh = append(fresh, m)
		}
	}
	if last := n.recordsRequestedAt.Load(); want && now.UnixMilli()-last > recordsRequestInterval.Milliseconds() && n.recordsRequestedAt.CompareAndSwap(last, now.UnixMilli()) {
		from.Send(peer.Message{WantRecords: true})
	}
	if !n.isInitialized() {
		n.applyState()
	}
	if len(fresh) == 0 {
		return
	}
	foreign := !n.isLocalLink(from)
	n.hub.BroadcastTo(peer.Message{Marks: fresh}, func(l *peer.Link) bool {
		return l != from && (n.isLocalLink(l) || !foreign)
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

// LinkUp tells that a link opened.
func (h hubHost) LinkUp(*peer.Link) {
	event.PeerUp.Log(h.node.logger)
}

// LinkDown tells that a link ended.
func (h hubHost) LinkDown(l *peer.Link) {
	h.node.linkZones.Delete(l)
	event.PeerDown.Log(h.node.logger, zap.String("reason", l.Reason()))
}

// Refused tells of someone without the token.
func (h hubHost) Refused(remote string) {
	event.PeerRefused.Log(h.node.logger, zap.String("remote", remote))
}

// peerAddresses returns whom to dial now.
func (n *Node) peerAddresses() []vm.Address {
	now := time.Now()
	_, heard := n.state.readPosition(replica.Targets)
	if heard.Before(n.startedAt) {
		heard = n.startedAt
	}
	return n.selectPeers(n.state.fleetNodes(now), now.Sub(heard), len(n.hub.Links()) > 0)
}

// selectPeers returns whom to dial: some peers of the own zone, and from a few nodes of
// each zone one in every other. A node that has heard nothing new for long and has
// no links selectPeers anyone.
func (n *Node) selectPeers(nodes []vm.VM, silence time.Duration, linked bool) (addresses []vm.Address) {
	byZone := map[zone.Name][]vm.VM{}
	for _, v := range nodes {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	own := byZone[n.settings.Zone]
	slices.SortFunc(own, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
	rank := slices.IndexFunc(own, func(v vm.VM) bool { return v.ID == n.self.ID })
	lonely := !linked && silence > outageThreshold
	for z, list := range byZone {
		if z == n.settings.Zone {
			addresses = append(addresses, n.pickByHash(list, localLinkCount)...)
			continue
		}
		if rank < remoteZoneDialersAfter(silence) || lonely {
			addresses = append(addresses, n.pickByHash(list, 1)...)
		}
	}
	return addresses
}

// remoteZoneDialersAfter is how many nodes of a zone dial each other zone when nothing new was
// heard for so long: it doubles with each span of an outage. The zone may be cut off
// by nodes that do not do their part; but if the store is down all zones are as
// silent, and links between them cost. The silence is negative when something was
// heard after the time was looked up.
func remoteZoneDialersAfter(silence time.Duration) int {
	return remoteZoneDialers << min(max(silence, 0)/outageThreshold, maxDialerDoublings)
}

// maxDialerDoublings bounds how often the number of bridges doubles.
const maxDialerDoublings = 6

// pickByHash returns the n nodes of a list that this node prefers; each node
// prefers others, so that the links form one mesh.
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
