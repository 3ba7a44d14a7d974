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
var errSpent = eris.New("the connection is gone and may not be replaced under a request")

// ErrDenied says that the permit was refused right before the first byte.
var ErrSendDenied = eris.New("the permit to send was refused")

// link is the network connection under a Conn; it counts what goes out and
// notes when something comes in.
type link struct {
	net.Conn
	written atomic.Int64
	heard   atomic.Int64
	closed  func()
	once    atomic.Bool
}

// epoch anchors instants that are kept as numbers, on the monotonic clock.
var epoch = time.Now()

func (l *link) Write(b []byte) (n int, err error) {
	// Counted before: bytes handed over may leave even if the call fails.
	l.written.Add(int64(len(b)))
	return l.Conn.Write(b)
}

func (l *link) Read(b []byte) (n int, err error) {
	n, err = l.Conn.Read(b)
	if n > 0 {
		l.heard.Store(int64(time.Since(epoch)))
	}
	if err != nil && l.once.CompareAndSwap(false, true) {
		l.closed()
	}
	return n, err
}

// Conn is one connection to a target; it carries one request at a time.
type Conn struct {
	pool      *Pool
	link      *link
	transport *http.Transport
	instance  target.Instance
	idleSince time.Time
	gone      atomic.Bool
}

func newConn(p *Pool, nc net.Conn) *Conn {
	c := &Conn{pool: p}
	c.link = &link{Conn: nc, closed: c.lost}
	var dialled atomic.Bool
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if !dialled.CompareAndSwap(false, true) {
				return nil, errSpent
			}
			return c.link, nil
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
func (c *Conn) heardSince(t time.Time) bool {
	return c.link.heard.Load() >= int64(t.Sub(epoch)) && c.link.heard.Load() != 0
}

// Instance is the process at the other end.
func (c *Conn) Instance() target.Instance {
	return c.instance
}

// Send writes one request and waits for the answer's headers. The permit is
// asked right before the first byte. Written tells whether any byte of the
// request may have gone out.
func (c *Conn) Send(req *http.Request, permit func() bool) (resp *http.Response, written bool, err error) {
	before := c.link.written.Load()
	if permit != nil && !permit() {
		return nil, false, ErrSendDenied
	}
	resp, err = c.transport.RoundTrip(req)
	written = c.link.written.Load() != before
	return resp, written, err
}

// Release gives the connection back after the answer's body was read to its
// end, or closes it if reuse is not possible.
func (c *Conn) Release(reusable bool) {
	c.pool.put(c, reusable && !c.gone.Load())
}

// lost is called once when reading fails: the other end closed, or it broke.
func (c *Conn) lost() {
	if c.gone.CompareAndSwap(false, true) {
		c.pool.forget(c)
	}
}

func (c *Conn) close() {
	c.gone.Store(true)
	c.transport.CloseIdleConnections()
	c.link.Conn.Close()
}
