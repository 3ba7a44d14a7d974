package grants

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// maxUnused bounds the calls that a node gives back at once.
	maxUnused = 256
	// askTimeout is the time after which a datagram or its response counts as lost.
	askTimeout = 25 * time.Millisecond
	// askTries is the number of datagrams to one node for one call.
	askTries = 2
	// unreachableWait is the time to return for a call when no owner responds.
	unreachableWait = 200 * time.Millisecond
	// pingInterval is the least time between two pings of a deputy to the owner.
	pingInterval = 100 * time.Millisecond
)

// Settings holds what an Exchange uses of its node.
type Settings struct {
	Self vm.ID
	// Nodes returns the known nodes of the fleet, this one included. An ID is the address.
	Nodes func() []vm.VM
	// Limit returns the limit of a tenant in the configuration in force.
	Limit  func(name tenant.Name) quota.Limit
	Logger *zap.Logger
}

// Exchange grants the calls of the tenants that this node owns, and asks other nodes for
// those of the others.
type Exchange struct {
	settings Settings
	owned    buckets
	deputy   buckets
	silences silences
	conn     net.PacketConn

	mu       sync.Mutex
	accounts map[tenant.Name]*quota.Account
	waiting  map[uint64]chan message
	pingedAt map[vm.ID]time.Time
}

// NewExchange returns an exchange that is not started.
func NewExchange(s Settings) *Exchange {
	return &Exchange{settings: s, accounts: map[tenant.Name]*quota.Account{}, waiting: map[uint64]chan message{}, pingedAt: map[vm.ID]time.Time{}}
}

// Listen opens the port for datagrams.
func (x *Exchange) Listen(address vm.Address) (err error) {
	defer func() { err = eris.Wrap(err, "listen for grants") }()
	x.conn, err = net.ListenPacket("udp", string(address))
	return err
}

// Run handles datagrams until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { x.conn.Close() })()
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := x.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			continue
		}
		if m, ok := decode(buf[:n]); ok {
			x.handle(m, from)
		}
	}
}

// Acquire takes one call of a tenant's quota. If there is none, wait is the time after which
// it may return. isKnown is false if no owner responded.
func (x *Exchange) Acquire(ctx context.Context, name tenant.Name) (ok, isKnown bool, wait time.Duration) {
	limit := x.settings.Limit(name)
	if !limit.IsSet() {
		return true, true, 0
	}
	now := time.Now()
	x.mu.Lock()
	a := x.account(name)
	want := a.RecordCall(now)
	if a.Take(now) {
		x.mu.Unlock()
		return true, true, 0
	}
	if wait, isDenied := a.IsDenied(now); isDenied {
		x.mu.Unlock()
		return false, true, wait
	}
	unused := a.TakeUnused(now)
	x.mu.Unlock()
	granted, wait, isKnown := x.ask(ctx, name, want, unused, limit)
	x.mu.Lock()
	defer x.mu.Unlock()
	now = time.Now()
	if granted > 0 {
		a.Add(granted-1, now)
		return true, true, 0
	}
	if isKnown {
		a.Deny(wait, now)
	}
	return false, isKnown, wait
}

// Return gives back the quota of a call that was not run.
func (x *Exchange) Return(name tenant.Name) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.account(name).Return(time.Now())
}

// account returns the account of a tenant. x.mu must be held.
func (x *Exchange) account(name tenant.Name) *quota.Account {
	a := x.accounts[name]
	if a == nil {
		a = &quota.Account{}
		x.accounts[name] = a
	}
	return a
}

// ask gets calls from the owner or, if it is silent, from a deputy.
func (x *Exchange) ask(ctx context.Context, name tenant.Name, want, unused int, l quota.Limit) (granted int, wait time.Duration, isKnown bool) {
	for i, owner := range x.owners(name) {
		now := time.Now()
		if owner == x.settings.Self {
			return x.grant(name, want, unused, l, now)
		}
		if i < ownerCount-1 && x.silences.duration(owner, now) > 0 && rand.N(recheckShare) > 0 {
			continue
		}
		if m, ok := x.request(ctx, owner, message{Kind: kindAsk, Tenant: name, Count: want, Unused: unused}); ok && m.Kind == kindGrant {
			return m.Count, time.Duration(m.WaitMillis) * time.Millisecond, true
		}
	}
	return 0, unreachableWait, false
}

const (
	// ownerCount is the number of nodes that may grant a tenant's calls: the owner and two
	// deputies.
	ownerCount = 3
	// recheckShare is one in how many calls asks a silent node whether it is back.
	recheckShare = 4
)

// owners returns the owner of a tenant and its deputies, by rendezvous hashing over the nodes
// that have not begun a planned stop.
func (x *Exchange) owners(name tenant.Name) []vm.ID {
	type ranked struct {
		id   vm.ID
		rank uint64
	}
	var best [ownerCount]ranked
	for _, n := range x.settings.Nodes() {
		if n.State == vm.StateLeaving {
			continue
		}
		r := ranked{n.ID, xxhash.Sum64String(string(n.ID) + "/" + string(name))}
		for i := range best {
			if r.rank > best[i].rank {
				best[i], r = r, best[i]
			}
		}
	}
	var ids []vm.ID
	for _, r := range best {
		if r.id != "" {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// grant grants calls of a tenant. As a deputy it first finds out whether the nodes that come
// before it are silent. isOwner is false if this node is none of the owners by its own view.
func (x *Exchange) grant(name tenant.Name, n, unused int, l quota.Limit, now time.Time) (granted int, wait time.Duration, isOwner bool) {
	owners := x.owners(name)
	rank := slices.Index(owners, x.settings.Self)
	if rank < 0 {
		return 0, 0, false
	}
	if rank == 0 {
		granted, wait = x.owned.take(name, n, unused, l, now)
		return granted, wait, true
	}
	silentFor := takeoverDelay
	for _, before := range owners[:rank] {
		x.ping(before, now)
		silentFor = min(silentFor, x.silences.duration(before, now))
	}
	granted, wait = x.deputy.take(name, n, 0, deputyLimit(l, silentFor), now)
	return granted, wait, true
}

// ping checks whether a node responds, at most once each pingInterval.
func (x *Exchange) ping(id vm.ID, now time.Time) {
	x.mu.Lock()
	isDue := now.Sub(x.pingedAt[id]) >= pingInterval
	if isDue {
		x.pingedAt[id] = now
	}
	x.mu.Unlock()
	if isDue {
		go x.request(context.Background(), id, message{Kind: kindPing})
	}
}

// request sends a datagram to a node, again if there is no response, and returns the response.
func (x *Exchange) request(ctx context.Context, to vm.ID, m message) (response message, ok bool) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return message{}, false
	}
	m.Nonce = rand.Uint64()
	responses := make(chan message, 1)
	x.mu.Lock()
	x.waiting[m.Nonce] = responses
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.waiting, m.Nonce)
		x.mu.Unlock()
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for range askTries {
		// A datagram that cannot be sent is as good as lost.
		_, _ = x.conn.WriteTo(m.encode(), net.UDPAddrFromAddrPort(address))
		timer.Reset(askTimeout)
		select {
		case response := <-responses:
			x.silences.record(to, true, time.Now())
			return response, true
		case <-ctx.Done():
			return message{}, false
		case <-timer.C:
			if x.silences.record(to, false, time.Now()) {
				event.QuotaOwnerSilent.Log(x.settings.Logger, zap.String("peer", string(to)))
			}
		}
	}
	return message{}, false
}

// handle handles a datagram.
func (x *Exchange) handle(m message, from net.Addr) {
	if m.Kind == kindGrant || m.Kind == kindPong {
		x.mu.Lock()
		responses := x.waiting[m.Nonce]
		delete(x.waiting, m.Nonce)
		x.mu.Unlock()
		if responses != nil {
			responses <- m
		}
		return
	}
	if !x.isMember(from) {
		return
	}
	response := message{Kind: kindPong, Nonce: m.Nonce}
	switch m.Kind {
	case kindPing:
	case kindAsk:
		l := x.settings.Limit(m.Tenant)
		if !l.IsSet() || m.Count <= 0 || m.Unused < 0 || m.Unused > maxUnused {
			return
		}
		if granted, wait, isOwner := x.grant(m.Tenant, m.Count, m.Unused, l, time.Now()); isOwner {
			response = message{Kind: kindGrant, Nonce: m.Nonce, Count: granted, WaitMillis: peer.Milliseconds(wait)}
		}
	default:
		return
	}
	_, _ = x.conn.WriteTo(response.encode(), from)
}

// isMember reports whether a datagram comes from a node of the fleet.
func (x *Exchange) isMember(from net.Addr) bool {
	text := from.String()
	return slices.ContainsFunc(x.settings.Nodes(), func(v vm.VM) bool { return cmp.Compare(string(v.Address), text) == 0 })
}
