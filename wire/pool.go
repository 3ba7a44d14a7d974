package wire

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/target"
)

// Settings of pools; zero values mean the defaults.
type Settings struct {
	Protocol Protocol
	// DialTimeout bounds opening a connection. Default 1 s.
	DialTimeout time.Duration
	// ProofAge is how lately a connection must have been heard on to count as
	// proven. Default 100 ms.
	MaxReadAge time.Duration
	// IdleTimeout closes connections that carried nothing for so long. Default 20 s.
	IdleTimeout time.Duration
}

const (
	defaultDialTimeout = time.Second
	defaultProofAge    = 100 * time.Millisecond
	defaultIdleTimeout = 20 * time.Second
	// probeBytes is what one probe counts for in the measuring budget.
	probeBytes = 400
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Protocol == (Protocol{}) {
		s.Protocol = DefaultProtocol
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.MaxReadAge == 0 {
		s.MaxReadAge = defaultProofAge
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	return s
}

// Errors of Get.
var (
	// ErrFull says that the pool has as many connections as it may.
	ErrConnLimit = eris.New("the target has as many connections from this node as it may")
	// ErrBudget says that a new connection could not be verified within the
	// measuring budget.
	ErrProbeBudget = eris.New("the measuring budget is spent")
)

// Owner is told what connections teach about a target.
type Observer interface {
	// Verified hands over the report of a new connection's probe.
	ConnVerified(ref target.Ref, report target.Report)
	// Lost says that the last connection to a target ended from afar.
	LastConnLost(ref target.Ref)
}

// Pool holds the connections of one node to one target.
type Pool struct {
	Ref       target.Ref
	settings  Settings
	owner     Observer
	budget    *measuring.Budget
	probeCost time.Duration

	mu    sync.Mutex
	limit int
	idle  []*Conn
	all   map[*Conn]bool
	// dialling is how many connections are being opened.
	dialling int
	closed   bool
}

// NewPool returns an empty pool of at most limit connections.
func NewPool(ref target.Ref, s Settings, limit int, probeCost time.Duration, budget *measuring.Budget, owner Observer) *Pool {
	return &Pool{Ref: ref, settings: s.withDefaults(), owner: owner, budget: budget, probeCost: probeCost, limit: max(1, limit), all: map[*Conn]bool{}}
}

// SetLimit changes how many connections the pool may hold.
func (p *Pool) SetConnLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, n)
}

// Len is how many connections the pool holds, idle ones included.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// Get returns a connection: an idle one, or a new one that has been verified.
// With proven it is one that has just been heard on.
func (p *Pool) Get(ctx context.Context, proven bool) (c *Conn, err error) {
	if c := p.takeIdle(proven); c != nil {
		return c, nil
	}
	c, _, err = p.open(ctx)
	return c, err
}

// takeIdle returns the idle connection heard on last, or nil.
func (p *Pool) takeIdle(proven bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-p.settings.MaxReadAge)
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if proven && !c.heardSince(oldest) {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if !c.gone.Load() {
			return c
		}
	}
	return nil
}

// open opens a connection and verifies it with a probe.
func (p *Pool) open(ctx context.Context) (c *Conn, report target.Report, err error) {
	if err := p.reserve(); err != nil {
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
		return nil, report, eris.New("the pool is closed")
	}
	report, err = p.ask(ctx, c)
	if err != nil {
		p.put(c, false)
		return nil, report, eris.Wrapf(err, "verify a connection to %s", p.Ref.ID)
	}
	c.instance = report.Instance
	p.owner.ConnVerified(p.Ref, report)
	return c, report, nil
}

// reserve books room for a new connection and what its verification costs.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return eris.New("the pool is closed")
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

// evict closes the idle connection heard on longest ago, to make room. The lock
// must be held.
func (p *Pool) evict() bool {
	if len(p.idle) == 0 {
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	delete(p.all, c)
	c.close()
	return true
}

func (p *Pool) cost() measuring.Cost {
	return measuring.Cost{Messages: 1, Bytes: probeBytes, TargetTime: p.probeCost}
}

func (p *Pool) add(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.all[c] = true
	return true
}

// ask sends a probe over a connection.
func (p *Pool) ask(ctx context.Context, c *Conn) (r target.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + string(p.Ref.Address) + p.settings.Protocol.LoadPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return target.Report{}, err
	}
	resp, _, err := c.Send(req, nil)
	if err != nil {
		return target.Report{}, err
	}
	defer resp.Body.Close()
	if err := drain(resp.Body); err != nil {
		return target.Report{}, err
	}
	r = p.settings.Protocol.ParseReport(resp.Header)
	r.IsUnhealthy = resp.StatusCode >= http.StatusInternalServerError
	return r, nil
}

// Look asks the target for its load over the connection heard on last. If that
// stays silent for the patience although nothing was heard of the target lately,
// another connection is tried: the first may have gone silent for good.
func (p *Pool) QueryLoad(ctx context.Context, patience time.Duration) (r target.Report, err error) {
	if c := p.takeIdle(false); c != nil {
		once, cancel := context.WithTimeout(ctx, p.patience(c, patience))
		defer cancel()
		r, err = p.ask(once, c)
		p.put(c, err == nil)
		if err == nil || ctx.Err() != nil {
			return r, err
		}
	}
	c, r, err := p.open(ctx)
	if err != nil {
		return target.Report{}, err
	}
	p.put(c, true)
	return r, nil
}

// heardLately is how lately a connection must have been heard on to be trusted
// with a question that takes long.
const heardLately = time.Second

// patience is how long a question may take over a connection: as long as its
// context allows if the connection was heard on lately.
func (p *Pool) patience(c *Conn, least time.Duration) time.Duration {
	if c.heardSince(time.Now().Add(-heardLately)) {
		return probeTimeout
	}
	return least
}

// Probe asks the target for its load, within the measuring budget, over an idle
// connection or a new one.
func (p *Pool) Probe(ctx context.Context) (r target.Report, err error) {
	c := p.takeIdle(false)
	if c == nil {
		// Opening one brings the report along.
		c, r, err = p.open(ctx)
		if err != nil {
			return target.Report{}, err
		}
		p.put(c, true)
		return r, nil
	}
	if !p.budget.Spend(time.Now(), p.cost()) {
		p.put(c, true)
		return target.Report{}, ErrProbeBudget
	}
	r, err = p.ask(ctx, c)
	p.put(c, err == nil)
	return r, err
}

// put takes a connection back.
func (p *Pool) put(c *Conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reusable && !p.closed && !c.gone.Load() && len(p.all) <= p.limit {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		return
	}
	delete(p.all, c)
	c.close()
}

// forget drops a connection that ended from afar.
func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	if !p.all[c] {
		p.mu.Unlock()
		return
	}
	delete(p.all, c)
	p.idle = slices.DeleteFunc(p.idle, func(o *Conn) bool { return o == c })
	last := len(p.all) == 0 && !p.closed
	p.mu.Unlock()
	if last {
		p.owner.LastConnLost(p.Ref)
	}
}

// Distrust closes idle connections that have not been heard on since the given
// instant: one that was sent to then has gone silent, and what lost track of it
// may have lost track of them.
func (p *Pool) CloseUnresponsiveIdle(since time.Time) {
	p.closeIdle(func(c *Conn) bool { return !c.heardSince(since) })
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) CloseExpiredIdle(now time.Time) {
	p.closeIdle(func(c *Conn) bool { return now.Sub(c.idleSince) > p.settings.IdleTimeout })
}

func (p *Pool) closeIdle(which func(*Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if !which(c) {
			return false
		}
		delete(p.all, c)
		c.close()
		return true
	})
}

// Close closes the pool's idle connections; those in use end with their calls.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(func(*Conn) bool { return true })
}
