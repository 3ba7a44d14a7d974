package peer

import (
	"cmp"
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/vm"
)

// Path is where peers open links.
const Path = "/peer"

// Host is the node that a hub serves.
type Delegate interface {
	// State returns what to tell a peer in turn.
	State() Message
	// Receive takes a message; it must return soon.
	Receive(l *Link, m Message)
	// LinkUp and LinkDown tell of links.
	LinkUp(l *Link)
	LinkDown(l *Link)
	// Refused tells of someone without the token.
	PeerRefused(remote string)
}

// Settings of a Hub; zero values mean the defaults.
type Settings struct {
	// Token is what peers must show; empty means that none is asked for.
	Token string
	// Dialled is how many links the node keeps open itself. Default 3.
	DialledCount int
	// MaxLinks bounds all links. Default 32.
	MaxLinks int
	// Tick is how often one link gets the node's state. Default 1 s.
	StateInterval time.Duration
	// DialTimeout bounds opening a link. Default 2 s.
	DialTimeout time.Duration
	// Silence is how long a link may say nothing before it is closed; each side
	// says something about three times within it. Default 8 s.
	IdleTimeout time.Duration
	// EndUnwanted ends links to addresses that are not among the hub's any more,
	// where each link has its price.
	CloseUnlisted bool
}

const (
	defaultDialled     = 3
	defaultMaxLinks    = 32
	defaultTick        = time.Second
	defaultDialTimeout = 2 * time.Second
	defaultSilence     = 8 * time.Second
	// keepAliveShare is the part of the silence after which a link says
	// something at least, as a divisor.
	keepAliveShare = 3
	// redialWait is how long an address that could not be reached is left alone.
	redialWait = 3 * time.Second
)

func (s Settings) withDefaults() Settings {
	s.DialledCount = cmp.Or(s.DialledCount, defaultDialled)
	s.MaxLinks = cmp.Or(s.MaxLinks, defaultMaxLinks)
	s.StateInterval = cmp.Or(s.StateInterval, defaultTick)
	s.DialTimeout = cmp.Or(s.DialTimeout, defaultDialTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, defaultSilence)
	return s
}

// Traffic counts a hub's messages.
type Traffic struct {
	SentMessages, SentBytes, ReceivedBytes, DroppedMessages int64
}

// Hub keeps the links of one node.
type Hub struct {
	Delegate Delegate
	Self     member.Incarnation
	Settings Settings
	// Addresses returns where peers may be, this node's own address excluded.
	Addresses func() []vm.Address

	sent, received, messages, dropped atomic.Int64
	dialAll                           atomic.Bool

	mu      sync.Mutex
	links   []*Link
	dialing map[vm.Address]bool
	later   map[vm.Address]time.Time
	own     map[vm.Address]bool
	turn    int
	wake    chan struct{}
}

// Traffic returns what the hub has sent and received.
func (h *Hub) Traffic() Traffic {
	return Traffic{SentMessages: h.messages.Load(), SentBytes: h.sent.Load(), ReceivedBytes: h.received.Load(), DroppedMessages: h.dropped.Load()}
}

// Run keeps links open and tells them the node's state until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	cfg := h.Settings.withDefaults()
	h.mu.Lock()
	h.dialing, h.later, h.own = map[vm.Address]bool{}, map[vm.Address]time.Time{}, map[vm.Address]bool{}
	h.mu.Unlock()
	for ctx.Err() == nil {
		h.dialMissing(ctx, cfg)
		h.tellNext()
		// The jitter keeps nodes that started together apart.
		h.sleep(ctx, pause.Jitter(cfg.StateInterval))
	}
}

// tellNext sends the node's state to the link whose turn it is.
func (h *Hub) tellNext() {
	h.mu.Lock()
	var l *Link
	if len(h.links) > 0 {
		h.turn = (h.turn + 1) % len(h.links)
		l = h.links[h.turn]
	}
	h.mu.Unlock()
	if l != nil {
		l.Send(h.Delegate.State())
	}
}

// Broadcast sends a message on all links but one.
func (h *Hub) Broadcast(m Message, except *Link) {
	h.BroadcastTo(m, func(l *Link) bool { return l != except })
}

// BroadcastTo sends a message on the links that are wanted.
func (h *Hub) BroadcastTo(m Message, wanted func(l *Link) bool) {
	links := h.Links()
	for _, part := range m.Split() {
		b := part.Encode()
		for _, l := range links {
			if wanted(l) {
				l.sendBytes(b)
			}
		}
	}
}

// SetDialAll makes the hub keep a link to every address, or to a few again.
func (h *Hub) SetDialAll(all bool) {
	h.dialAll.Store(all)
}

// Links returns the open links.
func (h *Hub) Links() []*Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.links)
}

// To returns the link to a member, or nil.
func (h *Hub) LinkTo(i member.Incarnation) *Link {
	for _, l := range h.Links() {
		if l.PeerIncarnation() == i {
			return l
		}
	}
	return nil
}

// dialMissing opens links until as many are dialled as should be.
func (h *Hub) dialMissing(ctx context.Context, cfg Settings) {
	addresses := h.Addresses()
	h.mu.Lock()
	defer h.mu.Unlock()
	linked := h.dialledLocked()
	missing := cfg.DialledCount - len(linked) - len(h.dialing)
	if h.dialAll.Load() {
		missing = len(addresses)
	}
	if cfg.CloseUnlisted {
		h.endUnwanted(addresses)
	}
	// Each node prefers other peers, so that the links form one mesh.
	slices.SortFunc(addresses, func(a, b vm.Address) int { return cmp.Compare(h.preference(a), h.preference(b)) })
	now := time.Now()
	for _, a := range addresses {
		if missing <= 0 {
			return
		}
		if linked[a] || h.dialing[a] || h.own[a] || now.Before(h.later[a]) {
			continue
		}
		h.dialing[a] = true
		missing--
		go h.dial(ctx, cfg, a)
	}
}

// endUnwanted ends dialled links to addresses that are not wanted any more. The
// lock must be held.
func (h *Hub) endUnwanted(addresses []vm.Address) {
	for _, l := range h.links {
		if l.dialled != "" && !slices.Contains(addresses, l.dialled) {
			l.end("it is not wanted any more")
			go l.conn.CloseNow()
		}
	}
}

func (h *Hub) dialledLocked() map[vm.Address]bool {
	linked := map[vm.Address]bool{}
	for _, l := range h.links {
		if l.dialled != "" {
			linked[l.dialled] = true
		}
	}
	return linked
}

func (h *Hub) preference(a vm.Address) uint64 {
	return xxhash.Sum64String(string(a) + strconv.FormatUint(uint64(h.Self), 16))
}

func (h *Hub) dial(ctx context.Context, cfg Settings, a vm.Address) {
	l, err := h.open(ctx, cfg, a)
	h.mu.Lock()
	delete(h.dialing, a)
	if err != nil {
		h.later[a] = time.Now().Add(redialWait/2 + rand.N(redialWait))
	}
	h.mu.Unlock()
	if err == nil {
		h.serve(ctx, l)
	}
}

func (h *Hub) open(ctx context.Context, cfg Settings, a vm.Address) (l *Link, err error) {
	defer func() { err = eris.Wrapf(err, "open a link to %s", a) }()
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	header := http.Header{}
	if cfg.Token != "" {
		header.Set("Authorization", "Bearer "+cfg.Token)
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+string(a)+Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	return h.newLink(conn, a), nil
}

func (h *Hub) newLink(conn *websocket.Conn, dialled vm.Address) *Link {
	return &Link{hub: h, conn: conn, dialled: dialled, outbox: make(chan []byte, outboxLength)}
}

// ServeHTTP takes a link that a peer dialled.
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
	// The request's own context ends when the connection is taken over.
	h.serve(context.WithoutCancel(r.Context()), h.newLink(conn, ""))
}

func authorised(r *http.Request, token string) bool {
	if token == "" {
		return true
	}
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+token)) == 1
}

// serve runs a link and keeps it in the list while it lasts.
func (h *Hub) serve(ctx context.Context, l *Link) {
	h.mu.Lock()
	h.links = append(h.links, l)
	h.mu.Unlock()
	h.Delegate.LinkUp(l)
	l.run(ctx)
	h.mu.Lock()
	h.links = slices.DeleteFunc(h.links, func(o *Link) bool { return o == l })
	if l.dialled != "" {
		h.later[l.dialled] = time.Now().Add(rand.N(redialWait))
	}
	h.mu.Unlock()
	h.Delegate.LinkDown(l)
}

// noteOwn remembers an address that led back to this node.
func (h *Hub) noteOwn(a vm.Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a != "" {
		h.own[a] = true
	}
}

// Close ends all links.
func (h *Hub) Close() {
	for _, l := range h.Links() {
		l.conn.CloseNow()
	}
}

// sleep waits until the time is over, ctx ends or the hub is woken.
func (h *Hub) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.woken():
	}
}

// Wake makes the hub look at once for links that are missing.
func (h *Hub) Wake() {
	select {
	case h.woken() <- struct{}{}:
	default:
	}
}

func (h *Hub) woken() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wake == nil {
		h.wake = make(chan struct{}, 1)
	}
	return h.wake
}
