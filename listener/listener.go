package listener

import (
	"net"
	"sync/atomic"
	"time"
)

// Listener accepts TCP connections. After Close, Accept returns the connections that
// wait, and an error once there are none.
type Listener struct {
	*net.TCPListener

	// closingSince is when Close was called, in nanoseconds of Unix time; zero before.
	closingSince atomic.Int64
}

// Listen opens a port for TCP connections.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// maxCloseTime bounds the time in which connections are still accepted after Close, if new
// ones keep coming.
const maxCloseTime = 100 * time.Millisecond

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	if l.closingSince.Load() == 0 {
		c, err := l.TCPListener.Accept()
		if err == nil || l.closingSince.Load() == 0 {
			return c, err
		}
	}
	return l.acceptWaiting()
}

// acceptWaiting returns a connection that waits, or closes the port if there is none.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	if time.Since(time.Unix(0, l.closingSince.Load())) < maxCloseTime {
		if c, ok := pendingConn(l.TCPListener); ok {
			return c, nil
		}
	}
	if err := l.TCPListener.Close(); err != nil {
		return nil, err
	}
	return nil, net.ErrClosed
}

// Close makes Accept return the connections that wait, and then close the port. Accept
// must be called until it returns an error.
func (l *Listener) Close() error {
	l.closingSince.CompareAndSwap(0, time.Now().UnixNano())
	// A time in the past ends an Accept that waits.
	return l.SetDeadline(time.Unix(1, 0))
}
