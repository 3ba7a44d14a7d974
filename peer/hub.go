package peer

import (
	"cmp"
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/vm"
)

// Path is the HTTP path at which peers open links.
const Path = "/peer"

// Delegate is the node to which a hub belongs. The hub calls its methods from several
// goroutines.
type Delegate interface {
	// State returns the message with the node's state that each new link gets at once
	// and the links get periodically in rotation.
	State() Message
	// Receive handles a message; it must not block, as the link reads no further
	// message before it returns.
	Receive(l *Link, m Message)
	// LinkUp and LinkDown are called when a link opens and after it has closed.
	LinkUp(l *Link)
	LinkDown(l *Link)
	// PeerRefused is called when a connection attempt from the remote address has no
	// valid token.
	PeerRefused(remote string)
}

// Settings configures a Hub; zero values mean the defaults.
type Settings struct {
	// Token is the bearer token that peers must send; empty accepts every peer.
	Token string
	// DialledCount is the number of links that the node dials and keeps open. Default 3.
	DialledCount int
	// MaxLinks is the total number of dialled and accepted links at which the node
	// rejects further links of peers. It does not limit dialling. Default 32.
	MaxLinks int
	// StateInterval is the mean interval at which one link gets the node's state and
	// missing links are dialled. Default 1 s.
	StateInterval time.Duration
	// DialTimeout limits the time to open a link. Default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which a link that has received no message is closed.
	// A side with nothing else to send sends an empty message up to three times within
	// it. Default 8 s.
	IdleTimeout time.Duration
	// CloseUnlisted closes dialled links to addresses that Hub.Addresses no longer
	// returns, for deployments in which each link has a cost.
	CloseUnlisted bool
}

const (
	defaultDialledCount  = 3
	defaultMaxLinks      = 32
	defaultStateInterval = time.Second
	defaultDialTimeout   = 2 * time.Second
	defaultIdleTimeout   = 8 * time.Second
	// keepAliveDivisor divides the idle timeout to give the keep-alive interval, after
	// which a link that sent nothing sends an empty message.
	keepAliveDivisor = 3
	// redialDelay is the base of the randomised delay before an address is dialled
	// again after a failure or a closed link.
	redialDelay = 3 * time.Second
	// isolatedDialInterval is the time between two rounds of dialling by a node without
	// any link, which leaves no address out.
	isolatedDialInterval = 700 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	s.DialledCount = cmp.Or(s.DialledCount, defaultDialledCount)
	s.MaxLinks = cmp.Or(s.MaxLinks, defaultMaxLinks)
	s.StateInterval = cmp.Or(s.StateInterval, defaultStateInterval)
	s.DialTimeout = cmp.Or(s.DialTimeout, defaultDialTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, defaultIdleTimeout)
	return s
}

// Traffic has the counters of a hub since its start: messages sent, bytes sent and
// received, and messages dropped because a send queue was full.
type Traffic struct {
	SentMessages, SentBytes, ReceivedBytes, DroppedMessages int64
}

// Hub maintains the links of one node. Set the exported fields before Run or
// ServeHTTP; the methods are safe for concurrent use.
type Hub struct {
	Delegate Delegate
	Self     member.Incarnation
	Settings Settings
	// Addresses returns the addresses of possible peers, without the node's own. The
	// hub sorts the slice in place.
	Addresses func() []vm.Address

	sentBytes, receivedBytes, sentMessages, droppedMessages atomic.Int64
	dialAll                                                 atomic.Bool

	mu           sync.Mutex
	links        []*Link
	dialing      map[vm.Address]bool      // addresses that are being dialled
	redialAt     map[vm.Address]time.Time // the earliest time of the next attempt
	ownAddresses map[vm.Address]bool      // addresses that lead to this node
	stateIndex   int                      // index in links of the link that got the last state
	wakeSignal   chan struct{}
}

// Traffic returns the current counters.
func (h *Hub) Traffic() Traffic {
	return Traffic{SentMessages: h.sentMessages.Load(), SentBytes: h.sentBytes.Load(), ReceivedBytes: h.receivedBytes.Load(), DroppedMessages: h.droppedMessages.Load()}
}

// Run keeps links open and sends them the node's state until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	cfg := h.Settings.withDefaults()
	h.mu.Lock()
	h.dialing, h.redialAt, h.ownAddresses = map[vm.Address]bool{}, map[vm.Address]time.Time{}, map[vm.Address]bool{}
	h.mu.Unlock()
	for ctx.Err() == nil {
		h.dialMissing(ctx, cfg)
		h.sendStateToNext()
		// The jitter spreads the sends of nodes that started at the same time.
		h.sleep(ctx, pause.Jitter(h.roundInterval(cfg)))
	}
}

// roundInterval returns the mean time until the next round.
func (h *Hub) roundInterval(cfg Settings) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.links) == 0 {
		return min(isolatedDialInterval, cfg.StateInterval)
	}
	return cfg.StateInterval
}

// sendStateToNext sends the node's state to the next link in rotation.
func (h *Hub) sendStateToNext() {
	h.mu.Lock()
	var l *Link
	if len(h.links) > 0 {
		h.stateIndex = (h.stateIndex + 1) % len(h.links)
		l = h.links[h.stateIndex]
	}
	h.mu.Unlock()
	if l != nil {
		l.Send(h.Delegate.State())
	}
}

// Broadcast sends a message on all links but except, which may be nil.
func (h *Hub) Broadcast(m Message, except *Link) {
	h.BroadcastTo(m, func(l *Link) bool { return l != except })
}

// BroadcastTo sends a message on the links for which include returns true.
func (h *Hub) BroadcastTo(m Message, include func(l *Link) bool) {
	links := h.Links()
	for _, part := range m.Split() {
		b := part.Encode()
		for _, l := range links {
			if include(l) {
				l.sendBytes(b)
			}
		}
	}
}

// SetDialAll sets whether the hub dials every address instead of only as many as
// Settings.DialledCount. It closes no links.
func (h *Hub) SetDialAll(all bool) {
	h.dialAll.Store(all)
}

// Links returns a copy of the list of open links.
func (h *Hub) Links() []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.links)
}

// LinkTo returns the link to the member with incarnation i, or nil.
func (h *Hub) LinkTo(i member.Incarnation) *Link {
	for _, l := range h.Links() {
		if l.PeerIncarnation() == i {
			return l
		}
	}
	return nil
}

func (h *Hub) newLink(conn *websocket.Conn, dialledAddress vm.Address) *Link {
	return &Link{hub: h, conn: conn, dialledAddress: dialledAddress, sendQueue: make(chan []byte, sendQueueLength)}
}

// ServeHTTP accepts a link that a peer dials and serves it until it closes. It
// responds with 401 if the token is wrong and with 503 at MaxLinks.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cfg := h.Settings.withDefaults()
	if !authorised(r, cfg.Token) {
		h.Delegate.PeerRefused(r.RemoteAddr)
		http.Error(w, "the peers' token is missing or wrong", http.StatusUnauthorized)
		return
	}
	if len(h.Links()) >= cfg.MaxLinks {
		http.Error(w, "this node has enough links", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	// The context of the request ends when the connection is hijacked.
	h.serve(context.WithoutCancel(r.Context()), h.newLink(conn, ""))
}

// authorised reports whether the request has the bearer token, which it compares in
// constant time. An empty token authorises every request.
func authorised(r *http.Request, token string) bool {
	if token == "" {
		return true
	}
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+token)) == 1
}

// serve runs a link and lists it in h.links until it closes. The address of a dialled
// link is then not dialled for up to redialDelay.
func (h *Hub) serve(ctx context.Context, l *Link) {
	h.mu.Lock()
	h.links = append(h.links, l)
	h.mu.Unlock()
	h.Delegate.LinkUp(l)
	l.run(ctx)
	h.mu.Lock()
	h.links = slices.DeleteFunc(h.links, func(o *Link) bool { return o == l })
	if l.dialledAddress != "" {
		h.redialAt[l.dialledAddress] = time.Now().Add(rand.N(redialDelay))
	}
	h.mu.Unlock()
	h.Delegate.LinkDown(l)
}

// addOwnAddress records that an address leads to this node, so that it is not dialled
// again. The empty address of an accepted link is ignored.
func (h *Hub) addOwnAddress(a vm.Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a != "" {
		h.ownAddresses[a] = true
	}
}

// Close closes all links without a closing handshake.
func (h *Hub) Close() {
	for _, l := range h.Links() {
		l.conn.CloseNow()
	}
}

// sleep waits until d has passed, ctx ends or Wake is called.
func (h *Hub) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.wakeChannel():
	}
}

// Wake makes Run dial missing links at once instead of at its next interval.
func (h *Hub) Wake() {
	select {
	case h.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that Wake signals. It is created on first use, as
// Wake may be called before Run.
func (h *Hub) wakeChannel() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wakeSignal == nil {
		h.wakeSignal = make(chan struct{}, 1)
	}
	return h.wakeSignal
}
