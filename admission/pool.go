package admission

import (
	"slices"
	"sync"

	"github.com/apricotmount/apricotmount/profile"
)

// DefaultCapacity is the default number of calls that a node holds, in flight
// and waiting.
const DefaultCapacity = 4096

// reserveDivisor sets the part of the pool, 1/reserveDivisor, that is split
// evenly among the gates as their reserves.
const reserveDivisor = 2

// Pool bounds the calls that all gates of a node hold together.
type Pool struct {
	capacity int

	mu    sync.Mutex
	held  int
	gates []*Gate
}

// NewPool returns a pool that holds at most the given number of calls. Zero
// means DefaultCapacity.
func NewPool(capacity int) *Pool {
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	return &Pool{capacity: capacity}
}

// AddGate adds a gate whose queue holds at most queueLimit calls.
func (p *Pool) AddGate(queueLimit int) *Gate {
	g := &Gate{pool: p, queueLimit: queueLimit, limit: initialLimit}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = append(p.gates, g)
	p.splitReserves()
	return g
}

// AddOpenGate adds a gate that only the pool limits, for a service whose calls wait in a
// Backlog instead.
func (p *Pool) AddOpenGate() *Gate {
	g := p.AddGate(0)
	g.limit = maxLimit
	return g
}

// RemoveGate removes the gate of a service that no longer exists. The calls
// that it holds, in flight and waiting, continue.
func (p *Pool) RemoveGate(g *Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = slices.DeleteFunc(p.gates, func(other *Gate) bool { return other == g })
	p.splitReserves()
}

// splitReserves divides the reserved part of the pool evenly among the gates.
// p.mu must be held.
func (p *Pool) splitReserves() {
	for _, g := range p.gates {
		g.reserve = max(1, p.capacity/reserveDivisor/len(p.gates))
	}
}

// HeldCount returns the number of calls that the pool holds, in flight and
// waiting.
func (p *Pool) HeldCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// acquire counts a call of a gate and reports whether there was room for it.
// When the pool is full, the call displaces a waiting call of another gate that
// holds more than its reserve: any call if g is within its own reserve,
// otherwise only a less urgent one.
func (p *Pool) acquire(g *Gate, u profile.Urgency) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held < p.capacity {
		p.held++
		g.held++
		return true
	}
	victim := p.displaceWaiting(g, u)
	if victim == nil {
		return false
	}
	victim.held--
	g.held++
	return true
}

// displaceWaiting refuses a waiting call of another gate and returns that gate,
// or nil if no call could be displaced. p.mu must be held.
func (p *Pool) displaceWaiting(g *Gate, u profile.Urgency) *Gate {
	// A gate within its reserve may displace calls of any urgency.
	withinReserve := g.held < g.reserve
	for _, other := range p.gates {
		if other == g || other.held <= other.reserve {
			continue
		}
		if other.displace(u, withinReserve) {
			return other
		}
	}
	return nil
}

// release stops counting a call of a gate.
func (p *Pool) release(g *Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	g.held--
}
