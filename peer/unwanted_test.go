package peer

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// Links to addresses that a hub no longer names end, and one that it names anew is
// dialled without waiting for the next round.
func TestUnwantedLinksEnd(t *testing.T) {
	_, _, a := newHub(t, 1, "")
	_, _, b := newHub(t, 2, "")
	var wanted atomic.Value
	wanted.Store(a)
	h := &Hub{
		Delegate: &fakeHost{self: 3}, Self: 3, Addresses: func() []vm.Address { return []vm.Address{wanted.Load().(vm.Address)} },
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
	leadsTo := func(want vm.Address) bool {
		links := h.Links()
		return len(links) == 1 && links[0].dialled == want
	}
	until(t, "a link to the first", func() bool { return leadsTo(a) })
	wanted.Store(b)
	h.Wake()
	until(t, "a link to the second alone", func() bool { return leadsTo(b) })
}
