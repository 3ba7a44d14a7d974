package wire

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/target"
)

// Settings configures a Pool; zero values mean the defaults.
type Settings struct {
	Protocol Protocol
	// DialTimeout limits the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// MaxReadAge is the maximum time since data was last received on an idle
	// connection for it to be used by a call that requires a recent read.
	// Default 100 ms.
	MaxReadAge time.Duration
	// RequireRecentRead makes every call require a recent read, so that a connection that
	// went silent is not used again.
	RequireRecentRead bool
	// RequireInstance rejects a connection whose probe names no instance: whoever responds
	// does not know the protocol.
	RequireInstance bool
	// IdleTimeout is the time after which an idle connection is closed. Default
	// 20 s.
	IdleTimeout time.Duration
	// MaxResponseLines is the maximum number of header lines of a response. Each takes memory of
	// its own, many times its bytes if it is short. Default DefaultResponseLines.
	MaxResponseLines int
}

// DefaultResponseLines is the default of Settings.MaxResponseLines.
const DefaultResponseLines = 256

const (
	defaultDialTimeout = time.Second
	defaultMaxReadAge  = 100 * time.Millisecond
	defaultIdleTimeout = 20 * time.Second
	// probeBytes is the cost of one probe in the probe budget, in bytes.
	probeBytes = 400
	// probeTimeout limits the time of one probe or load query.
	probeTimeout = time.Second
)

func (s Settings) withDefaults() Settings {
	s.MaxResponseLines = cmp.Or(s.MaxResponseLines, DefaultResponseLines)
	if s.Protocol == (Protocol{}) {
		s.Protocol = DefaultProtocol
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.MaxReadAge == 0 {
		s.MaxReadAge = defaultMaxReadAge
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	return s
}

// Errors returned by Pool methods that need a connection.
var (
	// ErrConnLimit is returned if the pool has reached its connection limit.
	ErrConnLimit = eris.New("the connection limit to the target is reached")
	// ErrProbeBudget is returned if the probe budget does not allow a probe, which
	// each new connection needs.
	ErrProbeBudget = eris.New("the probe budget is exhausted")

	errNoInstance = eris.New("the response to the probe names no instance")
	errPoolClosed = eris.New("the pool is closed")
)

// Observer is notified of load reports and lost connections of a target.
type Observer interface {
	// ConnVerified is called with the report of the probe that verified a new
	// connection.
	ConnVerified(ref target.Ref, report target.Report)
	// LastConnLost is called when the last connection to a target was closed by the
	// target or failed.
	LastConnLost(ref target.Ref)
}

// Pool holds the connections from one node to one target.
type Pool struct {
	Ref      target.Ref
	settings Settings
	observer Observer
	budget   *measuring.Budget
	// probeTargetTime is the target time that one probe costs in the probe budget.
	probeTargetTime time.Duration

	mu    sync.Mutex
	limit int
	idle  []*Conn
	all   map[*Conn]bool
	// dialling is the number of connections being opened or verified.
	dialling int
	isClosed bool
	// endCheck is the open check whether the process has ended; nil if there is none.
	endCheck *endCheck
}

// NewPool returns an empty pool of at most limit connections, at least one.
func NewPool(ref target.Ref, s Settings, limit int, probeTargetTime time.Duration, budget *measuring.Budget, observer Observer) *Pool {
	return &Pool{Ref: ref, settings: s.withDefaults(), observer: observer, budget: budget, probeTargetTime: probeTargetTime, limit: max(1, limit), all: map[*Conn]bool{}}
}

// SetConnLimit changes the maximum number of connections, at least one.
func (p *Pool) SetConnLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, n)
}

// ConnCount returns the number of connections, including idle ones.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// Get returns an idle connection other than those in avoid, or opens a new one. With
// requireRecentRead, an idle connection is used only if data was received on it within
// Settings.MaxReadAge; a new one has just received the response to its probe.
func (p *Pool) Get(ctx context.Context, requireRecentRead bool, avoid []*Conn) (c *Conn, err error) {
	if c := p.takeIdle(requireRecentRead || p.settings.RequireRecentRead, avoid); c != nil {
		return c, nil
	}
	c, _, err = p.open(ctx)
	return c, err
}

// takeIdle returns the most recently released idle connection that is not in avoid, or
// nil if there is none or, with requireRecentRead, if it received no data within
// Settings.MaxReadAge.
func (p *Pool) takeIdle(requireRecentRead bool, avoid []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	minReadAt := time.Now().Add(-p.settings.MaxReadAge)
	for i, c := range slices.Backward(p.idle) {
		if slices.Contains(avoid, c) {
			continue
		}
		if requireRecentRead && !c.receivedSince(minReadAt) {
			return nil
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		switch {
		case c.isClosed.Load():
		case c.netConn.exchange.isEnded():
			p.discard(c)
		default:
			return c
		}
	}
	return nil
}

// open opens a connection and verifies it with a probe.
func (p *Pool) open(ctx context.Context) (c *Conn, report target.Report, err error) {
	if err := p.reserveConn(); err != nil {
		return nil, report, err
	}
	defer func() {
		p.mu.Lock()
		p.dialling--
		p.mu.Unlock()
	}()
	dialCtx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", string(p.Ref.Address))
	if err != nil {
		return nil, report, eris.Wrapf(err, "connect to %s", p.Ref.ID)
	}
	c = newConn(p, nc)
	if !p.add(c) {
		c.close()
		return nil, report, errPoolClosed
	}
	report, err = p.sendProbe(ctx, c)
	if err == nil && p.settings.RequireInstance && report.Instance == "" {
		err = errNoInstance
	}
	if err != nil {
		p.put(c, false)
		return nil, report, eris.Wrapf(err, "verify a connection to %s", p.Ref.ID)
	}
	c.instance = report.Instance
	p.observer.ConnVerified(p.Ref, report)
	return c, report, nil
}

// reserveConn makes sure that the pool may open one more connection, evicting an
// idle one if necessary, and spends the cost of its probe.
func (p *Pool) reserveConn() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return errPoolClosed
	}
	if len(p.all)+p.dialling >= p.limit && !p.evict() {
		return ErrConnLimit
	}
	if !p.budget.Spend(time.Now(), p.cost()) {
		return ErrProbeBudget
	}
	p.dialling++
	return nil
}

// evict closes the least recently released idle connection to make room for a new
// one. It reports whether there was one to close. p.mu must be held.
func (p *Pool) evict() bool {
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.discard(c)
	return true
}

// cost returns the cost of one probe in the probe budget.
func (p *Pool) cost() measuring.Cost {
	return measuring.Cost{Messages: 1, Bytes: probeBytes, TargetTime: p.probeTargetTime}
}

// add adds a new connection to the pool; it returns false if the pool is closed.
func (p *Pool) add(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return false
	}
	p.all[c] = true
	return true
}

// put returns a connection to the pool, or closes it if it cannot be reused.
func (p *Pool) put(c *Conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !p.isClosed && c.isReusable() && len(p.all) <= p.limit {
		c.netConn.exchange.finish()
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		return
	}
	p.discard(c)
}

// discard removes and closes a connection. p.mu must be held.
func (p *Pool) discard(c *Conn) {
	delete(p.all, c)
	c.close()
}

// removeFailed removes a connection that was closed by the target or failed, and
// notifies the observer if it was the last one.
func (p *Pool) removeFailed(c *Conn) {
	p.mu.Lock()
	if !p.all[c] {
		p.mu.Unlock()
		return
	}
	delete(p.all, c)
	p.idle = slices.DeleteFunc(p.idle, func(other *Conn) bool { return other == c })
	wasLast := len(p.all) == 0 && !p.isClosed
	p.mu.Unlock()
	if wasLast {
		p.observer.LastConnLost(p.Ref)
	}
}

// CloseUnresponsiveIdle closes idle connections on which nothing was received since
// the given time. It is used after a request sent at that time got no response: the
// fault that made its connection unresponsive may affect the others too.
func (p *Pool) CloseUnresponsiveIdle(since time.Time) {
	p.closeIdle(func(c *Conn) bool { return !c.receivedSince(since) })
}

// CloseExpiredIdle closes connections that have been idle for longer than
// Settings.IdleTimeout.
func (p *Pool) CloseExpiredIdle(now time.Time) {
	p.closeIdle(func(c *Conn) bool { return now.Sub(c.idleSince) > p.settings.IdleTimeout })
}

// closeIdle closes the idle connections for which shouldClose returns true.
func (p *Pool) closeIdle(shouldClose func(*Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if !shouldClose(c) {
			return false
		}
		p.discard(c)
		return true
	})
}

// Close closes the pool and its idle connections; connections in use are closed
// when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.closeIdle(func(*Conn) bool { return true })
}
