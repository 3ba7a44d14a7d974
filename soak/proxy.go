package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the bytes of its connections.
type linkMode int32

const (
	// linkOpen forwards bytes.
	linkOpen linkMode = iota
	// linkSlow forwards bytes after slowLinkDelay.
	linkSlow
	// linkSilent drops the bytes of both directions, linkResponseSilent only those of
	// the response.
	linkSilent
	linkResponseSilent
	// linkModeCount is the number of modes.
	linkModeCount
)

// slowLinkDelay is the delay of each read on a slow link.
const slowLinkDelay = 150 * time.Millisecond

// proxy is a TCP proxy on one link of a node or target, with faults that can be
// switched on.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32

	mu       sync.Mutex
	upstream string
	conns    map[net.Conn]bool
}

func newProxy(upstream string) (p *proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: l, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode of all connections, open ones included.
func (p *proxy) setMode(m linkMode) { p.mode.Store(int32(m)) }

// setUpstream sets the address to which new connections are forwarded.
func (p *proxy) setUpstream(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = upstream
}

func (p *proxy) dial() (net.Conn, error) {
	p.mu.Lock()
	upstream := p.upstream
	p.mu.Unlock()
	return net.Dial("tcp", upstream)
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := p.dial()
		if err != nil {
			from.Close()
			continue
		}
		p.track(from, to)
		go p.forward(from, to, false)
		go p.forward(to, from, true)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies one direction until either end closes.
func (p *proxy) forward(from, to net.Conn, isResponse bool) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		switch m := linkMode(p.mode.Load()); {
		case m == linkSlow:
			time.Sleep(slowLinkDelay)
		case m == linkSilent, m == linkResponseSilent && isResponse:
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0 the other end gets a reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}
