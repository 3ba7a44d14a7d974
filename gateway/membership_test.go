package gateway_test

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
)

// Nodes that start together are all listed before they renew their memberships in
// turn: whoever lists them first can tell the whole fleet.
func TestNodesThatStartTogetherAreListedSoon(t *testing.T) {
	const nodes = 4
	w := newTestCluster(t)
	for range nodes {
		w.startNode("east", w.storeAddress)
	}
	store := platform.NewStore(w.storeAddress)
	w.waitFor(6*time.Second, "all members", func() bool {
		listed, err := store.Members(t.Context())
		return err == nil && len(listed) == nodes
	})
}
