package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/intake"
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
	h.handler.Settings.BodySpace = &intake.Space{}
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
	if got := h.handler.Settings.BodySpace.Used(); got != 0 {
		t.Errorf("space in use after the call: got %d bytes, want 0", got)
	}
}

// Guards against the rest of a body that is taken for the next request, after a target has
// responded before it had read the body.
func TestRestOfBodyIsNotTakenForRequest(t *testing.T) {
	const chunkSize, hidden = 0x1000, "GET /s/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n"
	address, _ := uploadTarget(t, func(c net.Conn, _ *http.Request, _ *bufio.Reader) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	for _, tt := range []struct{ name, head, rest string }{
		{"between chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "4\r\nbody\r\n0\r\n\r\n"},
		{"within a chunk", "Transfer-Encoding: chunked\r\n\r\n1000\r\nbody", hidden + strings.Repeat("x", chunkSize-len("body"+hidden)) + "\r\n0\r\n\r\n"},
		{"with a length", "Content-Length: 1000000\r\n\r\nbody", hidden + strings.Repeat("x", 1000000-len("body"+hidden))},
	} {
		h := newUploadHarness(t, address)
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		responses := bufio.NewReader(conn)
		for i, isClosing := 0, false; i < 2 && !isClosing; i++ {
			fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\n%s", tt.head)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: response %d: got %v %v, want 200", tt.name, i+1, resp, err)
				break
			}
			isClosing = resp.Close
			fmt.Fprint(conn, tt.rest)
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if b, err := io.ReadAll(responses); len(b) > 0 {
			t.Errorf("%s: bytes after the last response: got %q %v, want none", tt.name, b, err)
		}
	}
}
