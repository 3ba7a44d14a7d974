package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer serves requests: those to /slow take 200 ms.
func startServer(t *testing.T) *Server {
	t.Helper()
	s, err := Serve("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(200 * time.Millisecond)
		}
	})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// request sends a request and returns the status of the response.
func request(c net.Conn, path string) (status int, err error) {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// A request that is read while the server waits for others must be answered: its caller
// opened the connection before.
func TestDrainAnswersRequestsReadWhileItWaits(t *testing.T) {
	s := startServer(t)
	opened := dial(t, s)
	slow := make(chan error, 1)
	go func() {
		status, err := request(dial(t, s), "/slow")
		if err == nil && status != http.StatusOK {
			err = errors.New(http.StatusText(status))
		}
		slow <- err
	}()
	time.Sleep(50 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	if status, err := request(opened, "/"); err != nil || status != http.StatusOK {
		t.Errorf("request during the drain: got %d %v, want 200", status, err)
	}
	if err := <-slow; err != nil {
		t.Errorf("request before the drain: got %v, want a response", err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}

// A connection that is never used must not keep a server from draining, nor may a request
// that takes too long.
func TestDrainEndsWithUnusedConnectionOrContext(t *testing.T) {
	s := startServer(t)
	dial(t, s)
	start := time.Now()
	if err := s.Drain(t.Context()); err != nil || time.Since(start) > unusedConnAge+time.Second {
		t.Errorf("drain with an unused connection: got %v after %s, want it to end after %s", err, time.Since(start), unusedConnAge)
	}
	s = startServer(t)
	go request(dial(t, s), "/slow")
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := s.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: got %v, want context.DeadlineExceeded", err)
	}
}
