package main

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// linkDelay is the delay of a client's link, one way, and linkWindow its window.
	linkDelay  = 3 * time.Millisecond
	linkWindow = 8 << 10
)

// slowConn is a client's connection over a link with a delay and a small window. It is a connection
// of the client itself: nothing stands between that and the node.
type slowConn struct{ net.Conn }

// dialSlow opens a slowConn.
func dialSlow(address string) (slowConn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// An error leaves the window as it is.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
	}}
	c, err := d.DialContext(context.Background(), "tcp", address)
	return slowConn{c}, err
}

// Read reads at most a window, at the pace of the link.
func (c slowConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b[:min(len(b), linkWindow)])
	time.Sleep(linkDelay)
	return n, err
}

// Write writes a window at a time, at the pace of the link.
func (c slowConn) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var written int
		written, err = c.Conn.Write(b[n:min(len(b), n+linkWindow)])
		n += written
		time.Sleep(linkDelay)
	}
	return n, err
}
