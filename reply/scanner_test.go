package reply_test

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/reply"
	"github.com/apricotmount/apricotmount/reply/replytest"
)

const (
	ok        = "HTTP/1.1 200 OK\r\n"
	okChunked = ok + "Transfer-Encoding: chunked\r\n"
)

// scan scans a text in pieces of a length. It returns how many bytes belong to the response.
func scan(s *reply.Scanner, text string, pieceLength int) (n int, err error) {
	for n < len(text) && err == nil && s.IsExpecting() {
		taken := 0
		taken, err = s.Scan([]byte(text[n:min(len(text), n+pieceLength)]))
		n += taken
	}
	return n, err
}

// readInterim reads the interim responses before a final one, as net/http's transport does.
func readInterim(r *bufio.Reader, method string) (resp *http.Response, err error) {
	for {
		resp, err = http.ReadResponse(r, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// readBytes returns the number of bytes of a text that net/http reads as a response.
func readBytes(text, method string) (n int, err error) {
	r := bufio.NewReaderSize(strings.NewReader(text), len(text)+16)
	resp, err := readInterim(r, method)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	rest, err := io.ReadAll(r)
	return len(text) - len(rest), err
}

// Guards against a response that a server may send and that is taken for broken, and against another
// end than that of net/http.
func TestSoundResponseIsAccepted(t *testing.T) {
	for _, tt := range replytest.Sound {
		for _, method := range []string{"GET", "HEAD"} {
			whole := tt.Text("")
			text := whole + tt.Behind
			want, err := readBytes(text, method)
			if err != nil {
				t.Fatalf("%s, %s: net/http: got %v, want it accepted", tt.Name, method, err)
			}
			if method == "GET" && want != len(whole) {
				t.Fatalf("%s: net/http: got an end at %d, want %d", tt.Name, want, len(whole))
			}
			for _, length := range []int{1, 2, 7, len(text)} {
				var s reply.Scanner
				s.Begin(method)
				if got, err := scan(&s, text, length); got != want || err != nil {
					t.Errorf("%s, %s, in pieces of %d: got an end at %d (%v), want %d", tt.Name, method, length, got, err, want)
				}
			}
		}
	}
}

// Guards against bytes that are no response, and that net/http accepts or mends.
func TestBrokenResponseIsRejected(t *testing.T) {
	for _, tt := range replytest.Broken {
		text := tt.Text("")
		for _, length := range []int{1, 2, 7, len(text)} {
			var s reply.Scanner
			s.Begin("GET")
			if _, err := scan(&s, text, length); !errors.Is(err, tt.Want) {
				t.Errorf("%s, in pieces of %d: got %v, want %v", tt.Name, length, err, tt.Want)
			}
			if _, err := s.Scan([]byte(ok)); !errors.Is(err, tt.Want) {
				t.Errorf("%s: bytes behind it: got %v, want %v", tt.Name, err, tt.Want)
			}
		}
	}
}

// Guards against a response that ends elsewhere than for net/http: what follows would be taken for the
// next response. Pieces of sound and broken responses are drawn and put together.
func TestResponseEndsWhereClientEndsIt(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 7))
	pieces := []string{
		ok, "HTTP/1.0 200 OK\r\n", "HTTP/1.1 103 Hints\r\n", "HTTP/1.1 204 None\r\n", "HTTP/1.1 304 Same\r\n", "X: a\r\n", "X: a\n", "Content-Length: 5\r\n", "Content-Length: 0\r\n",
		"Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Trailer: X\r\n", "\r\n", "\r\n", "\n", "\r", " ", "\t", ":", "\x00", "5\r\nwhole\r\n", "5;a\r\nwhole\r\n", "0\r\n", "0\r\n\r\n", "whole",
	}
	accepted := 0
	for range 100_000 {
		method := []string{"GET", "HEAD"}[r.IntN(2)]
		var b strings.Builder
		b.WriteString(pieces[r.IntN(5)])
		for range 1 + r.IntN(7) {
			b.WriteString(pieces[r.IntN(len(pieces))])
		}
		text := b.String()
		var s reply.Scanner
		s.Begin(method)
		got, err := scan(&s, text, 1+r.IntN(20))
		if err != nil {
			continue
		}
		want, err := readBytes(text, method)
		if err != nil && s.IsExpecting() {
			// The response breaks off.
			continue
		}
		accepted++
		if err != nil || got != want {
			t.Fatalf("%s %q: got an end at %d, want %d (%v) as for net/http", method, text, got, want, err)
		}
	}
	if accepted < 5000 {
		t.Errorf("responses accepted: got %d, want 5000 or more", accepted)
	}
}

// A response with very many field lines takes many times its bytes in memory. Those of interim
// responses, of earlier responses and of bodies do not count.
func TestResponseWithManyLinesIsRejected(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\nLink: b\r\n\r\n"
	head := func(lines int) string { return ok + strings.Repeat("a:\n", lines) }
	tests := []struct {
		name, text string
		want       error
	}{
		{"at the limit", head(4) + "\r\n", nil},
		{"beyond the limit", head(5) + "\r\n", reply.TooManyLines},
		{"without end", head(100), reply.TooManyLines},
		{"lines of the body", head(4) + "\r\n" + strings.Repeat("line\n", 100), nil},
		{"behind interim responses", hints + hints + head(4) + "\r\nbody\n\nline\nline\nline\nline\nline\n", nil},
		{"too many behind an interim response", hints + head(5), reply.TooManyLines},
		{"trailers at the limit", okChunked + "\r\n0\r\n" + strings.Repeat("a:\n", 4) + "\r\n", nil},
		{"too many trailers", okChunked + "\r\n0\r\n" + strings.Repeat("a:\n", 5), reply.TooManyLines},
	}
	for _, tt := range tests {
		for _, length := range []int{1, 3, len(tt.text)} {
			s := reply.Scanner{MaxLines: 4}
			for range 2 {
				s.Begin("GET")
				if _, got := scan(&s, tt.text, length); got != tt.want {
					t.Errorf("%s, in pieces of %d bytes: got %v, want %v", tt.name, length, got, tt.want)
				}
			}
		}
	}
}

// A server switches to another protocol only where the client has asked for that.
func TestUpgradeIsAcceptedWhereAllowed(t *testing.T) {
	const text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n\x81\x00\x00HTTP"
	s := reply.Scanner{AllowUpgrade: true}
	s.Begin("GET")
	if got, err := scan(&s, text, len(text)); got != len(text) || err != nil {
		t.Errorf("bytes accepted: got %d (%v), want all %d", got, err, len(text))
	}
}

// A line without end must take no memory, and a response no allocation.
func TestScanDoesNotAllocate(t *testing.T) {
	response := []byte(ok + "Content-Length: 5\r\n\r\nwhole")
	endless := []byte(strings.Repeat("x", 4096))
	var s reply.Scanner
	if got := testing.AllocsPerRun(100, func() {
		s.Begin("GET")
		_, _ = s.Scan(response)
		s.Begin("GET")
		_, _ = s.Scan([]byte(ok))
		for range 100 {
			_, _ = s.Scan(endless)
		}
	}); got > 0 {
		t.Errorf("allocations: got %.0f, want 0", got)
	}
}

// BenchmarkScan is the cost of a response with ordinary headers.
func BenchmarkScan(b *testing.B) {
	response := []byte(ok + "Date: Mon, 07 Dec 2026 06:00:00 GMT\r\nContent-Type: application/json\r\nX-Apricotmount-Attempt-Id: 9c41d07be2a35f68\r\nX-Apricotmount-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Apricotmount-Server-Load: 3,0,8,100\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("b", 1024))
	b.ReportAllocs()
	b.SetBytes(int64(len(response)))
	var s reply.Scanner
	for range b.N {
		s.Begin("GET")
		if n, err := s.Scan(response); n != len(response) || err != nil {
			b.Fatal(n, err)
		}
	}
}

// Guards against bytes behind a response that are taken for the next one, or that break the response
// itself.
func TestBytesBehindResponseEndUse(t *testing.T) {
	for _, tt := range replytest.Sound {
		whole := tt.Text("")
		if tt.Behind == "" {
			continue
		}
		var s reply.Scanner
		s.Begin("GET")
		n, err := s.Scan([]byte(whole + tt.Behind))
		if n != len(whole) || err != nil {
			t.Errorf("%s: got %d bytes (%v), want the %d of the response", tt.Name, n, err, len(whole))
		}
		s.Begin("GET")
		if n, err := s.Scan([]byte(whole)); n != 0 || !errors.Is(err, reply.Unsolicited) {
			t.Errorf("%s: next response: got %d bytes (%v), want %v", tt.Name, n, err, reply.Unsolicited)
		}
	}
}
