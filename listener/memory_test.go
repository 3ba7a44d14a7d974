//go:build !race

// The race detector adds memory of its own to all that is measured here.

package listener

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/intake"
)

// A connection whose request is being served, with a head that needs no room in the budget, must
// take no more than intake.ConnectionBytes: the number of connections follows from it.
func TestConnectionTakesNoMoreThanItsShare(t *testing.T) {
	const count = 300
	s := startLimited(t, Intake{Budget: intake.NewBudget(1 << 20)})
	memory := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	head := "GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 20) + "\r\n"
	for _, text := range []string{head, "GET /wait HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", intake.FreeBytes-100)} {
		before := memory()
		var conns []net.Conn
		for range count {
			conn := dial(t, s)
			io.WriteString(conn, text)
			conns = append(conns, conn)
		}
		time.Sleep(200 * time.Millisecond)
		got := (memory() - before) / count
		t.Logf("memory of a connection: %d bytes", got)
		if got > intake.ConnectionBytes {
			t.Errorf("memory of a connection with %.20q: got %d bytes, want at most %d", text, got, intake.ConnectionBytes)
		}
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// BenchmarkRequest measures a request of ordinary size on a kept connection.
func BenchmarkRequest(b *testing.B) {
	s, err := Serve("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	response := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, "GET /a/b HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 3000\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(response); err != nil {
			b.Fatal(err)
		}
	}
}
