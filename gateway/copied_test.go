package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/reply/replytest"
)

// copyingServer runs most calls and refuses some. Before some responses it writes a copy of an
// earlier refusal on the connection.
type copyingServer struct {
	mu sync.Mutex
	// runs counts the runs of each call.
	runs map[string]int
}

// copyingConn is one connection to a copyingServer.
type copyingConn struct {
	server *copyingServer
	calls  int
	// lastRefusal is the refusal that was written last.
	lastRefusal string
}

const (
	serverLoad   = "X-Apricotmount-Server-Load: 0,0,6,100\r\n"
	healthAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Apricotmount-Instance-Id: i-1\r\n" + serverLoad + "\r\n"
	refusal      = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Apricotmount-Not-Executed: 1\r\n"
	// refusedHealth is the refusal of a health check, which has no ID.
	refusedHealth = refusal + serverLoad + "\r\n"
)

func (s *copyingServer) start(t *testing.T) string {
	t.Helper()
	return replytest.StartRaw(t, func(c *net.TCPConn) { s.serve(c) })
}

func (s *copyingServer) serve(conn net.Conn) {
	defer conn.Close()
	cc := &copyingConn{server: s}
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		response := healthAnswer
		if req.URL.Path != "/health" {
			response = cc.respond(req.Header.Get(platform.RequestIDHeader))
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// respond returns the bytes that the server writes for a call: in turn its answer, its
// refusal, and its answer after each kind of copy.
func (cc *copyingConn) respond(id string) string {
	cc.calls++
	if cc.calls%4 == 2 {
		cc.lastRefusal = fmt.Sprintf("%s%s: %s\r\n\r\n", refusal, platform.RequestIDHeader, id)
		return cc.lastRefusal
	}
	cc.server.recordRun(id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\nX-Apricotmount-Response-Stamp: s\r\n\r\n%s", len(id), platform.RequestIDHeader, id, id)
	switch cc.calls % 4 {
	case 3:
		return cc.lastRefusal + answer
	case 0:
		return refusedHealth + answer
	default:
		return answer
	}
}

func (s *copyingServer) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *copyingServer) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// A server that writes refusals twice must not make the node state that a call was not run
// which has run, nor run an unsafe call twice.
func TestCopiedRefusalsAreNoPromise(t *testing.T) {
	s := &copyingServer{runs: map[string]int{}}
	c := newTestCluster(t)
	c.store.Put(platformtest.OperatorTopic, "config", `{"version":1,"services":[{"name":"a","healthPath":"/health","maxConns":200}],
"limits":{"idleTimeoutMs":15000},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"unsafe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"a","maxAttempts":2}]}]}`)
	c.targets["i-1"], c.targetAddresses["i-1"] = &platformtest.Target{ID: "i-1", Slots: 6}, s.start(t)
	c.putTarget("i-1", "a", "east", "ready")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	const callCount = 40
	served := 0
	for range callCount {
		status, body := c.call(0)
		id := fmt.Sprint("id-", c.callCount.Load())
		runs := s.runCount(id)
		switch status {
		case http.StatusOK:
			served++
			if body != id {
				t.Errorf("%s: got the answer to %q", id, body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs > 0 {
				t.Errorf("%s: got %d %q, want no promise, because it has run", id, status, body)
			}
		}
		if runs > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, runs)
		}
	}
	if served < callCount/4 {
		t.Errorf("served calls: got %d of %d, want at least a quarter", served, callCount)
	}
}
