package listener

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/intake"
)

// errRefused ends a connection whose request was refused. As an error of a read, it keeps
// net/http from writing a response.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: eris.New("the request was refused")}

// parseTimeout is how long a complete head waits until there is memory to parse it.
const parseTimeout = 500 * time.Millisecond

// part is the part of the exchange that the next bytes of a connection belong to.
type part int

const (
	// inHead: the bytes belong to the head of a request.
	inHead part = iota
	// inBody: they belong to a body of known length, inChunks: to one in chunks.
	inBody
	inChunks
	// behindRequest: the request is being served, and the bytes belong to the next one.
	behindRequest
	// taken: the handler has taken over the connection.
	taken
)

// conn is a connection that passes the head of a request on once it is complete, and never
// together with what follows. The server reads it from one goroutine at a time.
type conn struct {
	*net.TCPConn
	server *Server
	hold   *intake.Hold

	// mu guards the fields below, but not while the connection is read.
	mu   sync.Mutex
	part part
	// bodyBytes remain of a body of known length.
	bodyBytes int64
	chunks    intake.Chunks
	head      intake.Head
	// headLimits were the limits when the head began, at headSince.
	headLimits intake.Limits
	headSince  time.Time
	// buffer holds bytes that were received and not passed on. The first scanned bytes belong
	// to the head, and the first ready ones may be passed on.
	buffer         []byte
	scanned, ready int
	// isComplete reports whether the head was received to its end, and isEvicted whether it
	// has to give way.
	isComplete, isEvicted bool
}

// newConn returns the connection of an accepted one.
func newConn(s *Server, nc net.Conn) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	c := &conn{TCPConn: tcp, server: s}
	// An error shows in the first read.
	_ = tcp.SetReadDeadline(time.Now().Add(intake.DefaultHeadTime))
	if s.intake.Budget != nil {
		c.hold = s.intake.Budget.NewHold()
		c.hold.OnEvicted = c.evict
	}
	return c
}

// Read reads bytes of one part of the exchange.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch c.currentPart() {
	case inHead:
		return c.readHead(p)
	case inBody:
		return c.readBody(p)
	case inChunks:
		return c.readChunks(p)
	case behindRequest:
		return c.readAhead(p)
	default:
		return c.receive(p)
	}
}

func (c *conn) currentPart() part {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part
}

// receive returns bytes from the buffer, or else from the network.
func (c *conn) receive(p []byte) (n int, err error) {
	c.mu.Lock()
	n = c.takeBuffered(p)
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.TCPConn.Read(p)
}

// takeBuffered moves bytes out of the buffer. c.mu must be held.
func (c *conn) takeBuffered(p []byte) (n int) {
	n = copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	c.scanned, c.ready = max(0, c.scanned-n), max(0, c.ready-n)
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// putBack returns bytes that belong to the next head to the buffer.
func (c *conn) putBack(p []byte) {
	if len(p) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer = append(append(make([]byte, 0, len(p)+len(c.buffer)), p...), c.buffer...)
}

// readBody reads from a body of known length.
func (c *conn) readBody(p []byte) (n int, err error) {
	n, err = c.receive(p[:min(int64(len(p)), c.bodyBytes)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyBytes -= int64(n); c.bodyBytes == 0 {
		c.part = behindRequest
	}
	return n, err
}

// readChunks reads from a body in chunks.
func (c *conn) readChunks(p []byte) (n int, err error) {
	received, err := c.receive(p)
	n, isComplete := c.chunks.Scan(p[:received])
	if !isComplete {
		return n, err
	}
	c.putBack(p[n:received])
	c.mu.Lock()
	c.part = behindRequest
	c.mu.Unlock()
	if c.hold != nil && !c.hold.Parse(c.chunks.TrailerCost(), c.server.intake.limits().HeadTime) {
		c.server.reportRefusal(c, intake.NoMemory)
		return 0, errRefused
	}
	return n, err
}

// readAhead reads one byte of the next head: in this way the server detects that the client has
// left, and it takes no more before it has responded.
func (c *conn) readAhead(p []byte) (n int, err error) {
	n, err = c.receive(p[:1])
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.beginHead()
		if _, isComplete := c.head.Scan(p[:n]); isComplete {
			c.head = intake.Head{}
		}
	}
	return n, err
}

// beginHead records the start of a head. c.mu must be held.
func (c *conn) beginHead() {
	if !c.head.HasBegun() {
		c.headSince, c.headLimits = time.Now(), c.server.intake.limits()
	}
}

// expectBody makes the next bytes the body of the request that is served.
func (c *conn) expectBody(length int64, isChunked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.part != behindRequest:
	case isChunked:
		c.part, c.chunks = inChunks, intake.Chunks{}
	case length > 0:
		c.part, c.bodyBytes = inBody, length
	}
}

// setState records a change of the connection's state in the server.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	switch state {
	case http.StateActive:
		if c.part == inHead {
			c.part, c.head, c.isComplete = behindRequest, intake.Head{}, false
		}
	case http.StateIdle:
		c.part = inHead
	case http.StateHijacked:
		c.part = taken
	}
	c.mu.Unlock()
	if c.hold != nil && state != http.StateActive && state != http.StateNew {
		c.hold.Release()
	}
}

// evict makes the connection refuse the head that it receives. It is called from other
// goroutines.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEvicted = true
	// The error is that of a connection that is closed already.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// holdsPart reports whether a part of a head was received at most age ago.
func (c *conn) holdsPart(now time.Time, age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isComplete || (len(c.buffer) > 0 || c.head.HasBegun()) && now.Sub(c.headSince) <= age
}

// receivingSince returns when the head that is being received began; ok is false if there is none.
func (c *conn) receivingSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headSince, c.part == inHead && c.head.HasBegun() && !c.isComplete
}

const (
	// lingerTime and lingerBytes bound what is still read from a client that was refused. If
	// bytes were left unread, the system would reset the connection, and the refusal would
	// not arrive.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger reads what a refused client still sends, within bounds, into p.
func (c *conn) linger(p []byte) {
	// Errors end the connection, which is closed in any case.
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
	for received := 0; received < lingerBytes; {
		n, err := c.TCPConn.Read(p)
		if err != nil {
			return
		}
		received += n
	}
}

// WriteTo copies what Read returns. That of the embedded connection would pass over the buffer.
func (c *conn) WriteTo(w io.Writer) (n int64, err error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
