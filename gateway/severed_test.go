package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/vm"
)

// All links between nodes go silent for good, without a reset, while new ones work. Three
// seconds later a plan must be in force in time all the same, and a target that leaves gets no
// calls.
func TestPlanIsInTimeThoughLinksWentSilent(t *testing.T) {
	const contactTime, applyLimit = 3 * time.Second, 2 * time.Second
	c := newTestCluster(t)
	c.putPlan(1, "a")
	c.startTarget("i-1", "a", "east")
	c.startTarget("i-2", "b", "east")
	var proxies []*platformtest.Proxy
	c.advertise = func(a vm.Address) vm.Address {
		p, err := platformtest.NewProxy(string(a))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		proxies = append(proxies, p)
		return vm.Address(p.Address())
	}
	const nodeCount = 4
	for range nodeCount {
		c.startNode("east", c.storeAddress)
	}
	for i := range nodeCount {
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
	}
	c.linkNodes()
	for _, p := range proxies {
		p.SilenceOpen()
	}
	time.Sleep(contactTime)
	c.putPlan(2, "b")
	publishedAt := time.Now()
	for i := range nodeCount {
		c.waitFor(max(0, applyLimit-time.Since(publishedAt)), "a node that serves by the new plan", func() bool {
			_, body := c.call(i)
			return strings.Contains(body, "by i-2")
		})
	}
}
