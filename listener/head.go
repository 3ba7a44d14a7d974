package listener

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/intake"
)

// minReadBytes is the length of a buffer from which a head is read without a copy.
const minReadBytes = 512

// readHead reads a head. It returns the first bytes once the head is complete, or refuses it.
func (c *conn) readHead(p []byte) (n int, err error) {
	if c.ready > 0 {
		return c.takeReady(p), nil
	}
	if len(c.buffer) == 0 && !c.head.HasBegun() && len(p) >= minReadBytes {
		n, isDone, err := c.readWholeHead(p)
		if isDone || err != nil {
			return n, err
		}
	}
	return c.gatherHead(p)
}

// takeReady passes on bytes of a complete head.
func (c *conn) takeReady(p []byte) (n int) {
	c.mu.Lock()
	n = c.takeBuffered(p[:min(len(p), c.ready)])
	isPassedOn := c.ready == 0
	if isPassedOn {
		// What belongs to the next request takes a buffer of its own, which is short.
		c.buffer = slices.Clone(c.buffer)
	}
	c.mu.Unlock()
	if isPassedOn && c.hold != nil {
		c.hold.ReleaseReceived()
	}
	return n
}

// readWholeHead reads a head that arrives in one piece directly into p. isDone is false if it did
// not; its bytes are in the buffer then.
func (c *conn) readWholeHead(p []byte) (n int, isDone bool, err error) {
	n, err = c.TCPConn.Read(p)
	if n == 0 {
		return 0, false, err
	}
	c.mu.Lock()
	c.beginHead()
	scanned, isComplete := c.head.Scan(p[:n])
	c.mu.Unlock()
	if !isComplete {
		c.putBack(p[:n])
		c.scanned = scanned
		return 0, false, nil
	}
	c.putBack(p[scanned:n])
	if err := c.admitHead(p); err != nil {
		return 0, true, err
	}
	return scanned, true, nil
}

// gatherHead receives bytes into the buffer until the head is complete.
func (c *conn) gatherHead(p []byte) (n int, err error) {
	for {
		isComplete := c.scanBuffer()
		if isComplete {
			break
		}
		if c.isTooLong() {
			return 0, c.refuse(intake.HeadTooLong, p)
		}
		if err := c.receiveMore(p); err != nil {
			return 0, err
		}
	}
	if err := c.admitHead(p); err != nil {
		return 0, err
	}
	c.ready = c.scanned
	return c.takeReady(p), nil
}

// scanBuffer scans the rest of the buffer, and reports whether the head is complete.
func (c *conn) scanBuffer() (isComplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffer) == c.scanned {
		return false
	}
	c.beginHead()
	n, isComplete := c.head.Scan(c.buffer[c.scanned:])
	c.scanned += n
	return isComplete
}

// receiveMore receives more bytes of a head into the buffer.
func (c *conn) receiveMore(p []byte) error {
	if !c.reserveBuffer() {
		return c.refuse(intake.NoMemory, p)
	}
	if !c.setHeadDeadline() {
		return c.refuse(intake.NoMemory, p)
	}
	free := c.buffer[len(c.buffer):min(cap(c.buffer), len(c.buffer)+maxReadBytes)]
	n, err := c.TCPConn.Read(free)
	c.mu.Lock()
	c.buffer = c.buffer[:len(c.buffer)+n]
	c.mu.Unlock()
	if n > 0 {
		return nil
	}
	return c.headError(err, p)
}

const (
	// minBufferBytes is the length of the first buffer of a head.
	minBufferBytes = 2 << 10
	// maxReadBytes is the maximum length of a read, which may go beyond the head.
	maxReadBytes = 4 << 10
)

// reserveBuffer makes room in the buffer. It reports false if there is no memory for it.
func (c *conn) reserveBuffer() bool {
	if len(c.buffer) < cap(c.buffer) {
		return true
	}
	size := max(minBufferBytes, 2*len(c.buffer))
	if c.hold != nil && !c.hold.Grow(int64(size), c.headSince) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	return true
}

// setHeadDeadline bounds the time of the head, once it has begun. It reports false if the head
// has to give way.
func (c *conn) setHeadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEvicted {
		return false
	}
	if c.head.HasBegun() {
		// An error shows in the read that follows.
		_ = c.TCPConn.SetReadDeadline(c.headDeadline())
	}
	return true
}

// headDeadline returns the time at which the head must be complete. c.mu must be held.
func (c *conn) headDeadline() time.Time {
	return c.headSince.Add(c.headLimits.Max(c.server.intake.limits()).HeadTime)
}

// headError handles an error of a read. It returns nil if the head may go on: the limit on its time
// has been raised since.
func (c *conn) headError(err error, p []byte) error {
	c.mu.Lock()
	isEvicted, hasBegun, isLate := c.isEvicted, c.head.HasBegun(), !time.Now().Before(c.headDeadline())
	c.mu.Unlock()
	switch {
	case isEvicted:
		return c.refuse(intake.NoMemory, p)
	case !hasBegun || !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case isLate:
		return c.refuse(intake.HeadTooSlow, p)
	default:
		return nil
	}
}

// isTooLong reports whether the head is longer than the limit at its start, and than that at present,
// or takes more memory than all heads together may.
func (c *conn) isTooLong() bool {
	if c.hold != nil && !c.server.intake.Budget.CanHold(c.head.Cost()) {
		return true
	}
	return c.head.Exceeds(c.headLimits.Max(c.server.intake.limits()).HeadBytes)
}

// admitHead waits until there is memory to parse the complete head, or refuses it.
func (c *conn) admitHead(p []byte) error {
	if c.isTooLong() {
		return c.refuse(intake.HeadTooLong, p)
	}
	c.mu.Lock()
	c.isComplete = true
	c.mu.Unlock()
	// The time limit ends with the head.
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if c.hold != nil && !c.hold.Parse(c.head.Cost(), parseTimeout) {
		return c.refuse(intake.NoMemory, p)
	}
	return nil
}

// retryAfterSeconds is the Retry-After header of refusals for want of memory, in seconds.
const retryAfterSeconds = "0.5"

// refuse ends the connection with a response to the head that is received. p is scratch space.
func (c *conn) refuse(reason intake.Refusal, p []byte) error {
	c.mu.Lock()
	c.buffer, c.scanned, c.ready = nil, 0, 0
	c.mu.Unlock()
	if c.hold != nil {
		c.hold.Release()
	}
	c.server.reportRefusal(c, reason)
	// Errors end the connection, which is closed in any case.
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTime))
	status := reason.Status()
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	c.linger(p)
	return errRefused
}
