package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/wire"
)

// uploadTarget is a target that passes the headers of each call to serve, which reads the
// body from br itself and writes the response to c.
func uploadTarget(t *testing.T, serve func(c net.Conn, r *http.Request, br *bufio.Reader)) (address string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	address = replytest.StartRaw(t, func(c *net.TCPConn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path == wire.DefaultProtocol.LoadPath {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+loadHeaders+"\r\n")
				continue
			}
			calls.Add(1)
			serve(c, r, br)
			return
		}
	})
	return address, calls
}

// newUploadHarness returns a harness with a short replay buffer, so that longer bodies
// are streamed.
func newUploadHarness(t *testing.T, addresses ...string) *harness {
	h := newHarness(t, nonIdempotent(), addresses...)
	h.handler.Settings.ReplayBufferBytes = 1 << 10
	return h
}

const refusalResponse = "HTTP/1.1 503 Full\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n"

// A body that is longer than the replay buffer must reach the target while it arrives: the
// caller sends its second half only after the target has received the first.
func TestUploadFlowsWhileItArrives(t *testing.T) {
	const half = 256 << 10
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			firstHalf := make(chan struct{})
			address, calls := uploadTarget(t, func(c net.Conn, r *http.Request, _ *bufio.Reader) {
				io.CopyN(io.Discard, r.Body, half)
				close(firstHalf)
				n, _ := io.Copy(io.Discard, r.Body)
				body := fmt.Sprint(half + n)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			})
			h := newUploadHarness(t, address)
			pr, pw := io.Pipe()
			go func() {
				pw.Write(make([]byte, half))
				select {
				case <-firstHalf:
					pw.Write(make([]byte, half))
				case <-time.After(3 * time.Second):
				}
				pw.Close()
			}()
			req, err := http.NewRequest(http.MethodPost, h.server.URL+"/s/x", pr)
			if err != nil {
				t.Fatal(err)
			}
			if !chunked {
				req.ContentLength = 2 * half
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, _ := io.ReadAll(resp.Body)
			if want := fmt.Sprint(2 * half); resp.StatusCode != 200 || string(got) != want {
				t.Errorf("response: got %d %q, want 200 %q", resp.StatusCode, got, want)
			}
			if got := calls.Load(); got != 1 {
				t.Errorf("sends: got %d, want 1", got)
			}
		})
	}
}

// A target refuses an upload before or after it has read a part. The refusal proves that
// the call has not run, so the caller gets it as such; the body is consumed, so it must
// not be sent to another target.
func TestRefusedUploadIsNotRunAndNotSentAgain(t *testing.T) {
	for _, read := range []int64{0, 64 << 10} {
		t.Run(fmt.Sprint("after ", read, " bytes"), func(t *testing.T) {
			refuse := func(c net.Conn, r *http.Request, br *bufio.Reader) {
				io.CopyN(io.Discard, r.Body, read)
				io.WriteString(c, refusalResponse)
				io.Copy(io.Discard, br)
			}
			a, callsA := uploadTarget(t, refuse)
			b, callsB := uploadTarget(t, refuse)
			h := newUploadHarness(t, a, b)
			resp, _, err := h.do(t, http.MethodPost, strings.Repeat("u", 1<<20))
			if err != nil {
				t.Fatal(err)
			}
			checkOutcome(t, resp, outcome.NotRun, outcome.TargetsRefused)
			if resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("status: got %d, want 503", resp.StatusCode)
			}
			if got := callsA.Load() + callsB.Load(); got != 1 {
				t.Errorf("sends: got %d, want 1", got)
			}
		})
	}
}

// A body within the replay buffer can be sent again whole: a refusal by one target leads
// to the next.
func TestRefusedShortUploadIsSentToAnotherTarget(t *testing.T) {
	var refused atomic.Bool
	serve := func(c net.Conn, r *http.Request, _ *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r.Body)
		if refused.CompareAndSwap(false, true) {
			io.WriteString(c, refusalResponse)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%4d", n)
	}
	a, _ := uploadTarget(t, serve)
	b, _ := uploadTarget(t, serve)
	h := newUploadHarness(t, a, b)
	resp, body, err := h.do(t, http.MethodPost, strings.Repeat("u", 1000))
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 200 || body != "1000" {
		t.Errorf("response: got %d %q, want 200 with the 1000 bytes received", resp.StatusCode, body)
	}
}

// A target answers an upload early with a response of its own and stops reading. The
// caller must get that response, and the call must not be sent again.
func TestEarlyResponseToUploadIsForwarded(t *testing.T) {
	address, calls := uploadTarget(t, func(c net.Conn, r *http.Request, br *bufio.Reader) {
		io.CopyN(io.Discard, r.Body, 4<<10)
		io.WriteString(c, "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nlarge")
		time.Sleep(50 * time.Millisecond)
	})
	h := newUploadHarness(t, address)
	resp, body, err := h.do(t, http.MethodPost, strings.Repeat("u", 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestEntityTooLarge || body != "large" {
		t.Errorf("response: got %d %q, want the target's 413", resp.StatusCode, body)
	}
	if got := calls.Load(); got != 1 {
		t.Errorf("sends: got %d, want 1", got)
	}
}

// A caller leaves in the middle of an upload. The target must see its connection end
// within half a second, before a whole body, and the call must not be sent again.
func TestCallerLeavesDuringUpload(t *testing.T) {
	for _, size := range []int64{600, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			ended := make(chan error, 1)
			address, calls := uploadTarget(t, func(_ net.Conn, r *http.Request, _ *bufio.Reader) {
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
			h := newUploadHarness(t, address)
			ctx, cancel := context.WithCancel(t.Context())
			pr, pw := io.Pipe()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/s/x", pr)
			if err != nil {
				t.Fatal(err)
			}
			req.ContentLength = size
			go func() {
				pw.Write(make([]byte, size/2))
				time.Sleep(50 * time.Millisecond)
				cancel()
				pw.CloseWithError(context.Canceled)
			}()
			if _, err := http.DefaultTransport.RoundTrip(req); err == nil {
				t.Error("error: got none, want the caller's own cancellation")
			}
			isStreamed := size > h.handler.Settings.ReplayBufferBytes
			select {
			case err := <-ended:
				if err == nil || !isStreamed {
					t.Errorf("body at the target: got %v, want it broken off, streamed only", err)
				}
			case <-time.After(500 * time.Millisecond):
				if isStreamed {
					t.Error("target: got no end of the body, want one within 500 ms")
				}
			}
			if got := calls.Load(); got > 1 {
				t.Errorf("sends: got %d, want at most 1", got)
			}
		})
	}
}

// A caller that expects 100-continue sends its body only after that response.
func TestUploadWithExpectContinue(t *testing.T) {
	address, _ := uploadTarget(t, func(c net.Conn, r *http.Request, _ *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r.Body)
		// uploadTarget closes the connection, so the answer must say so: the next upload
		// could be sent on it otherwise.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 7\r\n\r\n%7d", n)
	})
	h := newUploadHarness(t, address)
	for _, size := range []int{500, 1 << 20} {
		c, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", size)
		br := bufio.NewReader(c)
		line, err := br.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
			t.Fatalf("%d bytes: got %q %v, want 100 Continue", size, line, err)
		}
		br.ReadString('\n')
		io.WriteString(c, strings.Repeat("u", size))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("%7d", size); resp.StatusCode != 200 || string(got) != want {
			t.Errorf("%d bytes: got %d %q, want 200 %q", size, resp.StatusCode, got, want)
		}
	}
}

// A target that drops a kept connection, on which the next upload has begun, may have run it.
// The upload must be reported as unknown, and not sent again.
func TestUploadOnDroppedConnectionIsUnknown(t *testing.T) {
	address, calls := uploadTarget(t, func(c net.Conn, r *http.Request, _ *bufio.Reader) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	})
	h := newUploadHarness(t, address)
	for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
		resp, body, err := h.do(t, http.MethodPost, strings.Repeat("u", 1<<20))
		if err != nil || resp.StatusCode != want {
			t.Fatalf("upload %d: got %v %q %v, want %d", i, resp, body, err, want)
		}
	}
	if got := calls.Load(); got != 1 {
		t.Errorf("uploads that the target read: got %d, want 1", got)
	}
}

// Many uploads are open at once. Together they must not buffer more than the node has
// memory for: the rest is streamed, and when they have ended bodies are buffered again.
func TestOpenUploadsShareBufferSpace(t *testing.T) {
	const (
		size    = 1 << 10
		uploads = 12
		total   = 4 * size
	)
	release := make(chan struct{})
	address, calls := uploadTarget(t, func(c net.Conn, r *http.Request, _ *bufio.Reader) {
		io.Copy(io.Discard, r.Body)
		<-release
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	h := newHarness(t, nonIdempotent(), address)
	h.table.SetService(service.Service{Name: "s", Slots: uploads})
	h.handler.Settings = Settings{ReplayBufferBytes: size, BodySpace: &intake.Space{Limit: total}}
	var done sync.WaitGroup
	for range uploads {
		done.Go(func() {
			if resp, _, err := h.do(t, http.MethodPost, strings.Repeat("u", size)); err != nil || resp.StatusCode != 200 {
				t.Errorf("upload: got %v, want 200", err)
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); calls.Load() < uploads && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if got := h.handler.Settings.BodySpace.Used(); got > total || calls.Load() < uploads {
		t.Errorf("with %d uploads open: got %d bytes buffered, want at most %d for %d", calls.Load(), got, total, uploads)
	}
	close(release)
	done.Wait()
	if got := h.handler.Settings.BodySpace.Used(); got != 0 {
		t.Errorf("after the uploads: got %d bytes buffered, want none", got)
	}
}
