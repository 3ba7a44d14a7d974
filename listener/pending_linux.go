package listener

import (
	"math"
	"net"
	"os"
	"syscall"
)

// hasUnread reports whether bytes wait on a connection that the process has not read.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && recvErr == nil && n > 0
}

// descriptorLimit returns the number of descriptors that the process may open; zero means unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// pendingConn accepts a connection without waiting for one.
func pendingConn(l *net.TCPListener) (c net.Conn, ok bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, false
	}
	fd := -1
	// Control is used because Read fails after the listener's deadline.
	var acceptErr error
	err = raw.Control(func(listenerFD uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || acceptErr != nil {
		return nil, false
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	c, err = net.FileConn(f)
	return c, err == nil
}
