package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/replyconn"
)

// Endpoint holds the addresses of an entry node for balancer and callers.
type Endpoint struct {
	// Name identifies the node in call records.
	Name string
	// CallerAddress and HealthAddress are addresses such as "127.0.0.1:8080".
	CallerAddress, HealthAddress string
}

// IsReady reports whether the node's readiness endpoint returns 200.
func (e Endpoint) IsReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.HealthAddress+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := replyconn.Client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readinessInterval is the pause between two readiness checks of a balancer.
const readinessInterval = 300 * time.Millisecond

// Balancer picks round robin among the nodes that were ready at its last
// readiness check. The zero value has no nodes.
type Balancer struct {
	mu    sync.Mutex
	nodes []Endpoint
	ready []Endpoint
	next  int
}

// SetNodes replaces the nodes to check.
func (b *Balancer) SetNodes(nodes []Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append([]Endpoint(nil), nodes...)
}

// Nodes returns the nodes that are checked.
func (b *Balancer) Nodes() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes
}

// Run checks readiness periodically until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.CheckReadiness(ctx)
		pause.For(ctx, readinessInterval)
	}
}

// readinessTimeout is the timeout of one readiness request. Without it, a paused node
// would block the checks of the others.
const readinessTimeout = 200 * time.Millisecond

// CheckReadiness checks the readiness of all nodes once.
func (b *Balancer) CheckReadiness(ctx context.Context) {
	var ready []Endpoint
	for _, n := range b.Nodes() {
		checkCtx, cancel := context.WithTimeout(ctx, readinessTimeout)
		if n.IsReady(checkCtx) {
			ready = append(ready, n)
		}
		cancel()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Pick returns the next ready node; ok is false if there is none.
func (b *Balancer) Pick() (e Endpoint, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Endpoint{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}
