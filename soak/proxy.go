package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is how a proxy treats bytes.
type link int32

const (
	// open passes bytes on.
	open link = iota
	// slow passes them on late.
	slow
	// silent swallows them both ways, deaf those of the answer only.
	silent
	deaf
	// links is the number of these.
	links
)

// delay is how late bytes are on a slow link.
const delay = 150 * time.Millisecond

// proxy stands between a node and what it speaks to.
type proxy struct {
	listener net.Listener
	link     atomic.Int32

	mu    sync.Mutex
	to    string
	conns map[net.Conn]bool
}

func newProxy(to string) (p *proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes how bytes are treated.
func (p *proxy) set(l link) { p.link.Store(int32(l)) }

// lead makes new connections lead to an address.
func (p *proxy) lead(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

func (p *proxy) dial() (net.Conn, error) {
	p.mu.Lock()
	to := p.to
	p.mu.Unlock()
	return net.Dial("tcp", to)
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
		p.keep(from, to)
		go p.pass(from, to, false)
		go p.pass(to, from, true)
	}
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// pass copies one way until either end closes.
func (p *proxy) pass(from, to net.Conn, answer bool) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		switch l := link(p.link.Load()); {
		case l == slow:
			time.Sleep(delay)
		case l == silent, l == deaf && answer:
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
			// Without lingering the other end sees a reset.
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
