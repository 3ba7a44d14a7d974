package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/intake"
)

// startLimited serves requests with bounds: each response has the path and the body of its request.
// Requests to /wait end when their callers leave.
func startLimited(t *testing.T, in Intake) *Server {
	t.Helper()
	s, err := ServeLimited("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/wait" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, "%s %s %d %s", r.Method, r.URL.Path, len(r.Header), body)
	})}, in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// limits returns a function that returns limits.
func limits(l intake.Limits) func() intake.Limits { return func() intake.Limits { return l } }

// readResponse returns the status and body of the next response; zero if there is none.
func readResponse(r *bufio.Reader) (status int, body string) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// Requests must be read as sent, whichever pieces they arrive in, and however they follow each
// other on a connection.
func TestRequestsInPiecesAreReadAsSent(t *testing.T) {
	s := startLimited(t, Intake{Budget: intake.NewBudget(1 << 20)})
	long := "x" + strings.Repeat("y", 6000)
	requests := "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n" +
		"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5;e=1\r\nab\n\nc\r\n0\r\nT: 1\r\n\r\n" +
		"GET /4 HTTP/1.1\nHost: h\nA: " + long + "\n\n" +
		fmt.Sprintf("POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long) +
		"GET /6 HTTP/1.1\r\nHost: h\r\n\r\n"
	want := []string{"GET /1 0 ", "POST /2 1 \r\n\r\n", "POST /3 0 ab\n\nc", "GET /4 1 ", "POST /5 1 " + long, "GET /6 0 "}
	for _, size := range []int{1, 7, 100, 4096, len(requests)} {
		conn := dial(t, s)
		go func() {
			for rest := requests; rest != ""; rest = rest[min(size, len(rest)):] {
				if _, err := io.WriteString(conn, rest[:min(size, len(rest))]); err != nil {
					return
				}
			}
		}()
		r := bufio.NewReader(conn)
		for i := range want {
			if status, got := readResponse(r); status != http.StatusOK || got != want[i] {
				t.Fatalf("pieces of %d bytes: response %d: got %d %.80q, want %.80q", size, i, status, got, want[i])
			}
		}
	}
}

// A client that breaks a limit must be able to read why, though it goes on sending.
func TestRefusalsCanBeRead(t *testing.T) {
	const start = "GET / HTTP/1.1\r\nHost: h\r\n"
	line := strings.Repeat("a:\r\n", 1000)
	tests := []struct {
		name, send string
		limits     intake.Limits
		budget     int64
		want       int
	}{
		{"head too long", start + strings.Repeat(line, 10), intake.Limits{HeadBytes: 1000}, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{"line too long", start + "a: " + strings.Repeat("x", 100_000), intake.Limits{HeadBytes: 1000}, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{"head too slow", start, intake.Limits{HeadTime: 50 * time.Millisecond}, 1 << 20, http.StatusRequestTimeout},
		{"empty line only", "\r\n", intake.Limits{HeadTime: 50 * time.Millisecond}, 1 << 20, http.StatusRequestTimeout},
		{"empty lines without end", strings.Repeat("\r\n", 1000), intake.Limits{}, 1 << 20, http.StatusBadRequest},
		{"head larger than the memory for all", start + strings.Repeat(line, 10), intake.Limits{}, 10 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"head within the limits", start + line[:400] + "\r\n", intake.Limits{HeadBytes: 1000}, 1 << 20, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startLimited(t, Intake{Limits: limits(tt.limits), Budget: intake.NewBudget(tt.budget)})
			for _, isKept := range []bool{false, true} {
				conn := dial(t, s)
				r := bufio.NewReader(conn)
				if isKept {
					io.WriteString(conn, start+"\r\n")
					if status, body := readResponse(r); status != http.StatusOK {
						t.Fatalf("first request: got %d %q, want 200", status, body)
					}
				}
				// What is left unread must not reset the connection.
				io.WriteString(conn, tt.send)
				time.Sleep(20 * time.Millisecond)
				if got, body := readResponse(r); got != tt.want {
					t.Errorf("on a kept connection %t: got %d %q, want %d", isKept, got, body, tt.want)
				}
			}
		})
	}
}

// A client that was refused may send the rest of what it had begun: a reset on the way would take the
// refusal from it.
func TestRefusedClientIsNotReset(t *testing.T) {
	s := startLimited(t, Intake{Limits: limits(intake.Limits{HeadBytes: 1000})})
	conn := dial(t, s)
	for i := range 5 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 5000)); err != nil {
			t.Fatalf("piece %d: got %v, want it taken", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status, body := readResponse(bufio.NewReader(conn)); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("response: got %d %q, want 431", status, body)
	}
}

// A head behind a request or its body is bounded as the first one is, though it arrives with them.
func TestHeadBehindRequestIsBounded(t *testing.T) {
	s := startLimited(t, Intake{Limits: limits(intake.Limits{HeadBytes: 1000}), Budget: intake.NewBudget(1 << 20)})
	const long = "GET /2 HTTP/1.1\r\nHost: h\r\nA: "
	for _, first := range []string{
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		conn := dial(t, s)
		io.WriteString(conn, first+long+strings.Repeat("x", 2000)+"\r\n\r\n")
		r := bufio.NewReader(conn)
		if status, body := readResponse(r); status != http.StatusOK {
			t.Errorf("%.4s: first request: got %d %q, want 200", first, status, body)
		}
		if status, body := readResponse(r); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%.4s: head behind it: got %d %.40q, want 431", first, status, body)
		}
	}
}

// Complete heads of many lines are served until their memory is spent; then they are refused as not
// run, while ordinary ones are served.
func TestHeadsBeyondBudgetAreRefused(t *testing.T) {
	s := startLimited(t, Intake{Budget: intake.NewBudget(1 << 20)})
	dear := strings.Repeat("a:\n", 1500) + "\n"
	waiting := dial(t, s)
	io.WriteString(waiting, "GET /wait HTTP/1.1\r\nHost: h\r\n"+dear)
	time.Sleep(50 * time.Millisecond)
	for _, tt := range []struct {
		head string
		want int
	}{{dear, http.StatusServiceUnavailable}, {"\r\n", http.StatusOK}} {
		conn := dial(t, s)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+tt.head)
		if got, body := readResponse(bufio.NewReader(conn)); got != tt.want {
			t.Errorf("head of %d bytes: got %d %q, want %d", len(tt.head), got, body, tt.want)
		}
	}
	waiting.Close()
	conn := dial(t, s)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+dear)
	if got, body := readResponse(bufio.NewReader(conn)); got != http.StatusOK {
		t.Errorf("head after the others have left: got %d %q, want 200", got, body)
	}
}

// Connections that are kept idle must not take all that a port may have.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	s := startLimited(t, Intake{MaxConnections: 8, Limits: limits(intake.Limits{IdleTime: time.Hour})})
	for i := range 20 {
		conn := dial(t, s)
		if status, err := request(conn, "/"); err != nil || status != http.StatusOK {
			t.Fatalf("connection %d: got %d %v, want 200", i, status, err)
		}
	}
}

// A connection whose request is served for longer than connections may be idle does not give way.
func TestServedRequestDoesNotGiveWay(t *testing.T) {
	s := startLimited(t, Intake{MaxConnections: 1, Limits: limits(intake.Limits{IdleTime: time.Millisecond})})
	serving := dial(t, s)
	io.WriteString(serving, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	if _, err := request(dial(t, s), "/"); err == nil {
		t.Error("second connection: got a response, want it closed")
	}
	serving.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := serving.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("first connection: got %v, want it open", err)
	}
}

// A limit that was raised while a head is received applies to it; one that was lowered does not.
func TestHeadKeepsToLimitsOfItsStart(t *testing.T) {
	var current atomic.Pointer[intake.Limits]
	s := startLimited(t, Intake{Limits: func() intake.Limits { return *current.Load() }, Budget: intake.NewBudget(1 << 20)})
	for _, change := range [][2]int64{{1000, 5000}, {5000, 1000}} {
		current.Store(&intake.Limits{HeadBytes: change[0]})
		conn := dial(t, s)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: b")
		time.Sleep(50 * time.Millisecond)
		current.Store(&intake.Limits{HeadBytes: change[1]})
		io.WriteString(conn, strings.Repeat("x", 3000)+"\r\n\r\n")
		if status, body := readResponse(bufio.NewReader(conn)); status != http.StatusOK {
			t.Errorf("limit changed from %d to %d: got %d %q, want 200", change[0], change[1], status, body)
		}
	}
}

// A head that begins when its connection has nearly been idle for as long as it may was cut off at
// that time.
func TestHeadOnIdleConnectionIsNotCutOff(t *testing.T) {
	s := startLimited(t, Intake{})
	conn := dial(t, s)
	r := bufio.NewReader(conn)
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	io.WriteString(conn, head+"\r\n")
	if status, body := readResponse(r); status != http.StatusOK {
		t.Fatalf("first request: got %d %q, want 200", status, body)
	}
	io.WriteString(conn, head)
	time.Sleep(drainedHeadAge + 100*time.Millisecond)
	s.CloseIdle(time.Now().Add(time.Hour), time.Second)
	io.WriteString(conn, "\r\n")
	if status, body := readResponse(r); status != http.StatusOK {
		t.Errorf("second request: got %d %q, want 200", status, body)
	}
}

// The handler of a request must learn that its caller has left, also behind a body.
func TestHandlerEndsWhenCallerLeaves(t *testing.T) {
	for _, request := range []string{"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
		s := startLimited(t, Intake{})
		conn := dial(t, s)
		io.WriteString(conn, request)
		time.Sleep(50 * time.Millisecond)
		conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Drain(ctx); err != nil {
			t.Errorf("%.4s: drain: got %v, want the request to end with its connection", request, err)
		}
	}
}

// When a port has all its connections, those without a request give way, and then unfinished
// heads; a request that is being served does not.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	const limit = 4
	s := startLimited(t, Intake{MaxConnections: limit, Limits: limits(intake.Limits{IdleTime: time.Hour})})
	open := func(text string) net.Conn {
		conn := dial(t, s)
		io.WriteString(conn, text)
		time.Sleep(30 * time.Millisecond)
		return conn
	}
	isClosed := func(conn net.Conn) bool {
		conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	const waiting = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	idle := open("")
	if status, err := request(idle, "/"); err != nil || status != http.StatusOK {
		t.Fatalf("first connection: got %d %v, want 200", status, err)
	}
	serving, unfinished, unused := open(waiting), open("GET / HTTP/1.1\r\n"), open("")
	fifth := open(waiting)
	if !isClosed(unused) || isClosed(unfinished) || isClosed(idle) || isClosed(serving) {
		t.Error("fifth connection: want it in place of the unused one only")
	}
	sixth := open(waiting)
	if !isClosed(unfinished) || isClosed(idle) || isClosed(serving) || isClosed(fifth) {
		t.Error("sixth connection: want it in place of the unfinished head only")
	}
	if last := open(waiting); !isClosed(last) || isClosed(idle) || isClosed(serving) || isClosed(fifth) || isClosed(sixth) {
		t.Error("seventh connection: want it closed, as the others may be in use")
	}
}
