package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

type discardObserver struct{}

func (discardObserver) ConnVerified(target.Ref, target.Report) {}
func (discardObserver) LastConnLost(target.Ref)                {}

// startRawTarget serves each request on each connection by serve, which gets the number of
// requests on the connection so far.
func startRawTarget(t *testing.T, serve func(w io.Writer, r *http.Request, n int)) (address string) {
	t.Helper()
	return replytest.StartRaw(t, func(c *net.TCPConn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for n := 1; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			serve(c, r, n)
		}
	})
}

// A target sends the response to a call a second time, late: when a load query is already
// under way on the connection. The copy must not be taken for the response to the query,
// nor the connection be used again.
func TestLateSecondResponseIsNotTakenForLoadReport(t *testing.T) {
	const (
		health = "HTTP/1.1 200 OK\r\nTarget-Instance: i\r\nTarget-State: live\r\nContent-Length: 0\r\n\r\n"
		answer = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTarget-Instance: i\r\nTarget-State: draining\r\nContent-Length: 0\r\n\r\n"
	)
	var lateCopies atomic.Int64
	address := startRawTarget(t, func(w io.Writer, r *http.Request, n int) {
		switch {
		case r.URL.Path != "/load":
			io.WriteString(w, answer)
		case n > 2:
			lateCopies.Add(1)
			io.WriteString(w, answer)
			io.WriteString(w, health)
		default:
			io.WriteString(w, health)
		}
	})
	protocol := DefaultProtocol
	protocol.IDHeader = "X-Id"
	budget := &measuring.Budget{Settings: measuring.Settings{MessagesPerSecond: 1e6, BytesPerSecond: 1e9, TargetTimePerSecond: time.Hour}}
	pool := NewPool(target.Ref{ID: "t", Address: vm.Address(address)}, Settings{Protocol: protocol}, 4, 0, budget, discardObserver{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := pool.Get(ctx, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprint("http://", address, "/call"), nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "7")
	resp, _, err := c.Send(req, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	c.Release(true)
	report, err := pool.QueryLoad(ctx, time.Second)
	if err != nil || report.State != target.Live {
		t.Errorf("load query: got %v %v, want the live report of the target", report.State, err)
	}
	if got := lateCopies.Load(); got != 1 {
		t.Errorf("queries on the connection with the late copy: got %d, want 1", got)
	}
}

// Guards against a connection that carries another request though bytes follow the last response.
func TestConnWithBytesBehindResponseIsNotReused(t *testing.T) {
	address := replytest.Start(t, func(*http.Request) replytest.Answer {
		return replytest.Answer{Text: "HTTP/1.1 200 OK\r\nTarget-Instance: a\r\nContent-Length: 5\r\n\r\nwholex"}
	})
	p := NewPool(target.Ref{ID: "t", Address: vm.Address(address)}, Settings{}, 1, 0, nil, discardObserver{})
	defer p.Close()
	if c, err := p.Get(t.Context(), false, nil); err != nil {
		t.Fatal(err)
	} else {
		c.Release(true)
	}
	if got := p.ConnCount(); got != 0 {
		t.Errorf("connections after the response: got %d, want 0", got)
	}
}
