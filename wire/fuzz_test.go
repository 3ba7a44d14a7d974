package wire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/apricotmount/apricotmount/target"
)

// pipeTarget is a target at the other end of a pipe. It writes data after the first request
// and closes the connection, with keep after it has read a second request.
func pipeTarget(c net.Conn, data []byte, keep bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	if _, err := c.Write(data); err != nil || !keep {
		return
	}
	// An error means that the other end has closed the connection.
	_, _ = http.ReadRequest(br)
}

// exchangeOverPipe sends a request to a target that responds with data.
func exchangeOverPipe(t *testing.T, data []byte, keep bool) (c *Conn, send func() (*http.Response, error)) {
	near, far := net.Pipe()
	go pipeTarget(far, data, keep)
	p := NewPool(target.Ref{ID: "t"}, Settings{Protocol: fuzzProtocol}, 1, 0, nil, discardObserver{})
	c = newConn(p, near)
	t.Cleanup(func() { c.Release(false) })
	send = func() (*http.Response, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://t/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Id", "7")
		resp, _, err := c.Send(req, nil)
		return resp, err
	}
	return c, send
}

var fuzzProtocol = Protocol{IDHeader: "X-Id", ProofHeader: "X-Proof", RefusalHeader: "X-Refused", ExpectHeader: "X-Expect"}

// hasWholeHead reports whether data has a blank line at the end of a head.
func hasWholeHead(data []byte) bool {
	return bytes.Contains(data, []byte("\n\r\n")) || bytes.Contains(data, []byte("\n\n"))
}

// FuzzResponse guards against bytes that are no whole response to the request and are taken
// for one: heads that broke off, interim responses, and copies of earlier responses.
func FuzzResponse(f *testing.F) {
	const (
		answer  = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nwhole"
		chunks  = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"
		unsized = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\nConnection: close\r\n\r\nwhole"
		refusal = "HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
		foreign = "HTTP/1.1 503 Full\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
		interim = "HTTP/1.1 100 Continue\r\n\r\n"
		hints   = "HTTP/1.1 103 Early Hints\r\nX-Id: 6\r\nLink: </a>\r\n\r\n"
	)
	for _, whole := range []string{answer, chunks, unsized, refusal} {
		for length := range len(whole) + 1 {
			f.Add([]byte(whole[:length]))
		}
	}
	for _, s := range []string{
		refusal + refusal, answer + refusal, answer + answer, chunks + interim, answer + hints, refusal + answer,
		foreign, foreign + answer, interim + answer, hints + answer, interim + interim + refusal,
		"HTTP/1.1 000 Zero\r\nX-Id: 7\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nX-Id: 7\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, send := exchangeOverPipe(t, data, false)
		resp, err := send()
		if err != nil {
			return
		}
		body, bodyErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		checkAccepted(t, data, resp, body, bodyErr)
		if bodyErr != nil || resp.Close {
			return
		}
		c, send := exchangeOverPipe(t, data, true)
		resp, err = send()
		if err != nil {
			t.Fatalf("the same response on a kept connection: got %v, want it", err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatalf("the same body on a kept connection: got %v, want it", err)
		}
		resp.Body.Close()
		c.Release(true)
		if resp, err := send(); err == nil {
			t.Errorf("second request: got %d, want an error, because the target has not responded to it", resp.StatusCode)
		}
	})
}

// checkAccepted checks a response that was accepted.
func checkAccepted(t *testing.T, data []byte, resp *http.Response, body []byte, bodyErr error) {
	t.Helper()
	if !hasWholeHead(data) {
		t.Errorf("response without a whole head: got %d, want an error", resp.StatusCode)
	}
	if resp.StatusCode < http.StatusOK {
		t.Errorf("status: got %d, want one of a final response", resp.StatusCode)
	}
	hasLength := resp.ContentLength >= 0 && resp.StatusCode != http.StatusNotModified
	if bodyErr == nil && hasLength && int64(len(body)) != resp.ContentLength {
		t.Errorf("body: got %d bytes, want %d", len(body), resp.ContentLength)
	}
	sent := http.Header{"X-Id": {"7"}}
	if fuzzProtocol.IsGenuine(sent, resp) && resp.Header.Get("X-Id") != "7" {
		t.Errorf("response with the ID %q: got it accepted, want it rejected", resp.Header.Get("X-Id"))
	}
}
