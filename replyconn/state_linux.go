package replyconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/apricotmount/apricotmount/reply"
)

// tcpCloseWait is the kernel's state of a connection whose other end has ended its stream, and which
// was not reset since (TCP_CLOSE_WAIT in the kernel's tcp_states.h).
const tcpCloseWait = 8

// connState returns the kernel's state of a connection.
func connState(c net.Conn) reply.ConnState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return reply.StateUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return reply.StateUnknown
	}
	state := reply.StateUnknown
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == tcpCloseWait {
			state = reply.StateFinished
		}
	})
	if controlErr != nil {
		return reply.StateUnknown
	}
	return state
}
