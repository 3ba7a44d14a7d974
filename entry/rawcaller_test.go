package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// dialHarness opens a caller's connection, which ends within ten seconds.
func dialHarness(t *testing.T, h *harness) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// readWholeResponse reads a response to its end. isWhole is false if there is none, or if it broke off.
func readWholeResponse(c net.Conn) (status int, body string, isWhole bool) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err == nil
}
