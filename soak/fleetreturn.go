package soak

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// returnLimit is how long after the end of all nodes every node must serve again, though a part
// of the store is away: the platform's limit.
const returnLimit = 15 * time.Second

// topicChoices are the topics that may be away while all nodes return.
var topicChoices = [][]string{{platformtest.TargetsTopic}, {platformtest.OperatorTopic}, {platformtest.TargetsTopic, platformtest.OperatorTopic}}

// checkFleetReturn kills all nodes at once while a part of the store is away, and checks that they
// serve again before it is back.
func (h *harness) checkFleetReturn(ctx context.Context) {
	topics, fault := topicChoices[h.randomInt(len(topicChoices))], platformtest.Fault(1+h.randomInt(3))
	h.logf("all nodes end while %s has fault %d", strings.Join(topics, ", "), fault)
	h.setTopicFaults(topics, fault)
	defer h.setTopicFaults(topics, platformtest.NoFault)
	time.Sleep(h.randomFaultDuration())
	for _, n := range h.nodes {
		n.disrupt(syscall.SIGKILL)
	}
	for _, n := range h.nodes {
		n.awaitExit(time.Second)
		h.restart(n)
	}
	if !h.awaitReady(ctx, returnLimit) && ctx.Err() == nil {
		h.recorder.addFinding("fleet-return", "not all nodes are ready %s after they ended while %s was away: %s", returnLimit, strings.Join(topics, ", "), h.describeUnready())
	}
}

func (h *harness) setTopicFaults(topics []string, f platformtest.Fault) {
	for _, name := range topics {
		h.store.SetTopicFault(name, f)
	}
}
