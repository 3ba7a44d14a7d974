package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
)

// latePath is a path whose loss does not cancel open attempts.
type latePath struct{ *switchedPath }

func (p *latePath) Lost() context.Context { return context.Background() }

// Guards against a retry that is paid for twice if the path is lost before it is sent, so that
// the call does not go through another node although its limit allows that.
func TestRetryIsChargedTwiceWhenPathIsLost(t *testing.T) {
	f := newTestFleet(t, profile.Profile{Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: 1}, 3, 4)
	n := f.nodes[0]
	n.service.Path = &latePath{n.path}
	f.respond = func(w http.ResponseWriter, _ *http.Request) {
		if !n.path.IsLost() {
			n.path.set(true)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	if w := f.call(0, "call"); w.Code != http.StatusOK {
		t.Errorf("status: got %d, want 200 from another node", w.Code)
	}
}
