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
	received atomic.Int64
	refused  atomic.Int64
}

func (h *fakeHost) State() Message         { return Message{Entries: []member.Entry{{Incarnation: h.self}}} }
func (h *fakeHost) Receive(*Link, Message) { h.received.Add(1) }
func (h *fakeHost) LinkUp(*Link)           {}
func (h *fakeHost) LinkDown(*Link)         {}
func (h *fakeHost) PeerRefused(string)     { h.refused.Add(1) }

// newHub runs a hub that dials the given addresses until the test ends.
func newHub(t *testing.T, self member.Incarnation, token string, dial ...vm.Address) (*Hub, *fakeHost, vm.Address) {
	t.Helper()
	host := &fakeHost{self: self}
	h := &Hub{
		Delegate: host, Self: self, Addresses: func() []vm.Address { return append([]vm.Address(nil), dial...) },
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
	return h, host, vm.Address(strings.TrimPrefix(server.URL, "http://"))
}

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// silentProxy passes bytes on until it is told to swallow them, on the
// connections open then.
type silentProxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	muted    []*atomic.Bool
	accepted atomic.Int64
}

func newSilentProxy(t *testing.T, to vm.Address) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: l, to: string(to)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.pass(c)
		}
	}()
	return p
}

func (p *silentProxy) pass(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer d.Close()
	mute := &atomic.Bool{}
	p.mu.Lock()
	p.muted = append(p.muted, mute)
	p.mu.Unlock()
	go p.copy(d, c, mute)
	p.copy(c, d, mute)
}

func (p *silentProxy) copy(to io.Writer, from io.Reader, mute *atomic.Bool) {
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

func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.muted {
		m.Store(true)
	}
}

// TestHalfOpenLinkIsReplaced lets a link go silent while its connection stays
// open; both sides notice, and a new connection takes its place.
func TestHalfOpenLinkIsReplaced(t *testing.T) {
	b, hostB, addressB := newHub(t, 2, "")
	p := newSilentProxy(t, addressB)
	a, hostA, _ := newHub(t, 1, "", vm.Address(p.listener.Addr().String()))
	until(t, "the first link", func() bool { return a.LinkTo(2) != nil && b.LinkTo(1) != nil })
	old := a.LinkTo(2)
	p.silence()
	until(t, "another link in its place", func() bool {
		now := a.LinkTo(2)
		return now != nil && now != old && p.accepted.Load() > 1
	})
	before := hostA.received.Load()
	until(t, "messages over it", func() bool { return hostA.received.Load() > before })
	if old.CloseReason() == "" {
		t.Error("reason of the link that ended: got none")
	}
	_ = hostB
}

func TestTokens(t *testing.T) {
	_, hostB, addressB := newHub(t, 2, "secret")
	a, _, _ := newHub(t, 1, "wrong", addressB)
	until(t, "a refusal", func() bool { return hostB.refused.Load() > 0 })
	if got := len(a.Links()); got != 0 {
		t.Errorf("links with the wrong token: got %d, want 0", got)
	}
}

// TestOwnAddress dials itself, as a lagging list may make a node do.
func TestOwnAddress(t *testing.T) {
	var own vm.Address
	h := &Hub{Delegate: &fakeHost{self: 1}, Self: 1, Settings: Settings{StateInterval: 10 * time.Millisecond}}
	server := httptest.NewServer(h)
	defer server.Close()
	own = vm.Address(strings.TrimPrefix(server.URL, "http://"))
	h.Addresses = func() []vm.Address { return []vm.Address{own} }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.Run(ctx)
	until(t, "the node to know its own address", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.own[own]
	})
}

// TestSlowPeerStallsNobody does not read from a link and sends a lot.
func TestSlowPeerStallsNobody(t *testing.T) {
	l := &Link{hub: &Hub{}, outbox: make(chan []byte, outboxLength)}
	for range 10 * outboxLength {
		l.Send(Message{})
	}
	if got, want := l.hub.dropped.Load(), int64(9*outboxLength); got != want {
		t.Errorf("dropped: got %d, want %d", got, want)
	}
}
