package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// names has the characters of header names that differ in more than their case.
const names = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// headerName returns the i-th of the shortest names that differ.
func headerName(i int) string {
	if i < len(names) {
		return names[i : i+1]
	}
	return headerName(i/len(names)-1) + names[i%len(names):i%len(names)+1]
}

// requestStart returns the request line and the ordinary headers of a request.
func requestStart(path string, i int) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Apricotmount-Attempt-Id: crowd-%d\r\nX-Apricotmount-Deadline-Ms: 4000\r\n", path, i)
}

// withShortLines appends lines that are as short as they get, each with a new name, until the
// head without its last line is as long as the limit lets it be.
func withShortLines(start string, limit int) string {
	var b strings.Builder
	b.WriteString(start)
	for i := 0; ; i++ {
		line := headerName(i) + ":\n"
		if b.Len()+len(line) > limit-len("\n") {
			return b.String()
		}
		b.WriteString(line)
	}
}

// withOneName appends lines of the same name.
func withOneName(start string, limit int) string {
	return start + strings.Repeat("a:\n", (limit-len(start)-1)/len("a:\n"))
}

// client is what a client sends: a start, and then a piece a number of times.
type client struct {
	start, piece string
	count        int
}

// crowd is a number of connections that stay open until the test ends.
type crowd struct {
	conns []net.Conn
	sent  sync.WaitGroup
}

// open connects clients to an address; each begins to send.
func open(t *testing.T, address string, size int, newClient func(i int) client) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	for i := range size {
		conn, err := net.DialTimeout("tcp", address, answerTimeout)
		if err != nil {
			// A port that is full may refuse clients.
			continue
		}
		c.conns = append(c.conns, conn)
		go io.Copy(io.Discard, conn)
		c.sent.Go(func() { newClient(i).send(conn) })
	}
	return c
}

// send writes until everything is sent or the connection ends.
func (c client) send(conn net.Conn) {
	conn.SetWriteDeadline(time.Now().Add(answerTimeout / 2))
	if _, err := io.WriteString(conn, c.start); err != nil {
		return
	}
	for range c.count {
		if _, err := io.WriteString(conn, c.piece); err != nil {
			return
		}
	}
}

// hold waits until everything is sent and received.
func (c *crowd) hold() {
	c.sent.Wait()
	time.Sleep(holdTime)
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}
