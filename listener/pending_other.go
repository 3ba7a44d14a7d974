//go:build !linux

package listener

import "net"

// hasUnread reports that nothing waits: the system offers no way to find out.
func hasUnread(net.Conn) bool { return false }

// descriptorLimit returns zero: the system offers no way to find out.
func descriptorLimit() int { return 0 }

// pendingConn accepts no connection: the system offers no way not to wait for one.
func pendingConn(*net.TCPListener) (c net.Conn, ok bool) { return nil, false }
