package entry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/reply"
	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/wire"
)

// ownFields are the field lines that make a response one to the call with the ID 7.
const ownFields = "X-Id: 7\r\nX-Proof: p\r\n"

// answeringTarget answers its first call with a text and all others with a whole response.
type answeringTarget struct {
	first replytest.Answer

	mu    sync.Mutex
	calls int
	// firstConn is the connection of the first call, and repeats is the number of further requests on
	// it, probes included.
	firstConn string
	repeats   int
}

func (at *answeringTarget) answer(r *http.Request) replytest.Answer {
	at.mu.Lock()
	defer at.mu.Unlock()
	if r.RemoteAddr == at.firstConn {
		at.repeats++
	}
	if r.URL.Path == wire.DefaultProtocol.LoadPath {
		return replytest.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + loadHeaders + "\r\n"}
	}
	at.calls++
	if at.calls > 1 {
		return replytest.Answer{Text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 5\r\n\r\nother"}
	}
	at.firstConn = r.RemoteAddr
	return at.first
}

// newAnsweringHarness returns a harness with one target.
func newAnsweringHarness(t *testing.T, p profile.Profile, at *answeringTarget) *harness {
	h := newHarness(t, p, replytest.Start(t, at.answer))
	h.handler.Settings = Settings{Protocol: verifyingProtocol(), ResponseBufferBytes: 1 << 20, OmitProductHeaders: true}
	return h
}

// failureReasons are the reasons for which the responses of attempts were broken.
type failureReasons []reply.Broken

func (fr *failureReasons) ObserveDecision(_ *dispatch.Call, d dispatch.Decision) {
	if d.Kind == dispatch.Failed {
		*fr = append(*fr, d.Broken)
	}
}

// Guards against bytes that are no response and reach the caller as one. Nothing is known of the run of
// such a call: a safe one gets the response of the next attempt, an unsafe one 502, and the connection is
// not used again.
func TestBrokenResponseIsNotForwarded(t *testing.T) {
	for _, sample := range replytest.Broken {
		for _, isSafe := range []bool{false, true} {
			p, wantStatus, wantBody, wantCalls := nonIdempotent(), http.StatusBadGateway, "unknown: answer-lost\n", 1
			if isSafe {
				p, wantStatus, wantBody, wantCalls = idempotent(), http.StatusOK, "other", 2
			}
			at := &answeringTarget{first: replytest.Answer{Text: sample.Text(ownFields)}}
			h := newAnsweringHarness(t, p, at)
			var reasons failureReasons
			h.handler.Dispatcher.Observer = &reasons
			resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
			if err != nil || resp.StatusCode != wantStatus || body != wantBody {
				t.Errorf("%s, safe %v: got %v %q (%v), want %d %q", sample.Name, isSafe, resp, body, err, wantStatus, wantBody)
			}
			if len(reasons) != 1 || reasons[0] != sample.Want {
				t.Errorf("%s, safe %v: reasons of failures: got %q, want %q", sample.Name, isSafe, reasons, sample.Want)
			}
			if _, _, err := h.do(t, http.MethodPost, "x", "X-Id", "7"); err != nil {
				t.Fatal(err)
			}
			at.mu.Lock()
			if at.repeats > 0 || at.calls != wantCalls+1 {
				t.Errorf("%s, safe %v: got %d calls and %d requests on the broken connection, want %d and 0", sample.Name, isSafe, at.calls, at.repeats, wantCalls+1)
			}
			at.mu.Unlock()
		}
	}
}

// Guards against a sound response that is taken for broken, or that reaches the caller changed.
func TestSoundResponseIsForwarded(t *testing.T) {
	for _, sample := range replytest.Sound {
		want, err := finalResponse(sample.Text(ownFields))
		if err != nil {
			t.Fatal(err)
		}
		wantBody, err := io.ReadAll(want.Body)
		if err != nil {
			t.Fatal(err)
		}
		at := &answeringTarget{first: replytest.Answer{Text: sample.Text(ownFields), End: replytest.Close}}
		h := newAnsweringHarness(t, nonIdempotent(), at)
		resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
		if err != nil || resp.StatusCode != want.StatusCode || body != string(wantBody) {
			t.Errorf("%s: got %v %q (%v), want %d %q", sample.Name, resp, body, err, want.StatusCode, wantBody)
			continue
		}
		for _, name := range []string{"X", "Y", "X-Proof", "!#$%&'*+-.^_`|~09azAZ"} {
			if got, want := resp.Header.Values(name), want.Header.Values(name); strings.Join(got, "|") != strings.Join(want, "|") {
				t.Errorf("%s: field %s: got %q, want %q", sample.Name, name, got, want)
			}
		}
		if got, want := resp.Trailer.Get("X-Sum"), want.Trailer.Get("X-Sum"); got != want {
			t.Errorf("%s: trailer: got %q, want %q", sample.Name, got, want)
		}
	}
}

// finalResponse returns the final response in a text.
func finalResponse(text string) (resp *http.Response, err error) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err = http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// Guards against bytes behind a whole response that decide by chance what becomes of it, or that are taken
// for the next response: the response is forwarded, and its connection is not used again.
func TestBytesBehindResponseEndConnection(t *testing.T) {
	const calls = 100
	whole := "HTTP/1.1 200 OK\r\n" + ownFields
	for _, tt := range []struct{ name, response string }{
		{"with a length", whole + "Content-Length: 5\r\n\r\nother"},
		{"in chunks", whole + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"},
	} {
		for _, behind := range []string{"x", strings.Repeat("x", 8<<10), "HTTP/1.1 503 Full\r\n" + ownFields + "Target-Refused: before-start\r\nContent-Length: 0\r\n\r\n"} {
			for _, count := range []int{0, -1} {
				address := replytest.Start(t, func(r *http.Request) replytest.Answer {
					if r.URL.Path == wire.DefaultProtocol.LoadPath {
						return replytest.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + loadHeaders + "\r\n"}
					}
					return replytest.Answer{Text: tt.response + behind, Piece: behind, Count: count}
				})
				h := newHarness(t, nonIdempotent(), address)
				h.handler.Settings = Settings{Protocol: verifyingProtocol(), ResponseBufferBytes: 1 << 20, OmitProductHeaders: true}
				wrong := 0
				for range calls {
					resp, body, err := h.do(t, http.MethodPost, "x", "X-Id", "7")
					if err != nil || resp.StatusCode != http.StatusOK || body != "other" {
						wrong++
					}
				}
				if wrong > 0 {
					t.Errorf("%s, %d bytes behind it, %d times more: got %d of %d calls without their response, want 0", tt.name, len(behind), count, wrong, calls)
				}
			}
		}
	}
}
