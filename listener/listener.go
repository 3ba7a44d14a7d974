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

	isClosing atomic.Bool
	// waitingCount is the number of connections that were accepted since Close was called.
	waitingCount atomic.Int64
}

// Listen opens a port for TCP connections.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// maxWaitingConns bounds the connections that are still accepted after Close, if new ones keep
// coming. It is the usual length of the system's queue. A bound in time would reset the whole
// queue if the process got no processor time.
const maxWaitingConns = 4096

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.isClosing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.isClosing.Load() {
			return c, err
		}
	}
	return l.acceptWaiting()
}

// acceptWaiting returns a connection that waits, or closes the port if there is none.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	if l.waitingCount.Add(1) <= maxWaitingConns {
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
	l.isClosing.Store(true)
	// A time in the past ends an Accept that waits.
	return l.SetDeadline(time.Unix(1, 0))
}
