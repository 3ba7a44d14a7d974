//go:build !linux

package listener

import "net"

// pendingConn accepts no connection: the system offers no way not to wait for one.
func pendingConn(*net.TCPListener) (c net.Conn, ok bool) { return nil, false }
