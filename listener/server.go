package listener

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/pause"
)

// Server is an HTTP server that answers every request that it has read before it stops.
// http.Server.Shutdown does not: it drops a request that is read while it waits.
type Server struct {
	http   *http.Server
	intake Intake

	conns conns
	// isDraining makes each response the last of its connection.
	isDraining atomic.Bool
	listener   *Listener
	// served is closed when the server accepts no more connections, and serveErr is then
	// the reason; nil after Drain or Close.
	served   chan struct{}
	serveErr error
}

// Serve opens a port and serves it in the background, with the default limits of a head. The
// settings' ConnState and ConnContext must not be set.
func Serve(address string, settings *http.Server) (s *Server, err error) {
	return ServeLimited(address, settings, Intake{})
}

// ServeLimited is as Serve, and bounds what clients may send. The settings' ReadHeaderTimeout and
// MaxHeaderBytes are replaced by those of the intake.
func ServeLimited(address string, settings *http.Server, in Intake) (s *Server, err error) {
	defer func() { err = eris.Wrapf(err, "listen on %s", address) }()
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	s = &Server{http: settings, intake: in, listener: l, served: make(chan struct{})}
	s.http.ConnState = s.trackState
	s.http.ConnContext = withConn
	s.http.ReadHeaderTimeout = 0
	s.http.MaxHeaderBytes = maxParsedBytes
	s.http.IdleTimeout = cmp.Or(s.http.IdleTimeout, maxIdleTime)
	s.http.Handler = s.announceClose(s.http.Handler)
	go func() {
		defer close(s.served)
		if err := s.http.Serve(limitedListener{l, s}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.serveErr = err
		}
	}()
	return s, nil
}

// maxIdleTime is the idle timeout of connections where the settings have none. CloseIdle may close
// them earlier.
const maxIdleTime = time.Hour

// maxParsedBytes is the limit of net/http on a head. Those that reach it are within the limits of
// the intake already, which do not count all bytes.
const maxParsedBytes = 64 << 20

// Addr returns the address of the port.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Wait waits until the server accepts no more connections, and returns the error that
// ended it, if any.
func (s *Server) Wait() error {
	<-s.served
	return s.serveErr
}

// CloseIdle closes the connections without a request for longer than timeout and a margin.
func (s *Server) CloseIdle(now time.Time, timeout time.Duration) { s.conns.closeIdle(now, timeout) }

const (
	// drainPollInterval is the time between two checks of Drain.
	drainPollInterval = 5 * time.Millisecond
	// unusedConnAge is how long Drain leaves a connection open on which no request
	// begins.
	unusedConnAge = time.Second
)

// Drain closes the port and the idle connections and waits until all requests are
// answered, each of them as the last of its connection. It returns the error of ctx if
// that is done before; the remaining requests go on then.
func (s *Server) Drain(ctx context.Context) error {
	s.isDraining.Store(true)
	// The error is that of a port that is closed already.
	_ = s.listener.Close()
	<-s.served
	for s.conns.closeAllIdle(); s.conns.count() > 0; {
		if !pause.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
		s.conns.closeUnused(time.Now(), unusedConnAge)
		s.conns.closeAllIdle()
	}
	return nil
}

// announceClose returns a handler whose responses close their connections while the server
// drains or has nearly all its connections. http.Server.SetKeepAlivesEnabled would also close connections on which a request
// waits to be read.
func (s *Server) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expectBody(r)
		if s.isDraining.Load() || s.isNearlyFull() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Close closes the port and all connections.
func (s *Server) Close() error {
	// The port is closed before, so that no waiting connection is accepted any more. The
	// error is that of a port that is closed already.
	_ = s.listener.TCPListener.Close()
	return s.http.Close()
}
