package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"testing"
	"time"
)

// writeWithoutEnd writes start and then piece until the connection is closed, and returns the
// total length.
func writeWithoutEnd(w io.Writer, start, piece string) (sent int) {
	n, err := io.WriteString(w, start)
	for sent = n; err == nil; sent += n {
		n, err = io.WriteString(w, piece)
	}
	return sent
}

// A response of which any part has no end is no response: the call must end at once, and its
// target must not be able to send more than a bounded number of bytes.
func TestEndlessPartOfResponseIsCutOff(t *testing.T) {
	const (
		maxSentBytes = 1 << 20
		// The kernel takes what fits into its buffers, whatever the node reads.
		sendBufferBytes = 64 << 10
		chunked         = verifiedHeaders + "Transfer-Encoding: chunked\r\n"
	)
	filler := fmt.Sprintf("%01000d", 0)
	tests := []struct{ name, start, piece string }{
		{"100", "", "HTTP/1.1 100 Continue\r\nX-Id: 7\r\nX-Filler: " + filler + "\r\n\r\n"},
		{"102", "", "HTTP/1.1 102 Processing\r\nX-Id: 7\r\nX-Filler: " + filler + "\r\n\r\n"},
		{"103", "", "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\nX-Filler: " + filler + "\r\n\r\n"},
		{"199", "", "HTTP/1.1 199 Other\r\nX-Id: 7\r\nX-Filler: " + filler + "\r\n\r\n"},
		{"line ends before the status", "", "\r\n"},
		{"status line", "HTTP/1.1 200 ", filler},
		{"header line", verifiedHeaders + "X-Filler: ", filler},
		{"headers", verifiedHeaders, "X-Filler: " + filler + "\r\n"},
		{"continued header", verifiedHeaders + "X-Filler: 0\r\n", " " + filler + "\r\n"},
		{"chunk size", chunked + "\r\n", "0"},
		{"chunk extension", chunked + "\r\n5;", filler},
		{"chunk extensions", chunked + "\r\n", "1;" + filler + "\r\nx\r\n"},
		{"trailer line", chunked + "Trailer: X-Sum\r\n\r\n0\r\nX-Sum: ", filler},
		{"trailers", chunked + "Trailer: X-Sum\r\n\r\n0\r\n", "X-Sum: " + filler + "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan int, 1)
			h, _ := newVerifyingHarness(t, nonIdempotent(), func(w io.Writer, _ *http.Request, _ int) bool {
				_ = w.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
				sent <- writeWithoutEnd(w, tt.start, tt.piece)
				return false
			})
			// A call that is held to its deadline gets 504.
			resp, _, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("response: got %v %v, want 502", resp, err)
			}
			if got := <-sent; got > maxSentBytes {
				t.Errorf("sent: got %d bytes, want at most %d", got, maxSentBytes)
			}
		})
	}
}

// Early hints that arrive when the attempt ends must not be written beside or after the
// response to the caller.
func TestEarlyHintsEndWithAttempt(t *testing.T) {
	p := nonIdempotent()
	p.CallTimeout, p.AttemptTimeout = 5*time.Millisecond, 5*time.Millisecond
	h, _ := newVerifyingHarness(t, p, func(w io.Writer, _ *http.Request, _ int) bool {
		for {
			if _, err := io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\nLink: </a>\r\n\r\n"); err != nil {
				return false
			}
			time.Sleep(200 * time.Microsecond)
		}
	})
	for range 50 {
		resp, _, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode < http.StatusBadGateway {
			t.Errorf("response: got %d, want a failure", resp.StatusCode)
		}
		if got := resp.Header.Get("Link"); got != "" {
			t.Errorf("Link of the failure: got %q, want none", got)
		}
	}
}

// Early hints must not carry what concerns the connection to the target only, nor change
// the headers of the response.
func TestEarlyHintsCarryNoConnectionHeaders(t *testing.T) {
	h, _ := newVerifyingHarness(t, nonIdempotent(), func(w io.Writer, _ *http.Request, _ int) bool {
		io.WriteString(w, "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTarget-In-Flight: 3\r\nLink: </a>\r\n\r\n")
		io.WriteString(w, verifiedHeaders+"Content-Length: 2\r\n\r\nok")
		return true
	})
	h.handler.SetDraining()
	var hints textproto.MIMEHeader
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { hints = header; return nil },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "7")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for name, want := range map[string]string{"Link": "</a>", "Connection": "", "X-Hop": "", "Target-In-Flight": ""} {
		if got := hints.Get(name); got != want {
			t.Errorf("%s of the hints: got %q, want %q", name, got, want)
		}
	}
	if !resp.Close {
		t.Error("response of a draining node: got no Connection: close, want it")
	}
}
