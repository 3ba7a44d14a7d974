package peer

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// A node that was cut off from all others has no link when it is back. It must not wait as
// long as one that has lost a single peer.
func TestNodeWithoutLinksDialsSoonAgain(t *testing.T) {
	const maxDelay = time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	h, _, _ := startHub(t, 1, "", vm.Address(address))
	time.Sleep(200 * time.Millisecond)
	accepting, _, _ := startHub(t, 2, "")
	if l, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: accepting}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	backAt := time.Now()
	waitFor(t, "a link", func() bool { return len(h.Links()) > 0 })
	if got := time.Since(backAt); got > maxDelay {
		t.Errorf("time until the link is back: got %s, want at most %s", got, maxDelay)
	}
}
