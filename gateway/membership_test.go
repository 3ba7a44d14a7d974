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
	w := newWorld(t)
	for range nodes {
		w.node("east", w.address)
	}
	store := platform.NewStore(w.address)
	w.within(6*time.Second, "all members", func() bool {
		listed, err := store.ListMembers(t.Context())
		return err == nil && len(listed) == nodes
	})
}
