package replyconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// maxHeadBytes is the maximum length of a response's status line and field lines.
	maxHeadBytes = 64 << 10
	// maxLines is the maximum number of field lines of a response.
	maxLines = 256
	// defaultDialTimeout is the default of Settings.DialTimeout.
	defaultDialTimeout = 10 * time.Second
)

// Settings configures a transport; zero values mean the defaults.
type Settings struct {
	// DialTimeout limits the time to open a connection. Default 10 s.
	DialTimeout time.Duration
	// AllowUpgrade accepts that the server switches to another protocol.
	AllowUpgrade bool
}

// NewTransport returns a transport over connections of type Conn. It must not send requests with the
// method HEAD. The caller may set further fields before its first use.
func NewTransport(s Settings) *http.Transport {
	dialer := net.Dialer{Timeout: defaultDialTimeout}
	if s.DialTimeout > 0 {
		dialer.Timeout = s.DialTimeout
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn := New(c, maxLines)
			conn.scanner.AllowUpgrade = s.AllowUpgrade
			return &expectingConn{conn}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Client sends requests over connections of type Conn; only their contexts limit their time.
var Client = &http.Client{Transport: NewTransport(Settings{})}

// expectingConn is a connection that expects a response to what is written, if it expects none yet.
type expectingConn struct{ *Conn }

// Write writes to the connection.
func (c *expectingConn) Write(b []byte) (n int, err error) {
	c.expectNext()
	return c.Conn.Write(b)
}

// expectNext expects a response unless one is expected already. The method does not matter: none is HEAD.
func (c *Conn) expectNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scanner.IsExpecting() {
		c.scanner.Begin(http.MethodGet)
	}
}
