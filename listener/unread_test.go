package listener

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// A request arrives on a kept connection right before the stop, and the process has not had a
// moment to read it. It must be answered all the same.
func TestRequestNotReadYetIsAnsweredInStop(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s, err := Serve("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	r := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := conn.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		if i == 1 {
			// Nothing else runs between the write and the stop.
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := s.Drain(ctx); err != nil {
				t.Errorf("drain: got error %v, want none", err)
			}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: got error %v, want a response", i, err)
		}
		resp.Body.Close()
		if got, want := resp.Close, i == 1; got != want {
			t.Errorf("response %d announces the end of its connection: got %t, want %t", i, got, want)
		}
		// Let the server wait for the next request.
		time.Sleep(10 * time.Millisecond)
	}
}
