package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// links carries all traffic between entry nodes, which reach each other at the addresses of the
// links, and can cut one node off from the others. Links to the store, servers and clients are
// not affected.
type links struct {
	mu    sync.Mutex
	ends  []*linkEnd
	cut   *node
	conns map[net.Conn][2]*node
}

// linkEnd is the address at which the other nodes reach a node.
type linkEnd struct {
	node *node
	// inner is the address on which the node listens.
	inner string
	tcp   net.Listener
	udp   net.PacketConn
}

// address returns the address at which other nodes reach the node.
func (e *linkEnd) address() string { return e.tcp.Addr().String() }

// add opens the ports of a node's links.
func (l *links) add(n *node) (e *linkEnd, err error) {
	port, err := platformtest.FreePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	e = &linkEnd{node: n, inner: fmt.Sprint(n.ip, ":", n.internalPorts[0])}
	if e.tcp, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err != nil {
		return nil, err
	}
	if e.udp, err = net.ListenPacket("udp", e.address()); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[net.Conn][2]*node{}
	}
	l.ends = append(l.ends, e)
	go l.acceptConns(e)
	go l.forwardDatagrams(e)
	return e, nil
}

// setCut cuts a node off from all others; nil ends the cut.
func (l *links) setCut(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = n
	if n != nil {
		return
	}
	// Bytes were lost on the connections that crossed the cut.
	for c := range l.conns {
		c.Close()
	}
}

// isCut reports whether nothing passes between two nodes.
func (l *links) isCut(a, b *node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut != nil && a != b && (l.cut == a || l.cut == b)
}

// endOf returns the link end whose node listens on an inner address, or nil.
func (l *links) endOf(inner string) *linkEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if e.inner == inner {
			return e
		}
	}
	return nil
}

// forwardDatagrams forwards datagrams to a node. They come from the address of the sender's link.
func (l *links) forwardDatagrams(to *linkEnd) {
	inner, err := net.ResolveUDPAddr("udp", to.inner)
	if err != nil {
		return
	}
	b := make([]byte, 64<<10)
	for {
		n, addr, err := to.udp.ReadFrom(b)
		if err != nil {
			return
		}
		from := l.endOf(addr.String())
		if from == nil || l.isCut(from.node, to.node) {
			continue
		}
		// A datagram that cannot be sent is lost.
		_, _ = from.udp.WriteTo(b[:n], inner)
	}
}

// acceptConns forwards connections to a node.
func (l *links) acceptConns(to *linkEnd) {
	for {
		c, err := to.tcp.Accept()
		if err != nil {
			return
		}
		go l.forwardConn(c, to)
	}
}

func (l *links) forwardConn(c net.Conn, to *linkEnd) {
	from := l.dialler(c)
	inner, err := net.Dial("tcp", to.inner)
	if err != nil {
		c.Close()
		return
	}
	pair := [2]*node{from, to.node}
	l.mu.Lock()
	l.conns[c], l.conns[inner] = pair, pair
	l.mu.Unlock()
	go l.copyBytes(c, inner, pair)
	l.copyBytes(inner, c, pair)
}

// copyBytes copies one direction until an end closes. Bytes that cross a cut are lost.
func (l *links) copyBytes(from, to net.Conn, pair [2]*node) {
	defer func() {
		from.Close()
		to.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, from)
		delete(l.conns, to)
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !l.isCut(pair[0], pair[1]) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// dialler returns the node whose process has dialled a connection, or nil.
func (l *links) dialler(c net.Conn) *node {
	inode := socketInode(c.RemoteAddr().String(), c.LocalAddr().String())
	if inode == "" {
		return nil
	}
	l.mu.Lock()
	ends := append([]*linkEnd{}, l.ends...)
	l.mu.Unlock()
	for _, e := range ends {
		if e.node.cmd != nil && e.node.cmd.Process != nil && holdsSocket(e.node.cmd.Process.Pid, inode) {
			return e.node
		}
	}
	return nil
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the TCP socket with the given addresses, or "".
func socketInode(local, remote string) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == wantLocal && fields[2] == wantRemote {
			return fields[9]
		}
	}
	return ""
}

// procAddress returns an IPv4 address and port as /proc/net/tcp has it on a little-endian machine.
func procAddress(address string) string {
	h, p, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	ip := net.ParseIP(h).To4()
	port, err := strconv.Atoi(p)
	if ip == nil || err != nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
}

// close closes all ports and connections.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		e.tcp.Close()
		e.udp.Close()
	}
	for c := range l.conns {
		c.Close()
	}
}
