package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/wire"
)

// copyTime is the time at which a target writes a response a second time, after the
// response itself.
type copyTime string

const (
	// inSameWrite and beforeNextRequest are early: no request is open.
	inSameWrite       copyTime = "in the same write"
	beforeNextRequest copyTime = "before the next request"
	afterNextRequest  copyTime = "after the next request"
	duringNextBody    copyTime = "during the next body"
)

// copyingTarget refuses or answers its first call, writes that response a second time, and
// runs all other calls.
type copyingTarget struct {
	first, second string
	at            copyTime
	// probeToo makes it write second after its first probe, and not after its first call.
	probeToo bool

	calls, runs atomic.Int32
	// conns is the number of connections.
	conns atomic.Int32
	// ended is closed when the first connection has ended.
	ended chan struct{}
}

func (ct *copyingTarget) start(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ct.ended = make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			isFirst := ct.conns.Add(1) == 1
			go func() {
				ct.serve(c)
				if isFirst {
					close(ct.ended)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// awaitEnd waits until the handler has closed the connection with the copy.
func (ct *copyingTarget) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-ct.ended:
	case <-time.After(5 * time.Second):
		t.Error("connection with a copy: got open after 5s, want closed")
	}
}

func (ct *copyingTarget) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		isProbe := r.URL.Path == wire.DefaultProtocol.LoadPath
		if ct.at == afterNextRequest {
			io.Copy(io.Discard, r.Body)
		}
		io.WriteString(c, late)
		late = ""
		io.Copy(io.Discard, r.Body)
		response, isCopied := ct.respond(r, isProbe)
		if !isCopied {
			io.WriteString(c, response)
			continue
		}
		switch ct.at {
		case inSameWrite:
			io.WriteString(c, response+ct.second)
		case beforeNextRequest:
			io.WriteString(c, response)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, ct.second)
		default:
			io.WriteString(c, response)
			late = ct.second
		}
	}
}

// respond returns the response to a request, and whether it is the one that is copied.
func (ct *copyingTarget) respond(r *http.Request, isProbe bool) (response string, isCopied bool) {
	if isProbe {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + loadHeaders + "\r\n", ct.probeToo && ct.conns.Load() == 1
	}
	if ct.calls.Add(1) == 1 && !ct.probeToo {
		return ct.first, true
	}
	ct.runs.Add(1)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("X-Id")), false
}

const (
	refusalOfFirst = "HTTP/1.1 503 Full\r\nX-Id: first\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n"
	failureOfFirst = "HTTP/1.1 500 Internal Server Error\r\nX-Id: first\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n"
	answerOfFirst  = "HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nfirst"
	hintsOfFirst   = "HTTP/1.1 103 Early Hints\r\nX-Id: first\r\nLink: </first>\r\n\r\n"
	refusedProbe   = "HTTP/1.1 503 Full\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n"
	interim        = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Guards against a copy of an earlier response that is taken for that of the next call: a
// call that a target has run must not be reported as not run, nor get another's response.
func TestCopiedResponseIsNotTakenForNextCall(t *testing.T) {
	tests := []struct {
		name, first, second string
		probeToo            bool
		// isHarmless reports whether the copy changes nothing for the next call.
		isHarmless bool
	}{
		{"refusal", refusalOfFirst, refusalOfFirst, false, false},
		{"refused probe", "", refusedProbe, true, false},
		{"misdirected probe", "", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", true, false},
		{"success", answerOfFirst, answerOfFirst, false, false},
		{"interim response", answerOfFirst, interim, false, true},
		{"early hints", answerOfFirst, hintsOfFirst, false, true},
	}
	for _, tt := range tests {
		for _, at := range []copyTime{inSameWrite, beforeNextRequest, afterNextRequest, duringNextBody} {
			for _, isVerified := range []bool{true, false} {
				isEarly := at == inSameWrite || at == beforeNextRequest
				if !isVerified && !isEarly {
					// Without IDs, nothing distinguishes the late copy from a response.
					continue
				}
				t.Run(fmt.Sprintf("%s %s verified %v", tt.name, at, isVerified), func(t *testing.T) {
					ct := &copyingTarget{first: tt.first, second: tt.second, at: at, probeToo: tt.probeToo}
					p := nonIdempotent()
					p.QueueTimeout = 0
					h := newCopyHarness(t, p, isVerified, ct)
					if tt.probeToo {
						if _, err := h.pools["t0"].QueryLoad(t.Context(), time.Second); err != nil {
							t.Fatal(err)
						}
					} else {
						if _, _, err := h.do(t, http.MethodPost, "x", "X-Id", "first"); err != nil {
							t.Fatal(err)
						}
					}
					if at == beforeNextRequest {
						ct.awaitEnd(t)
					}
					checkNextCall(t, h, ct, isEarly || tt.isHarmless)
				})
			}
		}
	}
}

// newCopyHarness returns a harness with the target ct, with or without verified IDs.
func newCopyHarness(t *testing.T, p profile.Profile, isVerified bool, ct *copyingTarget) *harness {
	h := newHarness(t, p, ct.start(t))
	if isVerified {
		h.handler.Settings = Settings{Protocol: verifyingProtocol(), ResponseBufferBytes: 1 << 20, OmitProductHeaders: true}
	}
	return h
}

// checkNextCall sends the call that a copied response must not reach. With wantServed, it
// must be served; otherwise it may also be reported as possibly run.
func checkNextCall(t *testing.T, h *harness, ct *copyingTarget, wantServed bool) {
	t.Helper()
	var hints atomic.Int32
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { hints.Add(1); return nil },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/s/x", strings.NewReader(strings.Repeat("b", 200<<10)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "second")
	before := ct.runs.Load()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	isServed := err == nil && resp.StatusCode == http.StatusOK && string(body) == "own"
	if !isServed && (wantServed || resp.StatusCode != http.StatusBadGateway) {
		t.Errorf("response: got %d %q %v, want the target's own, or 502 if the copy was late", resp.StatusCode, body, err)
	}
	if got := ct.runs.Load() - before; got > 1 || isServed && got == 0 {
		t.Errorf("runs: got %d, want 1", got)
	}
	if got := hints.Load(); got != 0 {
		t.Errorf("early hints of another call: got %d, want 0", got)
	}
}

// Guards against a copy of the response to an attempt that is taken for that to the next
// attempt of the same call at the target. An unsafe call would run twice.
func TestCopyIsNotTakenForNextAttempt(t *testing.T) {
	tests := []struct {
		name, first string
		profile     profile.Profile
	}{
		{"refusal", refusalOfFirst, nonIdempotent()},
		{"failure", failureOfFirst, idempotent()},
	}
	for _, tt := range tests {
		for _, at := range []copyTime{inSameWrite, beforeNextRequest, afterNextRequest, duringNextBody} {
			t.Run(fmt.Sprint(tt.name, " ", at), func(t *testing.T) {
				ct := &copyingTarget{first: tt.first, second: tt.first, at: at}
				h := newCopyHarness(t, tt.profile, true, ct)
				resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "first")
				if err != nil || resp.StatusCode != http.StatusOK || body != "own" {
					t.Errorf("response: got %v %q %v, want the target's own", resp, body, err)
				}
				if got := ct.runs.Load(); got != 1 {
					t.Errorf("runs: got %d, want 1", got)
				}
			})
		}
	}
}
