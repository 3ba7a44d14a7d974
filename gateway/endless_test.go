package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/reply/replytest"
)

// endlessServer answers health checks like a target and begins an endless answer to each
// other request, until the caller closes the connection.
type endlessServer struct {
	t *testing.T
	// isInBody makes the answer endless in its body; otherwise its head has no end. With
	// healthToo, health checks get such answers as well.
	isInBody, healthToo bool

	mu      sync.Mutex
	open    int
	longest int64
}

// maxEndlessBytes is how much of an endless head may leave the server: what the node reads of
// it and what the buffers of a connection hold. sendBufferBytes is the one of the server.
const (
	maxEndlessBytes = 1 << 20
	sendBufferBytes = 64 << 10
)

func (s *endlessServer) start() string {
	s.t.Helper()
	return replytest.StartRaw(s.t, s.serve)
}

func (s *endlessServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetWriteBuffer(sendBufferBytes)
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" && !s.healthToo {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Apricotmount-Instance-Id: i-1\r\nX-Apricotmount-Server-Load: 0,0,6,100\r\n\r\n")
			continue
		}
		s.answer(conn, req)
		return
	}
}

// answer writes until the caller closes the connection.
func (s *endlessServer) answer(conn net.Conn, req *http.Request) {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	head, piece := "HTTP/1.1 200 OK\r\nX-Endless: ", strings.Repeat("x", 1024)
	if s.isInBody {
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Response-Stamp: stamp\r\n\r\n", req.Header.Get(platform.RequestIDHeader))
		piece = "400\r\n" + piece + "\r\n"
	}
	sent := int64(0)
	for _, err := io.WriteString(conn, head); err == nil; _, err = io.WriteString(conn, piece) {
		sent += int64(len(piece))
	}
	s.mu.Lock()
	s.open--
	s.longest = max(s.longest, sent)
	s.mu.Unlock()
}

// openAnswers returns the number of answers that are still being written, and the length of
// the longest one that has ended.
func (s *endlessServer) openAnswers() (open int, longest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.longest
}

// A head without end is no answer. The node must close the connection after a bounded number
// of bytes, and send a call that may be repeated to another target.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for _, healthToo := range []bool{false, true} {
		s := &endlessServer{t: t, healthToo: healthToo}
		c := newTestCluster(t)
		c.putPlan(1, "a")
		c.targets["i-1"], c.targetAddresses["i-1"] = &platformtest.Target{ID: "i-1", Slots: 6}, s.start()
		c.putTarget("i-1", "a", "east", "ready")
		c.startTarget("i-2", "a", "east")
		c.startNode("east", c.storeAddress)
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
		served := 0
		for range 12 {
			switch status, body := c.call(0); {
			case status == http.StatusOK && strings.HasSuffix(body, "by i-2"):
				served++
			case status != http.StatusBadGateway:
				t.Errorf("health too %v: got %d %q, want the answer of the other target, or 502 once extra attempts are used up", healthToo, status, body)
			}
		}
		if served < 8 {
			t.Errorf("health too %v: calls that the other target answered: got %d of 12, want at least 8", healthToo, served)
		}
		c.waitFor(waitTimeout, "closed connections", func() bool { open, _ := s.openAnswers(); return open == 0 })
		if _, longest := s.openAnswers(); longest == 0 || longest > maxEndlessBytes {
			t.Errorf("health too %v: longest head: got %d bytes sent, want some and at most %d", healthToo, longest, maxEndlessBytes)
		}
	}
}

// A body without end must end with the route's timeout, must not look complete, and must not
// stop other calls.
func TestEndlessBodyEndsWithTimeout(t *testing.T) {
	const routeTimeout = 2 * time.Second
	s := &endlessServer{t: t, isInBody: true}
	c := newTestCluster(t)
	c.putPlan(1, "a")
	c.targets["i-1"], c.targetAddresses["i-1"] = &platformtest.Target{ID: "i-1", Slots: 6}, s.start()
	c.putTarget("i-1", "a", "east", "ready")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	start := time.Now()
	resp := c.send(0)
	_, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err == nil {
		t.Error("endless body: got a complete answer, want a broken one")
	}
	if got := time.Since(start); got > routeTimeout+time.Second {
		t.Errorf("endless body: got an end after %s, want one at the route's timeout of %s", got, routeTimeout)
	}
	c.waitFor(waitTimeout, "a closed connection", func() bool { open, _ := s.openAnswers(); return open == 0 })
}

// A store that answers without end must not use more memory than a response may have, nor
// hold a node's reads for longer than a call may take.
func TestEndlessAnswerOfStoreIsAFailedCall(t *testing.T) {
	for _, isInBody := range []bool{false, true} {
		s := &endlessServer{t: t, isInBody: isInBody, healthToo: true}
		store := platform.NewStore(s.start(), platformtest.PartitionsPerTopic)
		start := time.Now()
		if _, err := store.ListMembers(t.Context()); err == nil {
			t.Errorf("in body %v: got members, want an error", isInBody)
		}
		if got := time.Since(start); got > 5*time.Second {
			t.Errorf("in body %v: got an error after %s, want it once the limit is reached", isInBody, got)
		}
		c := &testCluster{t: t}
		c.waitFor(waitTimeout, "a closed connection", func() bool { open, _ := s.openAnswers(); return open == 0 })
		if _, longest := s.openAnswers(); !isInBody && longest > maxEndlessBytes {
			t.Errorf("longest head: got %d bytes sent, want at most %d", longest, maxEndlessBytes)
		}
	}
}

// A request head that trickles in must not hold a connection to an inner port for ever.
func TestSlowRequestHeadIsCutOff(t *testing.T) {
	c := newStartedCluster(t, 1)
	var conns []net.Conn
	for _, address := range []string{c.settings[0].ReadinessAddress, c.settings[0].MetricsAddress, string(c.settings[0].PeerAddress)} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nX-Slow: "); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(waitTimeout))
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("%s: got %v, want the connection closed within %s", conn.RemoteAddr(), err, waitTimeout)
		}
	}
}
