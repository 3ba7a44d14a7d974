package replyconn

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/apricotmount/apricotmount/reply"
)

// Conn is a client's connection to a server. Its reads and writes may be concurrent.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	scanner reply.Scanner

	// openWrites is the number of writes in progress.
	openWrites  atomic.Int32
	writeFailed atomic.Bool
}

// New returns a Conn over c, whose responses have at most maxLines field lines in a head or in trailers.
func New(c net.Conn, maxLines int) *Conn {
	return &Conn{Conn: c, scanner: reply.Scanner{MaxLines: maxLines}}
}

// Expect expects the response to a request with the method. It is called before the request is written.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin(method)
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.openWrites.Add(1)
	defer c.openWrites.Add(-1)
	n, err = c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Err returns a reply.Broken, why the connection must not be used for another request, or nil.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}

// Read reads from the connection. It returns a reply.Broken for bytes that are no response, and in place
// of io.EOF unless the server has ended the stream in order. Bytes behind a response are left out, and
// make Err return an error.
func (c *Conn) Read(b []byte) (n int, err error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	received, err := c.Conn.Read(b)
	n, brokenErr := c.scan(b[:received])
	if brokenErr != nil {
		return 0, brokenErr
	}
	if n < received {
		return n, nil
	}
	if err == io.EOF {
		if endErr := c.scanEnd(); endErr != nil {
			err = endErr
		}
	}
	return n, err
}

// scan scans the bytes that were read, and returns how many belong to a response.
func (c *Conn) scan(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Scan(b)
}

// scanEnd scans the end of the stream.
func (c *Conn) scanEnd() error {
	end := c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.End(end)
}

// end returns what is known of the connection at the end of its stream.
func (c *Conn) end() (e reply.End) {
	// In this order: a write that ends between the two has set writeFailed.
	e.IsWriting = c.openWrites.Load() > 0
	e.WriteFailed = c.writeFailed.Load()
	if e.IsWriting || e.WriteFailed {
		e.State = connState(c.Conn)
	}
	return e
}
