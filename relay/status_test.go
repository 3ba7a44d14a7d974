package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
)

// Guards against a target whose switch of protocols makes the response through another node look
// like a refusal by that node: a call that the target ran is then sent again.
func TestSwitchOfProtocolsIsReadAsRefusalByNode(t *testing.T) {
	f := newTestFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second}, 4, 4)
	f.nodes[0].path.set(true)
	f.respond = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, "not-run")
		w.Header().Set(headerRefused, refusedBeforeStart)
		w.WriteHeader(http.StatusSwitchingProtocols)
	}
	w := f.call(0, "call")
	if got := f.runCount("call"); got != 1 || w.Code != http.StatusBadGateway {
		t.Errorf("call: got %d targets that ran it and status %d, want 1 and 502", got, w.Code)
	}
}

// Guards against responses with an invalid status that keep the capacity of their target.
func TestInvalidStatusKeepsCapacity(t *testing.T) {
	const callCount = 40
	f := newTestFleet(t, profile.Profile{CallTimeout: 2 * time.Second, AttemptTimeout: time.Second, QueueTimeout: 100 * time.Millisecond}, 1, 1)
	writeInvalid := func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 099 Odd\r\nCall-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Call-Id"))
		c.Close()
	}
	f.respond = writeInvalid
	for i := range callCount {
		callThrough(f.nodes[0].handler, fmt.Sprint("call-", i))
	}
	f.respond = func(http.ResponseWriter, *http.Request) {}
	if w := callThrough(f.nodes[0].handler, "call"); w.Code != http.StatusOK {
		t.Errorf("status of a call after %d invalid responses: got %d, want 200", callCount, w.Code)
	}
}
