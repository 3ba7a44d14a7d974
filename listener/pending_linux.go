package listener

import (
	"net"
	"os"
	"syscall"
)

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
