package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/reply"
	"github.com/apricotmount/apricotmount/replyconn"
	"github.com/apricotmount/apricotmount/target"
)

// errRedial is returned to a connection's transport when it tries to dial a second
// time.
var errRedial = eris.New("the connection is closed and must not be replaced during a request")

// ErrSendDenied is returned if permission to send was denied right before the first
// byte.
var ErrSendDenied = eris.New("permission to send was denied")

// trackedConn is the network connection of a Conn. It counts the bytes written, records
// the time of the last read that returned data, and fails when data arrives that belongs
// to no response.
type trackedConn struct {
	*replyconn.Conn
	exchange     exchange
	writtenBytes atomic.Int64
	// lastReadAt is the time of that read in nanoseconds since epoch; 0 means none.
	lastReadAt  atomic.Int64
	onReadError func()
	readFailed  atomic.Bool
}

// epoch is the instant from which times stored as integers are counted, on the
// monotonic clock.
var epoch = time.Now()

func (t *trackedConn) Write(b []byte) (n int, err error) {
	if err := t.exchange.beginWrite(); err != nil {
		return 0, err
	}
	// Count before writing: bytes may be sent even if the call fails.
	t.writtenBytes.Add(int64(len(b)))
	return t.Conn.Write(b)
}

func (t *trackedConn) Read(b []byte) (n int, err error) {
	t.exchange.beginRead()
	n, err = t.Conn.Read(b)
	if err := t.exchange.endRead(n > 0 || isBroken(err)); err != nil {
		return 0, err
	}
	if n > 0 {
		t.lastReadAt.Store(int64(time.Since(epoch)))
	}
	if err != nil && !isBroken(err) && t.readFailed.CompareAndSwap(false, true) {
		t.onReadError()
	}
	return n, err
}

// isBroken reports whether a read failed because the target sent bytes that are no response, while the
// connection itself may be sound.
func isBroken(err error) bool {
	broken, ok := err.(reply.Broken)
	return ok && broken != reply.UnprovedEnd
}

// Close closes the connection. The transport calls it too, once data has arrived that
// belongs to no response.
func (t *trackedConn) Close() error {
	t.exchange.end()
	return t.Conn.Close()
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

// newConn wraps nc in a Conn whose transport can use only nc and never dials
// another connection.
func newConn(p *Pool, nc net.Conn) *Conn {
	c := &Conn{pool: p}
	c.netConn = &trackedConn{Conn: replyconn.New(nc, p.settings.MaxResponseLines), onReadError: c.handleReadError}
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

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

// maxHeadBytes is the maximum length of the status line and headers of a response. A head
// without end must not fill the memory of a small VM.
const maxHeadBytes = 64 << 10

// bufferSize is the size of a connection's read and write buffers, in bytes.
const bufferSize = 4 << 10

// receivedSince reports whether data was received at or after t.
func (c *Conn) receivedSince(t time.Time) bool {
	return c.netConn.lastReadAt.Load() >= int64(t.Sub(epoch)) && c.netConn.lastReadAt.Load() != 0
}

// Instance returns the instance of the target at the other end.
func (c *Conn) Instance() target.Instance {
	return c.instance
}

// Send writes one request and waits for the response headers. It calls maySend, if
// not nil, right before the first byte and returns ErrSendDenied if it returns
// false. It returns ErrConnEnded if the connection ended before, which leaves the
// request's body unread.
// written reports whether any byte of the request may have been sent.
func (c *Conn) Send(req *http.Request, maySend func() bool) (resp *http.Response, written bool, err error) {
	if err := c.netConn.exchange.awaitReady(req.Context()); err != nil {
		return nil, false, err
	}
	c.netConn.Expect(req.Method)
	writtenBefore := c.netConn.writtenBytes.Load()
	if maySend != nil && !maySend() {
		return nil, false, ErrSendDenied
	}
	resp, err = c.transport.RoundTrip(req)
	return resp, c.netConn.writtenBytes.Load() != writtenBefore, err
}

// Release returns the connection to its pool after the response body was read to
// its end, or closes it if it is not reusable.
func (c *Conn) Release(reusable bool) {
	c.pool.put(c, reusable)
}

// isReusable reports whether the connection may carry another request: it is open, and no bytes have
// arrived that belong to no response.
func (c *Conn) isReusable() bool {
	return !c.isClosed.Load() && c.netConn.Conn.Err() == nil
}

// Broken returns why the bytes that the target has sent are no response; it is empty if they are one.
func (c *Conn) Broken() reply.Broken {
	broken, _ := c.netConn.Conn.Err().(reply.Broken)
	return broken
}

// handleReadError removes the connection from its pool. It is called once, at the
// first read error: the target closed the connection, or the connection failed.
func (c *Conn) handleReadError() {
	if c.isClosed.CompareAndSwap(false, true) {
		c.pool.removeFailed(c)
	}
}

func (c *Conn) close() {
	c.isClosed.Store(true)
	c.transport.CloseIdleConnections()
	c.netConn.Close()
}
