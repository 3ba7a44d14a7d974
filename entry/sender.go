package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/wire"
)

// maxConnTries is the maximum number of connections that one attempt tries. An idle
// connection may turn out to be closed before anything was written to it; the
// attempt is then made over another one.
const maxConnTries = 3

// callSender sends the attempts of one call; it implements dispatch.Sender.
type callSender struct {
	handler *Handler
	inbound *http.Request
	inboundCall
	arrivedAt time.Time
	w         http.ResponseWriter
	hints     hintWriter

	mu sync.Mutex
	// usedConns are the connections over which an attempt got a response. A copy of it may
	// still arrive there, with the ID of the call.
	usedConns []*wire.Conn
}

// Send makes one attempt at a target.
func (s *callSender) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	pool := s.handler.Pools.Pool(a.Target)
	if pool == nil {
		return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
	}
	for range maxConnTries {
		resp, failure, canReplaceConn := s.sendOnce(ctx, pool, a)
		if !canReplaceConn {
			return resp, failure
		}
	}
	return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
}

// sendOnce makes an attempt over one connection. canReplaceConn is true if the
// connection was closed before anything was written, so another one may be used.
func (s *callSender) sendOnce(ctx context.Context, pool *wire.Pool, a dispatch.Attempt) (response dispatch.Response, f *dispatch.AttemptFailure, canReplaceConn bool) {
	conn, err := pool.Get(ctx, a.RequireRecentRead || !s.body.isReplayable(), s.excludedConns())
	if err != nil {
		return nil, &dispatch.AttemptFailure{Result: s.connectResult(ctx, err)}, false
	}
	ctx, timer, timedOut := headerTimer(ctx, a.HeaderDeadline)
	startedAt := time.Now()
	interim := &interimReader{sender: s}
	resp, written, err := conn.Send(s.newRequest(interim.withTrace(ctx), a), a.MaySend)
	interim.end()
	timer.Stop()
	if err != nil {
		denied := errors.Is(err, wire.ErrSendDenied)
		conn.Release(denied)
		if denied {
			return nil, &dispatch.AttemptFailure{Result: target.Cancelled}, false
		}
		isBodyUnread := s.body.isReplayable() || errors.Is(err, wire.ErrConnEnded)
		if !written && ctx.Err() == nil && isBodyUnread {
			return nil, nil, true
		}
		f := s.attemptFailure(ctx, a, conn, written, timedOut.Load())
		if f.Result == target.TimedOut {
			pool.CloseUnresponsiveIdle(startedAt)
		}
		return nil, f, false
	}
	return s.handleResponse(ctx, conn, resp, a, timedOut.Load())
}

// connectResult classifies a failure to get a connection: Cancelled if the
// attempt's context ended or a limit of this node was reached, ConnectFailed if
// the target could not be reached.
func (s *callSender) connectResult(ctx context.Context, err error) target.Result {
	if ctx.Err() != nil || errors.Is(err, wire.ErrConnLimit) || errors.Is(err, wire.ErrProbeBudget) {
		return target.Cancelled
	}
	return target.ConnectFailed
}

// headerTimer returns a context that is cancelled if the timer is not stopped
// before the response header deadline; the flag reports that the timer fired.
func headerTimer(ctx context.Context, deadline time.Time) (context.Context, *time.Timer, *atomic.Bool) {
	ctx, cancel := context.WithCancel(ctx)
	timedOut := new(atomic.Bool)
	timer := time.AfterFunc(time.Until(deadline), func() {
		timedOut.Store(true)
		cancel()
	})
	// cancel is not called after the headers arrive, because the body is read
	// under the same context; the context ends with the call's context.
	return ctx, timer, timedOut
}

// attemptFailure classifies an attempt over conn that ended without a complete response.
func (s *callSender) attemptFailure(ctx context.Context, a dispatch.Attempt, conn *wire.Conn, written, timedOut bool) *dispatch.AttemptFailure {
	f := &dispatch.AttemptFailure{Result: target.Broken, Written: written, BodyConsumed: !s.body.isReplayable()}
	switch {
	case timedOut:
		f.Result = target.TimedOut
	case ctx.Err() != nil:
		f.Result = target.Cancelled
	case !written:
		f.Result = target.ConnectFailed
	default:
		f.Broken = conn.Broken()
	}
	if written && s.statesAttempts() {
		// The number of extra attempts made by load balancers downstream is
		// unknown; assume the maximum.
		f.ExtraAttempts = a.MaxExtraAttempts
	}
	return f
}

// handleResponse processes a response whose headers were received. It returns a
// failure if the response does not belong to the call or is a refusal.
func (s *callSender) handleResponse(ctx context.Context, conn *wire.Conn, resp *http.Response, a dispatch.Attempt, timedOut bool) (dispatch.Response, *dispatch.AttemptFailure, bool) {
	s.excludeConn(conn)
	protocol := s.handler.protocol()
	targetResponse := &TargetResponse{
		conn:          conn,
		hints:         &s.hints,
		resp:          resp,
		report:        protocol.ParseReport(resp),
		extraAttempts: min(a.MaxExtraAttempts, parseCount(resp.Header, HeaderExtraAttempts, 0)),
	}
	targetResponse.nodeFailure, targetResponse.isNodeFailure = protocol.ParseNodeFailure(resp)
	switch {
	case !protocol.IsGenuine(s.inbound.Header, resp):
		targetResponse.release(false)
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: true, BodyConsumed: !s.body.isReplayable()}, false
	case protocol.IsRefusal(resp):
		f := &dispatch.AttemptFailure{Result: target.Refused, Written: true, BodyConsumed: !s.body.isReplayable(), Report: targetResponse.report, Reason: targetResponse.nodeFailure.Reason, ExtraAttempts: targetResponse.extraAttempts}
		if protocol.IsMisdirected(resp) {
			// The report is that of another process.
			f.Report = target.Report{}
			s.handler.reportMisdirected(a.Target)
		}
		targetResponse.Discard()
		return nil, f, false
	}
	if err := targetResponse.bufferBody(s.handler.Settings.ResponseBufferBytes, s.handler.Settings.ResponseSpace); err != nil {
		targetResponse.release(false)
		return nil, s.attemptFailure(ctx, a, conn, true, timedOut), false
	}
	return targetResponse, nil, false
}

// excludeConn excludes a connection from further attempts of the call. Without IDs it does
// nothing: the copy of any response, on any connection, may be taken for the call's.
func (s *callSender) excludeConn(c *wire.Conn) {
	if s.handler.protocol().IDHeader == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedConns = append(s.usedConns, c)
}

// excludedConns returns the connections that the next attempt must not use.
func (s *callSender) excludedConns() []*wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clip(s.usedConns)
}

// newRequest builds the outgoing request of one attempt.
func (s *callSender) newRequest(ctx context.Context, a dispatch.Attempt) *http.Request {
	if !s.body.isReplayable() {
		// Without full duplex, net/http reads the rest of the body before it writes the
		// response. An error is ignored: a connection that does not support full duplex keeps
		// that behaviour.
		_ = http.NewResponseController(s.w).EnableFullDuplex()
	}
	header := s.inbound.Header.Clone()
	stripHopByHop(header)
	caller := tenant.FromContext(s.inbound.Context())
	setTenant(header, s.handler.protocol(), caller)
	s.handler.protocol().SetDeadline(header, time.Until(a.Deadline))
	if expect := s.handler.protocol().ExpectHeader; expect != "" {
		header.Set(expect, string(a.Target.ID))
	}
	s.stateCall(header, a)
	if !s.handler.Settings.OmitProductHeaders {
		header.Set(HeaderHops, strconv.Itoa(s.hops+1))
		setForwardedHeaders(header, s.inbound)
	}
	out := &http.Request{
		Method:        s.inbound.Method,
		URL:           &url.URL{Scheme: "http", Host: string(a.Target.Address), Path: s.inbound.URL.Path, RawPath: s.inbound.URL.RawPath, RawQuery: s.inbound.URL.RawQuery},
		Host:          s.inbound.Host,
		Header:        header,
		Body:          s.body.open(),
		ContentLength: s.body.length,
	}
	if caller == nil {
		// With tenants, a trailer could carry a key or the name of a tenant.
		out.Trailer = s.inbound.Trailer
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		header.Set("User-Agent", "")
	}
	return out.WithContext(ctx)
}

// statesAttempts reports whether requests state how many extra attempts the receiver may make. One
// that gets no such statement makes none for the call.
func (s *callSender) statesAttempts() bool {
	return s.handler.Settings.StatesCall || !s.handler.Settings.OmitProductHeaders
}

// stateCall states in the headers of a request to another node what the nodes before it have done
// with the call. A caller's own headers of these names are not forwarded.
func (s *callSender) stateCall(header http.Header, a dispatch.Attempt) {
	for _, name := range []string{HeaderCounted, HeaderMaxExtraAttempts, HeaderAge, HeaderService} {
		header.Del(name)
	}
	if s.statesAttempts() {
		header.Set(HeaderMaxExtraAttempts, strconv.Itoa(a.MaxExtraAttempts))
	}
	if !s.handler.Settings.StatesCall {
		return
	}
	age := s.call.Age + time.Since(s.arrivedAt)
	header.Set(HeaderAge, strconv.FormatInt(age.Milliseconds(), 10))
	header.Set(HeaderService, string(s.route.Service.Name))
	if s.call.IsCounted || a.IsRepeat {
		header.Set(HeaderCounted, countedValue)
	}
}

// setForwardedHeaders adds the caller's address and the original host to the
// outgoing headers.
func setForwardedHeaders(h http.Header, inbound *http.Request) {
	chain := append(h.Values("X-Forwarded-For"), remoteIP(inbound))
	h["X-Forwarded-For"] = chain
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", inbound.Host)
	}
}
