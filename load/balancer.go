package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// Endpoint is an entry node as balancer and callers see it.
type Endpoint struct {
	// Name identifies the node in accounts.
	Name string
	// Callers and Health are addresses such as "127.0.0.1:8080".
	CallerAddress, HealthAddress string
}

// Ready asks a node whether it wants work.
func (e Endpoint) IsReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.HealthAddress+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookEvery is how often a balancer looks at readiness.
const lookEvery = 300 * time.Millisecond

// Balancer sends to the nodes that were ready when it last looked. Its zero
// value has none.
type Balancer struct {
	mu    sync.Mutex
	nodes []Endpoint
	ready []Endpoint
	turn  int
}

// Set names the nodes to look at.
func (b *Balancer) SetNodes(nodes []Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append([]Endpoint(nil), nodes...)
}

// Nodes returns the nodes that are looked at.
func (b *Balancer) Nodes() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes
}

// Run looks at readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.CheckReadiness(ctx)
		pause.For(ctx, lookEvery)
	}
}

// lookTimeout bounds one look at one node, which may stand still.
const lookTimeout = 200 * time.Millisecond

// Look looks at readiness once.
func (b *Balancer) CheckReadiness(ctx context.Context) {
	var up []Endpoint
	for _, n := range b.Nodes() {
		look, cancel := context.WithTimeout(ctx, lookTimeout)
		if n.IsReady(look) {
			up = append(up, n)
		}
		cancel()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = up
}

// Pick returns the next ready node; ok is false if there is none.
func (b *Balancer) Pick() (e Endpoint, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Endpoint{}, false
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)], true
}
