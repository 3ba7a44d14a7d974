package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// sendEndless writes a request that has no end, piece by piece, until the node closes the
// connection. It returns the number of bytes written and the beginning of the answer.
func sendEndless(t *testing.T, address, start, piece string) (sent int, answer string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	answered := make(chan string, 1)
	go func() {
		b := make([]byte, 64)
		n, _ := conn.Read(b)
		answered <- string(b[:n])
		io.Copy(io.Discard, conn)
	}()
	for _, err = io.WriteString(conn, start); err == nil; _, err = io.WriteString(conn, piece) {
		sent += len(piece)
	}
	return sent, <-answered
}

// A caller whose request has no end must be refused after a bounded number of bytes, and must
// not slow other calls.
func TestEndlessRequestIsRefused(t *testing.T) {
	const maxSent = 8 << 20
	c := newTestCluster(t)
	c.store.Put(platformtest.OperatorTopic, "config", `{"version":1,"services":[{"name":"a","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6}],
"limits":{"idleTimeoutMs":15000,"maxHeaderBytes":16384,"maxBodyBytes":65536},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"unsafe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"a","maxAttempts":2}]}]}`)
	c.startTarget("i-1", "a", "east")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	piece := strings.Repeat("x", 1024)
	for _, tt := range []struct{ name, start, piece string }{
		{"head", "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: ", piece},
		{"body", fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: h.example\r\n%s: e\r\nTransfer-Encoding: chunked\r\n\r\n", platform.RequestIDHeader), "400\r\n" + piece + "\r\n"},
	} {
		sent, answer := sendEndless(t, c.settings[0].CallerAddress, tt.start, tt.piece)
		if strings.HasPrefix(answer, "HTTP/1.1 2") || sent > maxSent {
			t.Errorf("endless %s: got %q after %d bytes, want no success and at most %d", tt.name, answer, sent, maxSent)
		}
		start := time.Now()
		if status, _ := c.call(0); status != http.StatusOK || time.Since(start) > time.Second {
			t.Errorf("call after an endless %s: got %d after %s, want 200 at once", tt.name, status, time.Since(start))
		}
	}
}
