package admission

import (
	"slices"
	"sync"

	"github.com/apricotmount/apricotmount/profile"
)

// DefaultCapacity is how many calls a node holds, open and waiting.
const DefaultCapacity = 4096

// reserveShare is the part of the pool that is split evenly among the gates as
// their reserves, as a divisor.
const reserveShare = 2

// Pool bounds what all gates of a node hold together.
type Pool struct {
	capacity int

	mu    sync.Mutex
	held  int
	gates []*Gate
}

// NewPool returns a pool that holds at most the given number of calls; zero
// means DefaultCapacity.
func NewPool(capacity int) *Pool {
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	return &Pool{capacity: capacity}
}

// Gate adds a gate whose queue holds at most length calls.
func (p *Pool) Gate(length int) *Gate {
	g := &Gate{pool: p, length: length, limit: initialLimit}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = append(p.gates, g)
	p.share()
	return g
}

// Remove takes away the gate of a service that is gone; its calls run on.
func (p *Pool) Remove(g *Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = slices.DeleteFunc(p.gates, func(o *Gate) bool { return o == g })
	p.share()
}

// share splits the reserves evenly. The lock must be held.
func (p *Pool) share() {
	for _, g := range p.gates {
		g.reserved = max(1, p.capacity/reserveShare/len(p.gates))
	}
}

// Held is how many calls the pool holds.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// hold takes a place for a call of a gate. When the pool is full a call within
// its gate's reserve, or a more urgent one, displaces the least urgent waiting
// call of a gate beyond its reserve.
func (p *Pool) hold(g *Gate, u profile.Urgency) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held < p.capacity {
		p.held++
		g.held++
		return true
	}
	victim := p.displace(g, u)
	if victim == nil {
		return false
	}
	victim.held--
	g.held++
	return true
}

// displace finds a gate whose waiting call gave way. The lock must be held.
func (p *Pool) displace(g *Gate, u profile.Urgency) *Gate {
	// Within its reserve a call makes any call beyond another's reserve give way.
	within := g.held < g.reserved
	for _, other := range p.gates {
		if other == g || other.held <= other.reserved {
			continue
		}
		if other.displace(u, within) {
			return other
		}
	}
	return nil
}

// drop gives a place back.
func (p *Pool) drop(g *Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	g.held--
}
