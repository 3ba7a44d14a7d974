package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/target"
)

// errSpent is what a connection's transport gets when it wants to dial again.
var errRedial = eris.New("the connection is gone and may not be replaced under a request")

// ErrDenied says that the permit was refused right before the first byte.
var ErrDenied = eris.New("the permit to send was refused")

// link is the network connection under a Conn; it counts what goes out and
// notes when something comes in.
type trackedConn struct {
	net.Conn
	writtenBytes atomic.Int64
	lastReadAt   atomic.Int64
	onReadError  func()
	readFailed   atomic.Bool
}

// epoch anchors instants that are kept as numbers, on the monotonic clock.
var epoch = time.Now()

func (t *trackedConn) Write(b []byte) (n int, err error) {
	// Counted before: bytes handed over may leave even if the call fails.
	t.writtenBytes.Add(int64(len(b)))
	return t.Conn.Write(b)
}

func (t *trackedConn) Read(b []byte) (n int, err error) {
	n, err = t.Conn.Read(b)
	if n > 0 {
		t.lastReadAt.Store(int64(time.Since(epoch)))
	}
	if err != nil && t.readFailed.CompareAndSwap(false, true) {
		t.onReadError()
	}
	return n, err
}

// Conn is one connection to a target; it carries one request at a time.
type Conn struct {
	pool      *Pool
	netConn   *trackedConn
	transport *http.Transport
	instance  target.Instance
	idleSince time.Time
	isClosed  atomic.Bool
}

func newConn(p *Pool, nc net.Conn) *Conn {
	c := &Conn{pool: p}
	c.netConn = &trackedConn{Conn: nc, onReadError: c.handleReadError}
	var dialled atomic.Bool
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if !dialled.CompareAndSwap(false, true) {
				return nil, errRedial
			}
			return c.netConn, nil
		},
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     1,
		DisableCompression:  true,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
	}
	return c
}

// bufferSize is the size of a connection's buffers, in bytes.
const bufferSize = 4 << 10

// heardSince reports whether something came in at or after the given instant.
func (c *Conn) receivedSince(t time.Time) bool {
	return c.netConn.lastReadAt.Load() >= int64(t.Sub(epoch)) && c.netConn.lastReadAt.Load() != 0
}

// Instance is the process at the other end.
func (c *Conn) Instance() target.Instance {
	return c.instance
}

// Send writes one request and waits for the answer's headers. The permit is
// asked right before the first byte. Written tells whether any byte of the
// request may have gone out.
func (c *Conn) Send(req *http.Request, maySend func() bool) (resp *http.Response, written bool, err error) {
	writtenBefore := c.netConn.writtenBytes.Load()
	if maySend != nil && !maySend() {
		return nil, false, ErrDenied
	}
	resp, err = c.transport.RoundTrip(req)
	written = c.netConn.writtenBytes.Load() != writtenBefore
	return resp, written, err
}

// Release gives the connection back after the answer's body was read to its
// end, or closes it if reuse is not possible.
func (c *Conn) Release(reusable bool) {
	c.pool.put(c, reusable && !c.isClosed.Load())
}

// lost is called once when reading fails: the other end closed, or it broke.
func (c *Conn) handleReadError() {
	if c.isClosed.CompareAndSwap(false, true) {
		c.pool.removeFailed(c)
	}
}

func (c *Conn) close() {
	c.isClosed.Store(true)
	c.transport.CloseIdleConnections()
	c.netConn.Conn.Close()
}
