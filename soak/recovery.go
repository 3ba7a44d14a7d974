package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// recoveryCalls is the number of calls that must all be served after recovery.
const recoveryCalls = 40

// checkRecovery repairs all faults and checks that calls are served again.
func (h *harness) checkRecovery(ctx context.Context) {
	h.store.SetFault(platformtest.NoFault)
	h.store.SetTopicFault(platformtest.TargetsTopic, platformtest.NoFault)
	h.mu.Lock()
	for z := range h.zonesOut {
		h.restoreZone(z)
	}
	h.mu.Unlock()
	h.endLimits(h.targets)
	for _, n := range h.nodes {
		n.storeProxy.SetMode(platformtest.LinkOpen)
		n.peerProxy.SetMode(platformtest.LinkOpen)
		n.signal(syscall.SIGCONT)
	}
	if !h.awaitReady(ctx, readyTimeout) {
		h.recorder.addFinding("recovery", "not all nodes were ready %s after the last fault: %s", readyTimeout, h.describeUnready())
		return
	}
	time.Sleep(2 * time.Second)
	client := newClient()
	for i := range recoveryCalls {
		n := h.nodes[i%len(h.nodes)]
		id := fmt.Sprintf("recover-%d", i)
		h.recorder.recordSent(id, false, n)
		if status, err := h.send(ctx, client, n, id, "safe"); err != nil || status != 200 {
			h.recorder.addFinding("recovery", "%s at %s: got %d %v, want 200", id, n.name, status, err)
		}
	}
	h.checkPropagation(ctx, client)
}

// awaitConfig checks that every node serves the route of a configuration in time.
func (h *harness) awaitConfig(ctx context.Context, client *http.Client, i int, since time.Time) {
	limit := cmp.Or(h.settings.ConfigTimeout, propagationLimit)
	for _, n := range h.nodes {
		for tries := 0; !h.servesConfig(ctx, client, n, i, tries); tries++ {
			if time.Since(since) > limit || ctx.Err() != nil {
				h.recorder.addFinding("configuration-in-force", "%s does not serve the route of configuration %d after %s", n.name, i, limit)
				break
			}
			time.Sleep(routePollInterval)
		}
	}
}

// checkPropagation checks that every node serves the route of the newest configuration,
// which the store may have lost since. Then it publishes another one while a target leaves.
func (h *harness) checkPropagation(ctx context.Context, client *http.Client) {
	i, _ := h.newestConfig()
	h.awaitConfig(ctx, client, i, time.Now())
	h.publishConfig()
	h.removeTarget()
	i, published := h.newestConfig()
	h.awaitConfig(ctx, client, i, published)
	h.logf("the new configuration was active at all nodes after %s", time.Since(published).Round(time.Millisecond))
}

// routePollInterval is the time between two calls to a node that does not serve a route
// yet.
const routePollInterval = 20 * time.Millisecond

// servesConfig reports whether a node serves the route added by a configuration.
func (h *harness) servesConfig(ctx context.Context, client *http.Client, n *node, configuration, try int) bool {
	id := fmt.Sprintf("change-%s-%d-%d", n.name, configuration, try)
	h.recorder.recordSent(id, false, n)
	status, err := h.send(ctx, client, n, id, configRoute(configuration))
	return err == nil && status == http.StatusOK
}
