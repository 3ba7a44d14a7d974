package inventory

import (
	"testing"

	"github.com/apricotmount/apricotmount/pacing"
)

// A restored topic must count as read so long ago that the node takes over reading it, and does
// not assume that its plan is the newest.
func TestRestoredTopicCountsAsReadLongAgo(t *testing.T) {
	if oldest := max(pacing.MaxTakeoverAge, OutageThreshold); restoredReadAge <= oldest {
		t.Errorf("age of a restored read: got %s, want more than %s", restoredReadAge, oldest)
	}
}
