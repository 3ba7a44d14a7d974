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

// checked is a protocol whose targets echo IDs, prove their answers and refuse
// calls that are meant for others.
func checked() wire.Protocol {
	p := wire.DefaultProtocol
	p.IDHeader, p.ProofHeader, p.ExpectHeader = "X-Id", "X-Proof", "X-Expect"
	return p
}

func checkedRig(t *testing.T, p profile.Profile, serve func(w io.Writer, r *http.Request, n int) bool) (*rig, *rawTarget) {
	t.Helper()
	raw := newRawTarget(t, serve)
	r := newRig(t, p, raw.address())
	r.handler.Settings = Settings{Protocol: checked(), ResponseBufferBytes: 1 << 20, OmitProductHeaders: true}
	return r, raw
}

const proven = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\n"

func TestAnswersThatAreNotTheCalls(t *testing.T) {
	tests := []struct {
		name, answer string
		status       int
		body         string
	}{
		{"its own", proven + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"another call's", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"without an ID", "HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"success without proof", "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nno", 502, ""},
		{"another call's refusal", "HTTP/1.1 503 Busy\r\nX-Id: 6\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n", 502, ""},
		{"broken off", proven + "Content-Length: 9\r\n\r\nshort", 502, ""},
		{"without a length, closed", proven + "Connection: close\r\n\r\nwhole", 200, "whole"},
		{"a failure of its own", "HTTP/1.1 500 Oops\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 4\r\n\r\noops", 500, "oops"},
		{"bytes that are no answer", "garbage garbage\r\n\r\n", 502, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, raw := checkedRig(t, once(), func(w io.Writer, _ *http.Request, _ int) bool {
				io.WriteString(w, tt.answer)
				return false
			})
			resp, body, err := r.do(t, http.MethodPost, "x", "X-Id", "7")
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

// An answer that breaks off before anything was passed on is asked for again, if
// the call may run twice.
func TestBrokenAnswerIsAskedForAgain(t *testing.T) {
	r, raw := checkedRig(t, idempotent(), func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			io.WriteString(w, proven+"Content-Length: 9\r\n\r\nshort")
			return false
		}
		io.WriteString(w, proven+"Content-Length: 2\r\n\r\nok")
		return true
	})
	resp, body, err := r.do(t, http.MethodGet, "", "X-Id", "7")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("answer: got %v %q %v, want 200 ok", resp, body, err)
	}
	if got := raw.requests.Load(); got != 2 {
		t.Errorf("requests at the target: got %d, want 2", got)
	}
}

// A call whose outcome is unknown is never told that it has not run, whatever
// ended it.
func TestUnknownIsNeverToldAsNotRun(t *testing.T) {
	p := once()
	p.CallTimeout, p.AttemptTimeout = 150*time.Millisecond, 150*time.Millisecond
	r, _ := checkedRig(t, p, func(io.Writer, *http.Request, int) bool {
		time.Sleep(400 * time.Millisecond)
		return false
	})
	resp, _, err := r.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want 504", resp.StatusCode)
	}
	for _, reason := range append(outcome.UnknownReasons, outcome.DeadlinePassed, outcome.CallerGone) {
		if got := statusOf(&dispatch.CallFailure{Outcome: outcome.Unknown, Reason: reason}); got == 503 || got == 408 || got == 421 || got == 429 {
			t.Errorf("status of unknown %s: got %d, want one that promises nothing", reason, got)
		}
	}
}

// Another process at the target's address refuses the call, and the node is told.
func TestMisdirected(t *testing.T) {
	r, _ := checkedRig(t, once(), func(w io.Writer, req *http.Request, _ int) bool {
		if got := req.Header.Get("X-Expect"); got != "t0" {
			t.Errorf("expected instance: got %q, want t0", got)
		}
		io.WriteString(w, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	told := 0
	r.handler.OnMisdirected = func(ref target.Ref) { told++ }
	resp, _, err := r.do(t, http.MethodPost, "x", "X-Id", "7")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || told == 0 {
		t.Errorf("got status %d, told %d times, want 503 and told", resp.StatusCode, told)
	}
	if after := resp.Header.Get("Retry-After"); !strings.Contains(after, ".") {
		t.Errorf("Retry-After: got %q, want seconds with a fraction", after)
	}
}

func TestCallerThatLeavesIsCancelledAtTheTarget(t *testing.T) {
	closed := make(chan struct{})
	r, _ := checkedRig(t, idempotent(), func(w io.Writer, _ *http.Request, _ int) bool {
		b := make([]byte, 1)
		w.(io.Reader).Read(b)
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "7")
	if _, err := http.DefaultTransport.RoundTrip(req); err == nil {
		t.Fatal("got an answer, want the caller's own timeout")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the target's connection was not closed")
	}
}
