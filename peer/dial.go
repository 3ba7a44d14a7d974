package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replyconn"
	"github.com/apricotmount/apricotmount/vm"
)

// dialMissing starts to dial as many addresses as links are missing, or all of them
// after SetDialAll. It does not wait for the links.
func (h *Hub) dialMissing(ctx context.Context, cfg Settings) {
	addresses := h.Addresses()
	h.mu.Lock()
	defer h.mu.Unlock()
	dialledAddresses := h.dialledAddressesLocked()
	missing := cfg.DialledCount - len(dialledAddresses) - len(h.dialing)
	if h.dialAll.Load() {
		missing = len(addresses)
	}
	if cfg.CloseUnlisted {
		h.closeUnlisted(addresses)
	}
	// Each node has its own order of preference, so that the links form one mesh of all
	// nodes.
	slices.SortFunc(addresses, func(a, b vm.Address) int { return cmp.Compare(h.dialPreference(a), h.dialPreference(b)) })
	now := time.Now()
	isIsolated := len(h.links) == 0
	for _, a := range addresses {
		if missing <= 0 {
			return
		}
		if dialledAddresses[a] || h.dialing[a] || h.ownAddresses[a] || !isIsolated && now.Before(h.redialAt[a]) {
			continue
		}
		h.dialing[a] = true
		missing--
		go h.dialAndServe(ctx, cfg, a)
	}
}

// closeUnlisted closes dialled links whose address is not in addresses.
// h.mu must be held.
func (h *Hub) closeUnlisted(addresses []vm.Address) {
	for _, l := range h.links {
		if l.dialledAddress != "" && !slices.Contains(addresses, l.dialledAddress) {
			l.setCloseReason("it is not wanted any more")
			go l.conn.CloseNow()
		}
	}
}

// dialledAddressesLocked returns the addresses of the links that this node dialled.
// h.mu must be held.
func (h *Hub) dialledAddressesLocked() map[vm.Address]bool {
	dialledAddresses := map[vm.Address]bool{}
	for _, l := range h.links {
		if l.dialledAddress != "" {
			dialledAddresses[l.dialledAddress] = true
		}
	}
	return dialledAddresses
}

// dialPreference returns the sort key by which this node chooses addresses: a hash
// that differs from node to node.
func (h *Hub) dialPreference(a vm.Address) uint64 {
	return xxhash.Sum64String(string(a) + strconv.FormatUint(uint64(h.Self), 16))
}

// dialAndServe opens a link to an address and serves it until it closes. After a
// failure the address is not dialled for 0.5 to 1.5 times redialDelay.
func (h *Hub) dialAndServe(ctx context.Context, cfg Settings, a vm.Address) {
	l, err := h.dialLink(ctx, cfg, a)
	h.mu.Lock()
	delete(h.dialing, a)
	if err != nil {
		h.redialAt[a] = time.Now().Add(redialDelay/2 + rand.N(redialDelay))
	}
	h.mu.Unlock()
	if err == nil {
		h.serve(ctx, l)
	}
}

// dialClient opens links. It keeps no connection: a link takes over its own.
var dialClient = newDialClient()

func newDialClient() *http.Client {
	transport := replyconn.NewTransport(replyconn.Settings{AllowUpgrade: true})
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

// dialLink opens a link to an address within DialTimeout.
func (h *Hub) dialLink(ctx context.Context, cfg Settings, a vm.Address) (l *Link, err error) {
	defer func() { err = eris.Wrapf(err, "open a link to %s", a) }()
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	header := http.Header{}
	if cfg.Token != "" {
		header.Set("Authorization", "Bearer "+cfg.Token)
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+string(a)+Path, &websocket.DialOptions{HTTPHeader: header, HTTPClient: dialClient})
	if err != nil {
		return nil, err
	}
	return h.newLink(conn, a), nil
}
