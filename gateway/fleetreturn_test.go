package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// recoveryLimit is the time within which a fleet that returns must serve again.
const recoveryLimit = 15 * time.Second

// killNodes ends all nodes at once, without a planned stop, and forgets them.
func (c *testCluster) killNodes() {
	ctx, cancel := context.WithCancel(c.t.Context())
	cancel()
	for _, n := range c.nodes {
		n.Stop(ctx)
	}
	c.nodes, c.settings = nil, nil
}

// All nodes lose their memory at once while the part of the store that holds a topic is away,
// and stays so. The rest of the store works, so the fleet must serve again.
func TestFleetReturnsWhilePartOfStoreIsAway(t *testing.T) {
	const nodeCount = 3
	for _, tt := range []struct {
		name   string
		topics []string
		fault  platformtest.Fault
		// isAwayFirst is set if the nodes notice the outage before they end.
		isAwayFirst bool
	}{
		{"targets, reset", []string{platformtest.TargetsTopic}, platformtest.ConnectionReset, true},
		{"operator, silent", []string{platformtest.OperatorTopic}, platformtest.Unresponsive, true},
		{"both, as the nodes end", []string{platformtest.OperatorTopic, platformtest.TargetsTopic}, platformtest.Unavailable, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newStartedCluster(t, nodeCount)
			setFault := func() {
				for _, topic := range tt.topics {
					c.store.SetTopicFault(topic, tt.fault)
				}
			}
			// A reader saves after its second read.
			time.Sleep(3 * time.Second)
			if tt.isAwayFirst {
				setFault()
				time.Sleep(2 * time.Second)
			}
			c.killNodes()
			setFault()
			for range nodeCount {
				c.startNode("east", c.storeAddress)
			}
			for i := range nodeCount {
				c.waitFor(recoveryLimit, "a node that serves", func() bool {
					status, _ := c.call(i)
					return status == http.StatusOK && c.isReady(i)
				})
			}
		})
	}
}
