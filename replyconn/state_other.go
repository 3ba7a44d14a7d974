//go:build !linux

package replyconn

import (
	"net"

	"github.com/apricotmount/apricotmount/reply"
)

// connState returns reply.StateUnknown: the system's state of a connection is not read.
func connState(net.Conn) reply.ConnState { return reply.StateUnknown }
