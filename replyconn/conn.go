package replyconn

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/reply"
)

// ErrUnprovedEnd is returned by a read at the end of the stream if the connection may have been reset.
var ErrUnprovedEnd = eris.New("the connection ended, and may have been reset")

// Conn is a client's connection to a server. Its reads and writes may be concurrent.
type Conn struct {
	net.Conn
	// openWrites is the number of writes in progress.
	openWrites  atomic.Int32
	writeFailed atomic.Bool
}

// New returns a Conn over c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

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

// Read reads from the connection. It returns ErrUnprovedEnd in place of io.EOF unless the server has
// ended the stream in order.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if err == io.EOF && !c.end().IsProved() {
		err = ErrUnprovedEnd
	}
	return n, err
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
