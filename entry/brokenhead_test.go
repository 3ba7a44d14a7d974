package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/wire"
)

// Guards against a response whose head broke off and which reaches the caller as whole. An
// unsafe call must fail, and a safe one must get the response of the next attempt.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	const withLength = verifiedHeaders + "Content-Length: 5\r\n\r\n"
	tests := []struct {
		name, head       string
		isReset, isPlain bool
	}{
		{"with a length", withLength, false, false},
		{"with a length, reset", withLength, true, false},
		{"with a length, without IDs", withLength, false, true},
		{"empty", verifiedHeaders + "Content-Length: 0\r\n\r\n", false, false},
		{"in chunks", verifiedHeaders + "Transfer-Encoding: chunked\r\n\r\n", false, false},
		{"up to the close", verifiedHeaders + "Connection: close\r\n\r\n", false, false},
		{"up to the close, without IDs", verifiedHeaders + "Connection: close\r\n\r\n", false, true},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + verifiedHeaders + "\r\n", false, false},
		{"without content", strings.Replace(verifiedHeaders, "200 OK", "204 No Content", 1) + "\r\n", false, false},
		{"bare line feeds", strings.ReplaceAll(verifiedHeaders+"Content-Length: 0\r\n\r\n", "\r", ""), false, false},
	}
	for _, tt := range tests {
		for length := range len(tt.head) {
			t.Run(fmt.Sprintf("%s/%d", tt.name, length), func(t *testing.T) {
				for _, isSafe := range []bool{false, true} {
					checkBrokenHead(t, brokenHead{tt.head[:length], tt.isReset, tt.isPlain}, isSafe)
				}
			})
		}
	}
}

// brokenHead is the beginning of a head after which a target closes or resets the connection.
type brokenHead struct {
	head    string
	isReset bool
	// isPlain makes the protocol the one without IDs.
	isPlain bool
}

// checkBrokenHead sends a call whose first attempt gets the beginning of a head.
func checkBrokenHead(t *testing.T, broken brokenHead, isSafe bool) {
	t.Helper()
	p, wantStatus, wantBody, wantRequests := nonIdempotent(), http.StatusBadGateway, "unknown: answer-lost\n", int32(1)
	if isSafe {
		p, wantStatus, wantBody, wantRequests = idempotent(), http.StatusOK, "whole", 2
	}
	h, raw := newBrokenHeadHarness(t, p, broken)
	resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != wantStatus || body != wantBody {
		t.Errorf("response: got %d %q, want %d %q", resp.StatusCode, body, wantStatus, wantBody)
	}
	if got := raw.requests.Load(); got != wantRequests {
		t.Errorf("requests at the target: got %d, want %d", got, wantRequests)
	}
}

// newBrokenHeadHarness returns a harness whose target writes a broken head to the first call.
// Further calls get a whole response.
func newBrokenHeadHarness(t *testing.T, p profile.Profile, broken brokenHead) (*harness, *rawTarget) {
	h, raw := newVerifyingHarness(t, p, func(w io.Writer, _ *http.Request, n int) bool {
		if n > 1 {
			io.WriteString(w, verifiedHeaders+"Content-Length: 5\r\n\r\nwhole")
			return true
		}
		io.WriteString(w, broken.head)
		if broken.isReset {
			w.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	if broken.isPlain {
		h.handler.Settings.Protocol = wire.DefaultProtocol
	}
	return h, raw
}

// Guards against a short body that an HTTP/1.0 caller takes for whole: without a length, it
// ends with the connection.
func TestTruncatedResponseResetsOldCallerConnection(t *testing.T) {
	tests := []struct {
		name, response string
		isWhole        bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n", true},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort", false},
		{"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, _ *http.Request, _ int) bool {
				io.WriteString(w, tt.response)
				return false
			})
			h := newHarness(t, nonIdempotent(), raw.address())
			c, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
			if b, err := io.ReadAll(c); (err == nil) != tt.isWhole {
				t.Errorf("response: got %q %v, want it whole: %v", b, err, tt.isWhole)
			}
		})
	}
}
