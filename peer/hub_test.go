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

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/vm"
)

// fakeHost counts what it is told.
type fakeHost struct {
	self     member.Incarnation
	receivedCount atomic.Int64
	refusedCount  atomic.Int64
}

func (h *fakeHost) State() Message         { return Message{Entries: []member.Entry{{Incarnation: h.self}}} }
func (h *fakeHost) Receive(*Link, Message) { h.receivedCount.Add(1) }
func (h *fakeHost) LinkUp(*Link)           {}
func (h *fakeHost) LinkDown(*Link)         {}
func (h *fakeHost) Refused(string)         { h.refusedCount.Add(1) }

// startHub runs a hub that dials the given addresses until the test ends.
func startHub(t *testing.T, self member.Incarnation, token string, dial ...vm.Address) (*Hub, *fakeHost, vm.Address) {
	t.Helper()
	host := &fakeHost{self: self}
	h := &Hub{
		Host: host, Self: self, Addresses: func() []vm.Address { return append([]vm.Address(nil), dial...) },
		Settings: Settings{Token: token, Tick: 20 * time.Millisecond, Silence: 300 * time.Millisecond, DialTimeout: time.Second},
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
	return h, host, vm.Address(strings.TrimPrefix(server.URL, "http://"))
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// discardProxy passes bytes on until it is told to swallow them, on the
// connections open then.
type discardProxy struct {
	listener net.Listener
	backend       string
	mu       sync.Mutex
	discarding    []*atomic.Bool
	accepted atomic.Int64
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

func (p *discardProxy) forward(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer d.Close()
	mute := &atomic.Bool{}
	p.mu.Lock()
	p.discarding = append(p.discarding, mute)
	p.mu.Unlock()
	go p.copy(d, c, mute)
	p.copy(c, d, mute)
}

func (p *discardProxy) copy(to io.Writer, from io.Reader, mute *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if mute.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *discardProxy) discardAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.discarding {
		m.Store(true)
	}
}

// TestHalfOpenLinkIsReplaced lets a link go silent while its connection stays
// open; both sides notice, and a new connection takes its place.
func TestHalfOpenLinkIsReplaced(t *testing.T) {
	b, hostB, addressB := startHub(t, 2, "")
	p := newDiscardProxy(t, addressB)
	a, hostA, _ := startHub(t, 1, "", vm.Address(p.listener.Addr().String()))
	waitFor(t, "the first link", func() bool { return a.To(2) != nil && b.To(1) != nil })
	old := a.To(2)
	p.discardAll()
	waitFor(t, "another link in its place", func() bool {
		now := a.To(2)
		return now != nil && now != old && p.accepted.Load() > 1
	})
	before := hostA.receivedCount.Load()
	waitFor(t, "messages over it", func() bool { return hostA.receivedCount.Load() > before })
	if old.Reason() == "" {
		t.Error("reason of the link that ended: got none")
	}
	_ = hostB
}

func TestWrongTokenIsRefused(t *testing.T) {
	_, hostB, addressB := startHub(t, 2, "secret")
	a, _, _ := startHub(t, 1, "wrong", addressB)
	waitFor(t, "a refusal", func() bool { return hostB.refusedCount.Load() > 0 })
	if got := len(a.Links()); got != 0 {
		t.Errorf("links with the wrong token: got %d, want 0", got)
	}
}

// TestOwnAddressIsDetected dials itself, as a lagging list may make a node do.
func TestOwnAddressIsDetected(t *testing.T) {
	var own vm.Address
	h := &Hub{Host: &fakeHost{self: 1}, Self: 1, Settings: Settings{Tick: 10 * time.Millisecond}}
	server := httptest.NewServer(h)
	defer server.Close()
	own = vm.Address(strings.TrimPrefix(server.URL, "http://"))
	h.Addresses = func() []vm.Address { return []vm.Address{own} }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.Run(ctx)
	waitFor(t, "the node to know its own address", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.ownAddresses[own]
	})
}

// TestFullSendQueueDropsMessages does not read from a link and sends a lot.
func TestFullSendQueueDropsMessages(t *testing.T) {
	l := &Link{hub: &Hub{}, sendQueue: make(chan []byte, sendQueueLength)}
	for range 10 * sendQueueLength {
		l.Send(Message{})
	}
	if got, want := l.hub.droppedMessages.Load(), int64(9*sendQueueLength); got != want {
		t.Errorf("dropped: got %d, want %d", got, want)
	}
}
