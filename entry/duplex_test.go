package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a connection that closes without notice after a response that was written
// before the whole body was read: the caller's next request is lost.
func TestConnectionOutlivesResponseBeforeBody(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		hasRoute   bool
		want       int
	}{
		{"no route", "Content-Length: 4\r\n\r\nbody", false, http.StatusNotFound},
		{"no target, streamed body", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true, http.StatusServiceUnavailable},
	} {
		h := newHarness(t, nonIdempotent())
		if !tt.hasRoute {
			h.handler.Directory = routeFunc(func() (Route, bool) { return Route{}, false })
		}
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		responses := bufio.NewReader(conn)
		for i := range 2 {
			fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\n%s", tt.body)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Errorf("%s: response %d: got error %v, want %d", tt.name, i+1, err, tt.want)
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != tt.want || resp.Close {
				t.Errorf("%s: response %d: got %d with close %v, want %d on an open connection", tt.name, i+1, resp.StatusCode, resp.Close, tt.want)
			}
		}
	}
}

// Guards against space for buffered bodies that is given back twice, so that more is buffered
// than allowed.
func TestSpaceOfBrokenBodyIsReleasedOnce(t *testing.T) {
	h := newHarness(t, nonIdempotent())
	ended := make(chan struct{})
	h.handler.OnCallEnd = func(CallResult) { close(ended) }
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n\r\nbody")
	conn.Close()
	<-ended
	for deadline := time.Now().Add(5 * time.Second); h.handler.OpenCallCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if got := h.handler.bufferSpace.used.Load(); got != 0 {
		t.Errorf("space in use after the call: got %d bytes, want 0", got)
	}
}
