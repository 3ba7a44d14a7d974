package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
)

// callOverNewConn sends one call over a connection of its own. sent reports whether the
// connection was established and the whole call was written.
func callOverNewConn(address, id string) (sent bool, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nConnection: close\r\n\r\n", platform.RequestIDHeader, id); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return true, err
}

// Callers keep opening connections while a node stops, to the last moment. Once a
// connection is established and its call is written, the call must get a response.
func TestStopAnswersCallsOfLastConnections(t *testing.T) {
	c := newStartedCluster(t, 1)
	address := c.settings[0].CallerAddress
	var mu sync.Mutex
	var answered int
	var cut []error
	var callers sync.WaitGroup
	for caller := range 24 {
		callers.Go(func() {
			for i := 0; ; i++ {
				sent, err := callOverNewConn(address, fmt.Sprint("last-", caller, "-", i))
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				mu.Lock()
				if err == nil {
					answered++
				} else if sent {
					cut = append(cut, err)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.nodes[0].Stop(t.Context())
	callers.Wait()
	if answered == 0 {
		t.Error("calls answered: got none, want many")
	}
	if len(cut) > 0 {
		t.Errorf("calls cut off: got %d of %d, first %v, want none", len(cut), answered+len(cut), cut[0])
	}
}
