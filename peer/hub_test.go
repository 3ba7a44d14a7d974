package peer

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/vm"
)

// fakeNode is a Delegate that counts received messages and refused connections.
type fakeNode struct {
	self          member.Incarnation
	receivedCount atomic.Int64
	refusedCount  atomic.Int64
}

func (n *fakeNode) State() Message         { return Message{Entries: []member.Entry{{Incarnation: n.self}}} }
func (n *fakeNode) Receive(*Link, Message) { n.receivedCount.Add(1) }
func (n *fakeNode) LinkUp(*Link)           {}
func (n *fakeNode) LinkDown(*Link)         {}
func (n *fakeNode) PeerRefused(string)     { n.refusedCount.Add(1) }

// startHub runs a hub that dials the given addresses until the test ends. It returns
// the hub, its delegate and the address at which it accepts links.
func startHub(t *testing.T, self member.Incarnation, token string, dial ...vm.Address) (*Hub, *fakeNode, vm.Address) {
	t.Helper()
	delegate := &fakeNode{self: self}
	h := &Hub{
		Delegate: delegate, Self: self, Addresses: func() []vm.Address { return append([]vm.Address(nil), dial...) },
		Settings: Settings{Token: token, StateInterval: 20 * time.Millisecond, IdleTimeout: 300 * time.Millisecond, DialTimeout: time.Second},
	}
	server := httptest.NewServer(h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		h.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return h, delegate, vm.Address(strings.TrimPrefix(server.URL, "http://"))
}

// waitFor waits up to 30 s for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// discardProxy is a TCP proxy that can discard the data of its connections while it
// keeps them open, as a half-open connection does.
type discardProxy struct {
	listener   net.Listener
	backend    string
	mu         sync.Mutex
	discarding []*atomic.Bool // one for each forwarded connection
	accepted   atomic.Int64
}

func newDiscardProxy(t *testing.T, to vm.Address) *discardProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &discardProxy{listener: l, backend: string(to)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.forward(c)
		}
	}()
	return p
}

// forward copies between a client connection and a new one to the backend.
func (p *discardProxy) forward(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer d.Close()
	discard := &atomic.Bool{}
	p.mu.Lock()
	p.discarding = append(p.discarding, discard)
	p.mu.Unlock()
	go p.copy(d, c, discard)
	p.copy(c, d, discard)
}

// copy copies data, or discards it while discard is true.
func (p *discardProxy) copy(to io.Writer, from io.Reader, discard *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if discard.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// discardAll makes the proxy discard the data of the connections that are open now.
func (p *discardProxy) discardAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, discard := range p.discarding {
		discard.Store(true)
	}
}

// A connection that stays open but transfers no data must be closed by the idle
// timeout and replaced by a new connection.
func TestHalfOpenLinkIsReplaced(t *testing.T) {
	b, delegateB, addressB := startHub(t, 2, "")
	p := newDiscardProxy(t, addressB)
	a, delegateA, _ := startHub(t, 1, "", vm.Address(p.listener.Addr().String()))
	waitFor(t, "the first link", func() bool { return a.LinkTo(2) != nil && b.LinkTo(1) != nil })
	old := a.LinkTo(2)
	p.discardAll()
	waitFor(t, "a new link in its place", func() bool {
		current := a.LinkTo(2)
		return current != nil && current != old && p.accepted.Load() > 1
	})
	before := delegateA.receivedCount.Load()
	waitFor(t, "messages on the new link", func() bool { return delegateA.receivedCount.Load() > before })
	if old.CloseReason() == "" {
		t.Error("close reason of the old link: got none, want one")
	}
	_ = delegateB
}

// A hub that dials with a wrong token gets no link, and the delegate of the other hub
// is notified.
func TestWrongTokenIsRefused(t *testing.T) {
	_, delegateB, addressB := startHub(t, 2, "secret")
	a, _, _ := startHub(t, 1, "wrong", addressB)
	waitFor(t, "a refusal", func() bool { return delegateB.refusedCount.Load() > 0 })
	if got := len(a.Links()); got != 0 {
		t.Errorf("links with the wrong token: got %d, want 0", got)
	}
}

// An outdated list can contain the node's own address. The node must detect that a
// link leads to itself and record the address, so that it does not dial it again.
func TestOwnAddressIsDetected(t *testing.T) {
	var own vm.Address
	h := &Hub{Delegate: &fakeNode{self: 1}, Self: 1, Settings: Settings{StateInterval: 10 * time.Millisecond}}
	server := httptest.NewServer(h)
	defer server.Close()
	own = vm.Address(strings.TrimPrefix(server.URL, "http://"))
	h.Addresses = func() []vm.Address { return []vm.Address{own} }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.Run(ctx)
	waitFor(t, "the node to detect its own address", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.ownAddresses[own]
	})
}

// Nothing reads the send queue of the link. Send must not block, and must drop and
// count all messages beyond the length of the queue.
func TestFullSendQueueDropsMessages(t *testing.T) {
	l := &Link{hub: &Hub{}, sendQueue: make(chan []byte, sendQueueLength)}
	for range 10 * sendQueueLength {
		l.Send(Message{})
	}
	if got, want := l.hub.droppedMessages.Load(), int64(9*sendQueueLength); got != want {
		t.Errorf("dropped messages: got %d, want %d", got, want)
	}
}

// silentNode is a Delegate that is told of messages and has none of its own to send.
type silentNode struct {
	fakeNode
	receivedAt chan time.Time
}

func (n *silentNode) Receive(*Link, Message) {
	select {
	case n.receivedAt <- time.Now():
	default:
	}
}

// A side with nothing to send must keep its link alive three times within the idle
// timeout: two lost messages then cost no link.
func TestIdleLinkIsKeptAliveAtEachInterval(t *testing.T) {
	const idleTimeout = 600 * time.Millisecond
	receiver := &silentNode{receivedAt: make(chan time.Time, 100)}
	b := &Hub{Delegate: receiver, Self: 2, Addresses: func() []vm.Address { return nil }, Settings: Settings{IdleTimeout: idleTimeout}}
	server := httptest.NewServer(b)
	defer server.Close()
	address := vm.Address(strings.TrimPrefix(server.URL, "http://"))
	a := &Hub{Delegate: &fakeNode{self: 1}, Self: 1, Addresses: func() []vm.Address { return []vm.Address{address} }, Settings: Settings{IdleTimeout: idleTimeout, StateInterval: time.Hour}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	defer b.Close()
	defer a.Close()
	go a.Run(ctx)
	last := <-receiver.receivedAt
	for range 6 {
		at := <-receiver.receivedAt
		if gap, want := at.Sub(last), idleTimeout/keepAliveDivisor*3/2; gap > want {
			t.Errorf("time between two messages of an idle link: got %v, want at most %v", gap, want)
		}
		last = at
	}
}

// A peer whose message has no end must lose its link after a bounded number of bytes; other
// links stay.
func TestEndlessMessageClosesLink(t *testing.T) {
	h, node, address := startHub(t, 1, "")
	startHub(t, 2, "", address)
	waitFor(t, "the link of the other peer", func() bool { return len(h.Links()) == 1 })
	conn, _, err := websocket.Dial(t.Context(), "ws://"+string(address)+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseNow()
	w, err := conn.Writer(t.Context(), websocket.MessageBinary)
	if err != nil {
		t.Fatal(err)
	}
	sent, piece := 0, make([]byte, 4096)
	for ; err == nil && sent < 16*maxMessageBytes; _, err = w.Write(piece) {
		sent += len(piece)
	}
	if err == nil {
		t.Errorf("endless message: got %d bytes accepted, want the link closed", sent)
	}
	waitFor(t, "the link of the other peer alone", func() bool { return len(h.Links()) == 1 })
	before := node.receivedCount.Load()
	waitFor(t, "messages of the other peer", func() bool { return node.receivedCount.Load() > before })
}
