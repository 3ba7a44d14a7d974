package peer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// gatedListener closes each connection at once until it is open.
type gatedListener struct {
	net.Listener
	isOpen atomic.Bool
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.isOpen.Load() {
			return c, err
		}
		c.Close()
	}
}

// A node that was cut off from all others has no link when it is back. It must not wait as
// long as one that has lost a single peer.
func TestNodeWithoutLinksDialsSoonAgain(t *testing.T) {
	const maxDelay = time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated := &gatedListener{Listener: l}
	accepting, _, _ := startHub(t, 2, "")
	server := &http.Server{Handler: accepting}
	go server.Serve(gated)
	t.Cleanup(func() { server.Close() })
	h, _, _ := startHub(t, 1, "", vm.Address(l.Addr().String()))
	time.Sleep(200 * time.Millisecond)
	gated.isOpen.Store(true)
	backAt := time.Now()
	waitFor(t, "a link", func() bool { return len(h.Links()) > 0 })
	if got := time.Since(backAt); got > maxDelay {
		t.Errorf("time until the link is back: got %s, want at most %s", got, maxDelay)
	}
}
