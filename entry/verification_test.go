package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// verifyingProtocol returns a protocol in which targets echo call IDs, mark their
// own responses and refuse calls meant for another instance.
func verifyingProtocol() wire.Protocol {
	p := wire.DefaultProtocol
	p.IDHeader, p.ProofHeader, p.ExpectHeader = "X-Id", "X-Proof", "X-Expect"
	return p
}

func newVerifyingHarness(t *testing.T, p profile.Profile, serve func(w io.Writer, r *http.Request, n int) bool) (*harness, *rawTarget) {
	t.Helper()
	raw := newRawTarget(t, serve)
	h := newHarness(t, p, raw.address())
	h.handler.Settings = Settings{Protocol: verifyingProtocol(), ResponseBufferBytes: 1 << 20, OmitProductHeaders: true}
	return h, raw
}

const verifiedHeaders = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\n"

// A response that does not belong to the call, lacks proof or is truncated must get
// status 502, and the call must be sent only once.
func TestUnverifiedResponseIsRejected(t *testing.T) {
	tests := []struct {
		name, response string
		status         int
		body           string
	}{
		{"own response", verifiedHeaders + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"response of another call", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"no ID", "HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"success without proof", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"refusal of another call", "HTTP/1.1 503 Busy\r\nX-Id: 6\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n", 502, ""},
		{"refusal without ID", "HTTP/1.1 503 Busy\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n", 502, ""},
		{"misdirected without ID", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 502, ""},
		{"truncated", verifiedHeaders + "Content-Length: 9\r\n\r\nshort", 502, ""},
		{"no length, closed by the target", verifiedHeaders + "Connection: close\r\n\r\nwhole", 200, "whole"},
		{"own failure", "HTTP/1.1 500 Oops\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\noops", 500, "oops"},
		{"status 0", "HTTP/1.1 000 Zero\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"status 20", "HTTP/1.1 +20 OK\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nX-Id: 7\r\nX-Proof: p\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nno", 502, ""},
		{"not HTTP", "garbage garbage\r\n\r\n", 502, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, raw := newVerifyingHarness(t, nonIdempotent(), func(w io.Writer, _ *http.Request, _ int) bool {
				io.WriteString(w, tt.response)
				return false
			})
			resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status {
				t.Errorf("status: got %d, want %d", resp.StatusCode, tt.status)
			}
			if tt.body != "" && body != tt.body {
				t.Errorf("body: got %q, want %q", body, tt.body)
			}
			if got := raw.requests.Load(); got != 1 {
				t.Errorf("requests at the target: got %d, want 1", got)
			}
		})
	}
}

// If a buffered response turns out to be truncated, nothing of it was forwarded, so an
// idempotent call must be retried.
func TestTruncatedBufferedResponseIsRetried(t *testing.T) {
	h, raw := newVerifyingHarness(t, idempotent(), func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			io.WriteString(w, verifiedHeaders+"Content-Length: 9\r\n\r\nshort")
			return false
		}
		io.WriteString(w, verifiedHeaders+"Content-Length: 2\r\n\r\nok")
		return true
	})
	resp, body, err := h.do(t, http.MethodGet, "", "X-Id", "7")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("response: got %v %q %v, want 200 ok", resp, body, err)
	}
	if got := raw.requests.Load(); got != 2 {
		t.Errorf("requests at the target: got %d, want 2", got)
	}
}

// A call that may have run must not get a status that callers take as proof that it
// did not run (503, 408, 421, 429), whatever ended the call.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	p := nonIdempotent()
	p.CallTimeout, p.AttemptTimeout = 150*time.Millisecond, 150*time.Millisecond
	h, _ := newVerifyingHarness(t, p, func(io.Writer, *http.Request, int) bool {
		time.Sleep(400 * time.Millisecond)
		return false
	})
	resp, _, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want 504", resp.StatusCode)
	}
	for _, reason := range append(outcome.UnknownReasons, outcome.DeadlinePassed, outcome.CallerGone) {
		if got := httpStatus(&dispatch.CallFailure{Outcome: outcome.Unknown, Reason: reason}); got == 503 || got == 408 || got == 421 || got == 429 {
			t.Errorf("status of unknown %s: got %d, want none of 503, 408, 421, 429", reason, got)
		}
	}
}

// A process that took over the address of a target refuses the call with status
// 421. The call is not run, and the OnMisdirected callback is called.
func TestMisdirectedCallIsReported(t *testing.T) {
	h, _ := newVerifyingHarness(t, nonIdempotent(), func(w io.Writer, req *http.Request, _ int) bool {
		if got := req.Header.Get("X-Expect"); got != "t0" {
			t.Errorf("expected instance: got %q, want t0", got)
		}
		io.WriteString(w, "HTTP/1.1 421 Misdirected Request\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	reportCount := 0
	h.handler.OnMisdirected = func(ref target.Ref) { reportCount++ }
	resp, _, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || reportCount == 0 {
		t.Errorf("got status %d and %d reports, want 503 and at least one report", resp.StatusCode, reportCount)
	}
	if after := resp.Header.Get("Retry-After"); !strings.Contains(after, ".") {
		t.Errorf("Retry-After: got %q, want seconds with a fraction", after)
	}
}

// The connection to the target must be closed when the caller times out during an
// attempt.
func TestCallerTimeoutClosesTargetConnection(t *testing.T) {
	closed := make(chan struct{})
	h, _ := newVerifyingHarness(t, idempotent(), func(w io.Writer, _ *http.Request, _ int) bool {
		b := make([]byte, 1)
		w.(io.Reader).Read(b)
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "7")
	if _, err := http.DefaultTransport.RoundTrip(req); err == nil {
		t.Fatal("error: got none, want the caller's own timeout")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("connection to the target: got open after 5 s, want closed")
	}
}

// A refusal whose body does not end must not hold the call: its head has stated that the
// call was not run.
func TestRefusalWithStalledBodyIsUsedAtOnce(t *testing.T) {
	released := make(chan struct{})
	t.Cleanup(func() { close(released) })
	h, raw := newVerifyingHarness(t, nonIdempotent(), func(w io.Writer, _ *http.Request, n int) bool {
		if n > 1 {
			io.WriteString(w, verifiedHeaders+"Content-Length: 2\r\n\r\nok")
			return true
		}
		io.WriteString(w, "HTTP/1.1 503 Full\r\nX-Id: 7\r\nTarget-Refused: before-start\r\nContent-Length: 9\r\n\r\nshort")
		<-released
		return false
	})
	// A call that is held to its deadline gets 504.
	resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("response: got %v %q %v, want that of the second attempt", resp, body, err)
	}
	if got := raw.requests.Load(); got != 2 {
		t.Errorf("requests at the target: got %d, want 2", got)
	}
}
