package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/intake"
)

// Intake bounds what the clients of a server may send. The zero value has the default limits of
// a head, and no other bounds.
type Intake struct {
	// Limits, if set, returns the limits of a head at present.
	Limits func() intake.Limits
	// Budget, if set, bounds the memory of the heads. Several servers may share one.
	Budget *intake.Budget
	// MaxConnections is the maximum number of open connections; zero means no limit.
	MaxConnections int
	// Logger, if set, gets a line for each refusal.
	Logger *zap.Logger
	// OnRefusal, if set, is called for each request that is refused and each connection that
	// is closed for a limit.
	OnRefusal func(intake.Refusal)
}

// limits returns the limits of a head at present.
func (in *Intake) limits() intake.Limits {
	if in.Limits == nil {
		return intake.Limits{}.WithDefaults()
	}
	return in.Limits().WithDefaults()
}

// reportRefusal logs a refusal to the client of a connection, and calls OnRefusal.
func (s *Server) reportRefusal(nc net.Conn, reason intake.Refusal) {
	event.IntakeRefused.Log(s.intake.Logger, zap.Stringer("from", nc.RemoteAddr()), zap.Stringer("port", s.Addr()), zap.String("reason", string(reason)))
	if s.intake.OnRefusal != nil {
		s.intake.OnRefusal(reason)
	}
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// expectBody lets the request's connection pass on its body.
func expectBody(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.expectBody(r.ContentLength, len(r.TransferEncoding) > 0)
	}
}

// trackState records a change of a connection's state.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok {
		c.setState(state)
	}
	s.conns.trackState(nc, state)
}

// limitedListener accepts connections whose heads and number are bounded.
type limitedListener struct {
	*Listener
	server *Server
}

// Accept waits for the next connection. If there are as many as there may be, another one gives
// way, or the new one is closed.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.makeRoom() {
			return newConn(l.server, nc), nil
		}
		nc.Close()
		l.server.reportRefusal(nc, intake.NoConnection)
	}
}

// keptShare is the part of a port's connections up to which they are kept after a response. Beyond it
// no more of them become idle, since those that are idle do not give way.
const keptShare = 0.75

// isNearlyFull reports whether connections close after their next response.
func (s *Server) isNearlyFull() bool {
	limit := s.intake.MaxConnections
	return limit > 0 && s.conns.count() > int(keptShare*float64(limit))
}

// makeRoom reports whether there is room for one more connection. If there is none, the
// connection that gives way first is closed.
func (s *Server) makeRoom() bool {
	limit := s.intake.MaxConnections
	if limit <= 0 || s.conns.count() < limit {
		return true
	}
	closed := s.conns.closeLeastNeeded(time.Now(), s.intake.limits().IdleTime)
	if closed == nil {
		return false
	}
	s.reportRefusal(closed, intake.NoConnection)
	return true
}
