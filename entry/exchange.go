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
const maxStale = 3

// exchange sends the attempts of one call; it is a dispatch.Sender.
type exchange struct {
	handler *Handler
	in      *http.Request
	body    *body
	w       http.ResponseWriter
	hops    int
}

// Send makes one attempt at a target.
func (x *exchange) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	pool := x.handler.Pools.Pool(a.Target)
	if pool == nil {
		return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
	}
	for range maxStale {
		answer, failure, again := x.sendOnce(ctx, pool, a)
		if !again {
			return answer, failure
		}
	}
	return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
}

// sendOnce uses one connection. Again says that the connection was dead before
// anything was written, so another one may be used.
func (x *exchange) sendOnce(ctx context.Context, pool *wire.Pool, a dispatch.Attempt) (answer dispatch.Response, f *dispatch.AttemptFailure, again bool) {
	conn, err := pool.Get(ctx, a.RequireRecentRead || !x.body.replayable())
	if err != nil {
		return nil, &dispatch.AttemptFailure{Result: x.connectResult(ctx, err)}, false
	}
	ctx, timer, late := headerTimer(ctx, a.HeaderDeadline)
	started := time.Now()
	resp, written, err := conn.Send(x.request(ctx, a), a.MaySend)
	timer.Stop()
	if err != nil {
		denied := errors.Is(err, wire.ErrSendDenied)
		conn.Release(denied)
		if denied {
			return nil, &dispatch.AttemptFailure{Result: target.Cancelled}, false
		}
		if !written && ctx.Err() == nil && x.body.replayable() {
			return nil, nil, true
		}
		f := x.failure(ctx, a, written, late.Load())
		if f.Result == target.TimedOut {
			pool.CloseUnresponsiveIdle(started)
		}
		return nil, f, false
	}
	return x.answer(ctx, conn, resp, a, late.Load())
}

// connectResult tells a target that cannot be reached from an attempt that
// ended first, and from bounds of this node's own.
func (x *exchange) connectResult(ctx context.Context, err error) target.Result {
	if ctx.Err() != nil || errors.Is(err, wire.ErrConnLimit) || errors.Is(err, wire.ErrProbeBudget) {
		return target.Cancelled
	}
	return target.ConnectFailed
}

// headerTimer ends an attempt whose answer's headers do not come in time.
func headerTimer(ctx context.Context, by time.Time) (context.Context, *time.Timer, *atomic.Bool) {
	ctx, cancel := context.WithCancel(ctx)
	late := new(atomic.Bool)
	timer := time.AfterFunc(time.Until(by), func() {
		late.Store(true)
		cancel()
	})
	// The context must outlive the headers, for the body; it ends with the call's.
	return ctx, timer, late
}

func (x *exchange) failure(ctx context.Context, a dispatch.Attempt, written, late bool) *dispatch.AttemptFailure {
	f := &dispatch.AttemptFailure{Result: target.Broken, Written: written, BodyConsumed: !x.body.replayable()}
	switch {
	case late:
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
func (x *exchange) answer(ctx context.Context, conn *wire.Conn, resp *http.Response, a dispatch.Attempt, late bool) (dispatch.Response, *dispatch.AttemptFailure, bool) {
	protocol := x.handler.protocol()
	got := &TargetResponse{
		conn:   conn,
		resp:   resp,
		report: protocol.ParseReport(resp.Header),
		spent:  min(a.MaxExtraAttempts, parseCount(resp.Header, HeaderExtraAttempts, 0)),
	}
	switch {
	case !protocol.IsGenuine(x.in.Header, resp):
		got.release(false)
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: true, BodyConsumed: !x.body.replayable()}, false
	case protocol.IsRefusal(resp):
		f := &dispatch.AttemptFailure{Result: target.Refused, Written: true, BodyConsumed: !x.body.replayable(), Report: got.report, ExtraAttempts: got.spent}
		if protocol.IsMisdirected(resp) {
			x.handler.misdirected(a.Target)
		}
		got.Discard()
		return nil, f, false
	}
	if err := got.keep(x.handler.Settings.ResponseBufferBytes); err != nil {
		got.release(false)
		return nil, x.failure(ctx, a, true, late), false
	}
	return got, nil, false
}

// request builds the outgoing request of one attempt.
func (x *exchange) request(ctx context.Context, a dispatch.Attempt) *http.Request {
	if trace := x.trace(); trace != nil {
		ctx = httptrace.WithClientTrace(ctx, trace)
	}
	header := x.in.Header.Clone()
	stripHopByHop(header)
	x.handler.protocol().SetDeadline(header, time.Until(a.Deadline))
	if expect := x.handler.protocol().ExpectHeader; expect != "" {
		header.Set(expect, string(a.Target.ID))
	}
	if !x.handler.Settings.OmitProductHeaders {
		header.Set(HeaderHops, strconv.Itoa(x.hops+1))
		header.Set(HeaderMaxExtraAttempts, strconv.Itoa(a.MaxExtraAttempts))
		forwarded(header, x.in)
	}
	out := &http.Request{
		Method:        x.in.Method,
		URL:           &url.URL{Scheme: "http", Host: string(a.Target.Address), Path: x.in.URL.Path, RawPath: x.in.URL.RawPath, RawQuery: x.in.URL.RawQuery},
		Host:          x.in.Host,
		Header:        header,
		Body:          x.body.open(),
		ContentLength: x.body.length,
		Trailer:       x.in.Trailer,
	}
	if _, ok := header["User-Agent"]; !ok {
		// An absent header stays absent.
		header.Set("User-Agent", "")
	}
	return out.WithContext(ctx)
}

// trace passes early hints on while the answer is awaited.
func (x *exchange) trace() *httptrace.ClientTrace {
	if x.w == nil {
		return nil
	}
	return &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code != http.StatusEarlyHints {
				return nil
			}
			for name, values := range h {
				x.w.Header()[name] = values
			}
			x.w.WriteHeader(code)
			for name := range h {
				x.w.Header().Del(name)
			}
			return nil
		},
	}
}

// forwarded tells the target where the request came from.
func forwarded(h http.Header, in *http.Request) {
	chain := append(h.Values("X-Forwarded-For"), remoteIP(in))
	h["X-Forwarded-For"] = chain
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", in.Host)
	}
}
