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
	// linksInZone is how many peers of its own zone a node dials.
	linksInZone = 3
	// bridges is how many nodes of a zone dial each other zone: bytes between
	// zones are dear.
	bridges = 1
	// linkSilence is how long a link may say nothing.
	linkSilence = 2400 * time.Millisecond
	// linkTick is how often missing links are dialled.
	linkTick = 2000 * time.Millisecond
	// dialPatience bounds opening a link.
	dialPatience = 700 * time.Millisecond
)

// host serves the hub.
type host struct{ n *Node }

// State returns what a new link, and one link in turn, is told first.
func (h host) State() peer.Message {
	now := time.Now()
	return peer.Message{Sender: &h.n.self, KnownNodeCount: len(h.n.knowledge.fleet(now)), Marks: h.n.knowledge.marksNow(now)}
}

// Receive takes what a peer tells and passes on what is news. Marks that came
// from another zone stay in this one: every zone is linked to the reader's.
func (h host) Receive(l *peer.Link, m peer.Message) {
	n, now := h.n, time.Now()
	if m.Sender != nil {
		n.linkZones.Store(l, m.Sender.Zone)
		n.learnNodes([]vm.VM{*m.Sender}, l, now)
		if nodes := n.knowledge.fleet(now); len(nodes) > m.KnownNodeCount+1 {
			l.Send(peer.Message{Nodes: nodes})
		}
	}
	if m.WantRecords {
		l.Send(peer.Message{Records: n.knowledge.all()})
	}
	n.learnNodes(m.Nodes, l, now)
	n.learnRecords(m.Records, l, now)
	n.learnMarks(m.Marks, l, now)
}

// Introduce tells the node of others, as the store's members would.
func (n *Node) AddNodes(nodes []vm.VM) {
	n.knowledge.takeNodes(nodes, time.Now())
	n.refresh()
	n.hub.Wake()
}

func (n *Node) learnNodes(nodes []vm.VM, from *peer.Link, now time.Time) {
	if len(nodes) == 0 || !n.knowledge.takeNodes(nodes, now) {
		return
	}
	n.refresh()
	n.hub.Wake()
	n.hub.Broadcast(peer.Message{Nodes: nodes}, from)
}

func (n *Node) learnRecords(records []replica.Record, from *peer.Link, now time.Time) {
	var news []replica.Record
	for t := range replica.TopicCount {
		news = append(news, n.knowledge.take(t, ofTopic(records, t), "peer", now)...)
	}
	if len(news) == 0 {
		return
	}
	n.refresh()
	n.hub.Broadcast(peer.Message{Records: news}, from)
}

// askAgain is the least time between two requests for all records.
const askAgain = 250 * time.Millisecond

// learnMarks takes a peer's marks. Where a reader as far as this node held
// something else, the peer is asked for all it holds.
func (n *Node) learnMarks(marks []replica.ReadMark, from *peer.Link, now time.Time) {
	var fresh []replica.ReadMark
	want := false
	for _, m := range marks {
		if m.Topic >= replica.TopicCount {
			continue
		}
		at := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
		want = want || n.knowledge.differs(m, now)
		if n.knowledge.read(m, at) {
			fresh = append(fresh, m)
		}
	}
	if last := n.askedAt.Load(); want && now.UnixMilli()-last > askAgain.Milliseconds() && n.askedAt.CompareAndSwap(last, now.UnixMilli()) {
		from.Send(peer.Message{WantRecords: true})
	}
	if !n.isInformed() {
		n.refresh()
	}
	if len(fresh) == 0 {
		return
	}
	foreign := !n.inZone(from)
	n.hub.BroadcastTo(peer.Message{Marks: fresh}, func(l *peer.Link) bool {
		return l != from && (n.inZone(l) || !foreign)
	})
}

// inZone reports whether a link leads to a peer of the node's own zone.
func (n *Node) inZone(l *peer.Link) bool {
	z, known := n.linkZones.Load(l)
	return known && z == n.settings.Zone
}

func ofTopic(records []replica.Record, t replica.Topic) (out []replica.Record) {
	for _, r := range records {
		if r.Topic == t {
			out = append(out, r)
		}
	}
	return out
}

// LinkUp tells that a link opened.
func (h host) LinkUp(*peer.Link) {
	event.PeerUp.Log(h.n.logger)
}

// LinkDown tells that a link ended.
func (h host) LinkDown(l *peer.Link) {
	h.n.linkZones.Delete(l)
	event.PeerDown.Log(h.n.logger, zap.String("reason", l.CloseReason()))
}

// Refused tells of someone without the token.
func (h host) PeerRefused(remote string) {
	event.PeerRefused.Log(h.n.logger, zap.String("remote", remote))
}

// peerAddresses returns whom to dial now.
func (n *Node) peerAddresses() []vm.Address {
	now := time.Now()
	_, heard := n.knowledge.end(replica.Targets)
	if heard.Before(n.started) {
		heard = n.started
	}
	return n.dials(n.knowledge.fleet(now), now.Sub(heard), len(n.hub.Links()) > 0)
}

// dials returns whom to dial: some peers of the own zone, and from a few nodes of
// each zone one in every other. A node that has heard nothing new for long and has
// no links dials anyone.
func (n *Node) dials(nodes []vm.VM, silence time.Duration, linked bool) (addresses []vm.Address) {
	byZone := map[zone.Name][]vm.VM{}
	for _, v := range nodes {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	own := byZone[n.settings.Zone]
	slices.SortFunc(own, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
	rank := slices.IndexFunc(own, func(v vm.VM) bool { return v.ID == n.self.ID })
	lonely := !linked && silence > outageAfter
	for z, list := range byZone {
		if z == n.settings.Zone {
			addresses = append(addresses, n.preferred(list, linksInZone)...)
			continue
		}
		if rank < bridgesAfter(silence) || lonely {
			addresses = append(addresses, n.preferred(list, 1)...)
		}
	}
	return addresses
}

// bridgesAfter is how many nodes of a zone dial each other zone when nothing new was
// heard for so long: it doubles with each span of an outage. The zone may be cut off
// by nodes that do not do their part; but if the store is down all zones are as
// silent, and links between them cost. The silence is negative when something was
// heard after the time was looked up.
func bridgesAfter(silence time.Duration) int {
	return bridges << min(max(silence, 0)/outageAfter, mostDoublings)
}

// mostDoublings bounds how often the number of bridges doubles.
const mostDoublings = 6

// preferred returns the n nodes of a list that this node prefers; each node
// prefers others, so that the links form one mesh.
func (n *Node) preferred(list []vm.VM, count int) (addresses []vm.Address) {
	list = slices.DeleteFunc(slices.Clone(list), func(v vm.VM) bool { return v.ID == n.self.ID })
	slices.SortFunc(list, func(a, b vm.VM) int { return cmp.Compare(n.preference(a), n.preference(b)) })
	for _, v := range list[:min(count, len(list))] {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

func (n *Node) preference(v vm.VM) uint64 {
	return xxhash.Sum64String(string(v.Address) + strconv.FormatUint(uint64(n.hub.Self), 16))
}
