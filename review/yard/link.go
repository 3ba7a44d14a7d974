package main

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// linkDelay is the delay of a client's link, one way, and linkWindow its receive window.
	linkDelay  = 3 * time.Millisecond
	linkWindow = 8 << 10
)

// link is a proxy on the link between clients and a node, with a delay and a small window. It loses
// nothing and changes nothing.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []net.Conn
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

// forward connects a client's connection with the node.
func (k *link) forward(client net.Conn) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// An error leaves the window as it is.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
	}}
	node, err := d.DialContext(context.Background(), "tcp", k.to)
	if err != nil {
		client.Close()
		return
	}
	k.mu.Lock()
	k.conns = append(k.conns, client, node)
	k.mu.Unlock()
	go carry(client, node)
	carry(node, client)
}

// carry passes bytes on after the delay. It passes on the end of the stream, and a reset as a reset. If
// the other side takes no more bytes, it ends; what that side has sent before is still passed on.
func carry(from, to net.Conn) {
	buf := make([]byte, linkWindow)
	for {
		n, err := from.Read(buf)
		time.Sleep(linkDelay)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		tcp := to.(*net.TCPConn)
		if err == io.EOF {
			// The other direction goes on.
			_ = tcp.CloseWrite()
			return
		}
		// The receiver has taken all that was written: its window is larger than an answer.
		_ = tcp.SetLinger(0)
		to.Close()
		return
	}
}

func (k *link) close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.Close()
	}
}
