package entry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// maxStale is how many dead idle connections one attempt passes over.
const maxDeadConns = 3

// exchange sends the attempts of one call; it is a dispatch.Sender.
type callSender struct {
	handler *Handler
	inbound *http.Request
	body    *body
	w       http.ResponseWriter
	hops    int
}

// Send makes one attempt at a target.
func (s *callSender) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	pool := s.handler.Pools.Pool(a.Target)
	if pool == nil {
		return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
	}
	for range maxDeadConns {
		resp, failure, canRetry := s.sendOnce(ctx, pool, a)
		if !canRetry {
			return resp, failure
		}
	}
	return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
}

// sendOnce uses one connection. Again says that the connection was dead before
// anything was written, so another one may be used.
func (s *callSender) sendOnce(ctx context.Context, pool *wire.Pool, a dispatch.Attempt) (response dispatch.Response, f *dispatch.AttemptFailure, canRetry bool) {
	conn, err := pool.Get(ctx, a.RequireVerifiedConn || !s.body.replayable())
	if err != nil {
		return nil, &dispatch.AttemptFailure{Result: s.connectResult(ctx, err)}, false
	}
	ctx, timer, timedOut := headerTimer(ctx, a.HeaderDeadline)
	startedAt := time.Now()
	resp, written, err := conn.Send(s.newRequest(ctx, a), a.MaySend)
	timer.Stop()
	if err != nil {
		denied := errors.Is(err, wire.ErrDenied)
		conn.Release(denied)
		if denied {
			return nil, &dispatch.AttemptFailure{Result: target.Cancelled}, false
		}
		if !written && ctx.Err() == nil && s.body.replayable() {
			return nil, nil, true
		}
		f := s.attemptFailure(ctx, a, written, timedOut.Load())
		if f.Result == target.TimedOut {
			pool.Distrust(startedAt)
		}
		return nil, f, false
	}
	return s.handleResponse(ctx, conn, resp, a, timedOut.Load())
}

// connectResult tells a target that cannot be reached from an attempt that
// ended first, and from bounds of this node's own.
func (s *callSender) connectResult(ctx context.Context, err error) target.Result {
	if ctx.Err() != nil || errors.Is(err, wire.ErrFull) || errors.Is(err, wire.ErrBudget) {
		return target.Cancelled
	}
	return target.ConnectFailed
}

// headerTimer ends an attempt whose answer's headers do not come in time.
func headerTimer(ctx context.Context, deadline time.Time) (context.Context, *time.Timer, *atomic.Bool) {
	ctx, cancel := context.WithCancel(ctx)
	timedOut := new(atomic.Bool)
	timer := time.AfterFunc(time.Until(deadline), func() {
		timedOut.Store(true)
		cancel()
	})
	// The context must outlive the headers, for the body; it ends with the call's.
	return ctx, timer, timedOut
}

func (s *callSender) attemptFailure(ctx context.Context, a dispatch.Attempt, written, timedOut bool) *dispatch.AttemptFailure {
	f := &dispatch.AttemptFailure{Result: target.Broken, Written: written, BodyConsumed: !s.body.replayable()}
	switch {
	case timedOut:
		f.Result = target.TimedOut
	case ctx.Err() != nil:
		f.Result = target.Cancelled
	case !written:
		f.Result = target.ConnectFailed
	}
	if written {
		// What the layers below spent is not known; all of it is assumed.
		f.ExtraAttempts = a.MaxExtraAttempts
	}
	return f
}

// answer takes an answer whose headers are in, or a refusal.
func (s *callSender) handleResponse(ctx context.Context, conn *wire.Conn, resp *http.Response, a dispatch.Attempt, timedOut bool) (dispatch.Response, *dispatch.AttemptFailure, bool) {
	protocol := s.handler.protocol()
	targetResponse := &Reply{
		conn:          conn,
		resp:          resp,
		report:        protocol.Report(resp.Header),
		extraAttempts: min(a.MaxExtraAttempts, parseCount(resp.Header, HeaderSpent, 0)),
	}
	switch {
	case !protocol.Genuine(s.inbound.Header, resp):
		targetResponse.release(false)
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: true, BodyConsumed: !s.body.replayable()}, false
	case protocol.Refused(resp):
		f := &dispatch.AttemptFailure{Result: target.Refused, Written: true, BodyConsumed: !s.body.replayable(), Report: targetResponse.report, ExtraAttempts: targetResponse.extraAttempts}
		if protocol.Misdirected(resp) {
			s.handler.misdirected(a.Target)
		}
		targetResponse.Discard()
		return nil, f, false
	}
	if err := targetResponse.bufferBody(s.handler.Settings.AnswerBuffer); err != nil {
		targetResponse.release(false)
		return nil, s.attemptFailure(ctx, a, true, timedOut), false
	}
	return targetResponse, nil, false
}

// request builds the outgoing request of one attempt.
func (s *callSender) newRequest(ctx context.Context, a dispatch.Attempt) *http.Request {
	if trace := s.clientTrace(); trace != nil {
		ctx = httptrace.WithClientTrace(ctx, trace)
	}
	header := s.inbound.Header.Clone()
	stripHopByHop(header)
	s.handler.protocol().SetDeadline(header, time.Until(a.Deadline))
	if expect := s.handler.protocol().ExpectHeader; expect != "" {
		header.Set(expect, string(a.Target.ID))
	}
	if !s.handler.Settings.Plain {
		header.Set(HeaderHops, strconv.Itoa(s.hops+1))
		header.Set(HeaderAllowance, strconv.Itoa(a.MaxExtraAttempts))
		setForwardedHeaders(header, s.inbound)
	}
	out := &http.Request{
		Method:        s.inbound.Method,
		URL:           &url.URL{Scheme: "http", Host: string(a.Target.Address), Path: s.inbound.URL.Path, RawPath: s.inbound.URL.RawPath, RawQuery: s.inbound.URL.RawQuery},
		Host:          s.inbound.Host,
		Header:        header,
		Body:          s.body.open(),
		ContentLength: s.body.length,
		Trailer:       s.inbound.Trailer,
	}
	if _, ok := header["User-Agent"]; !ok {
		// An absent header stays absent.
		header.Set("User-Agent", "")
	}
	return out.WithContext(ctx)
}

// trace passes early hints on while the answer is awaited.
func (s *callSender) clientTrace() *httptrace.ClientTrace {
	if s.w == nil {
		return nil
	}
	return &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code != http.StatusEarlyHints {
				return nil
			}
			for name, values := range h {
				s.w.Header()[name] = values
			}
			s.w.WriteHeader(code)
			for name := range h {
				s.w.Header().Del(name)
			}
			return nil
		},
	}
}

// forwarded tells the target where the request came from.
func setForwardedHeaders(h http.Header, inbound *http.Request) {
	chain := append(h.Values("X-Forwarded-For"), remoteIP(inbound))
	h["X-Forwarded-For"] = chain
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", inbound.Host)
	}
}
