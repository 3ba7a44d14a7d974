package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/vm"
)

// A request that three targets ended under is listed at every node, and released at every node
// by one of them.
func TestOperatorListsAndReleasesHeldRequest(t *testing.T) {
	c := newCluster(t, 2)
	for i := range c.nodes {
		c.waitUntil("a link", func() bool { return len(c.nodes[i].hub.Links()) > 0 })
	}
	digest := quarantine.Request{URI: "/harmful"}.Digest()
	held := quarantine.Case{Digest: digest}
	for i := range 3 {
		held.Ends = append(held.Ends, quarantine.End{Process: quarantine.Process{Target: vm.ID(fmt.Sprint("khata-", i+1))}, At: time.Now(), Witness: "node"})
	}
	c.nodes[0].suspects.Receive(peer.Message{Suspects: peer.NewSuspects([]quarantine.Case{held}, time.Now())}, nil)
	ctx := context.Background()
	c.waitUntil("the list of the other node", func() bool {
		listed, err := c.operatorClient(1).Quarantine(ctx)
		return err == nil && len(listed) == 1 && listed[0].Request == digest.String() && listed[0].Verdict == "held" && len(listed[0].Ended) == 3
	})
	for text, want := range map[string]string{"xyz": "not a digest", strings.Repeat("0", 32): "not suspected"} {
		if err := c.operatorClient(1).Release(ctx, operator.ReleaseRequest{Request: text}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("release of %q: got error %v, want one with %q", text, err, want)
		}
	}
	if err := c.operatorClient(1).Release(ctx, operator.ReleaseRequest{Request: digest.String()}); err != nil {
		t.Fatal(err)
	}
	c.waitUntil("the release at the other node", func() bool { return c.nodes[0].quarantine.Verdict(digest) == quarantine.Free })
}
