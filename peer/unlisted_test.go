package peer

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// A link to an address that Addresses no longer returns is closed, and a new address
// is dialled on Wake without waiting for the next interval, here 1 h.
func TestUnlistedLinksAreClosed(t *testing.T) {
	_, _, a := startHub(t, 1, "")
	_, _, b := startHub(t, 2, "")
	var listed atomic.Value
	listed.Store(a)
	h := &Hub{
		Delegate: &fakeNode{self: 3}, Self: 3, Addresses: func() []vm.Address { return []vm.Address{listed.Load().(vm.Address)} },
		Settings: Settings{StateInterval: time.Hour, DialTimeout: time.Second, CloseUnlisted: true},
	}
	server := httptest.NewServer(h)
	ctx, cancel := context.WithCancel(context.Background())
	go h.Run(ctx)
	t.Cleanup(func() {
		cancel()
		h.Close()
		server.Close()
	})
	onlyLinkIsTo := func(want vm.Address) bool {
		links := h.Links()
		return len(links) == 1 && links[0].dialledAddress == want
	}
	waitFor(t, "a link to the first address", func() bool { return onlyLinkIsTo(a) })
	listed.Store(b)
	h.Wake()
	waitFor(t, "a link to the second address only", func() bool { return onlyLinkIsTo(b) })
}
