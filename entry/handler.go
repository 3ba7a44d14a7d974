package entry

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// Route is the service, profile and dispatcher state for a request.
type Route struct {
	Service  *service.Service
	Profile  *profile.Profile
	Dispatch *dispatch.Service
}

// Directory looks up the route of a request.
type Directory interface {
	Route(host, path string) (Route, bool)
}

// PartDirectory is a Directory whose routes may have several services.
type PartDirectory interface {
	Directory
	// RoutePart looks up the route of a request with one of its services, or with another
	// one if the route lacks that.
	RoutePart(host, path string, s service.Name) (Route, bool)
}

// Pools looks up the connection pool of a target.
type Pools interface {
	// Pool returns the pool of a target, or nil if the target was removed.
	Pool(ref target.Ref) *wire.Pool
}

// Claims creates claims on idempotency keys.
type Claims interface {
	// Claim returns the claim of a call with an idempotency key. The claim is not
	// yet acquired.
	NewClaim(svc service.Name, p *profile.Profile, key string, fingerprint []byte) (dispatch.Claim, outcome.Failure)
}

// Settings configures a Handler; zero values mean the defaults.
type Settings struct {
	Protocol wire.Protocol
	// CallerHeader identifies callers for fair queueing. Default X-Forwarded-For;
	// if it is absent, the remote address of the request is used.
	CallerHeader string
	// ReplayBufferBytes is the maximum size in bytes of a request body that is
	// buffered for extra attempts. Default 64 KiB.
	ReplayBufferBytes int64
	// BodySpace bounds the request bodies that are buffered at a time; further ones are
	// streamed, and not sent again. Default nil: no limit.
	BodySpace *intake.Space
	// ResponseBufferBytes is the maximum size in bytes of a response that is buffered
	// before it is forwarded, so that the call can be retried if the response is
	// truncated. Default 0: responses are streamed.
	ResponseBufferBytes int64
	// ResponseSpace bounds the memory of the responses that are buffered at a time; further ones
	// are streamed. Default nil: no limit.
	ResponseSpace *intake.Space
	// DeadlineHeader carries the caller's remaining time in milliseconds.
	// Default HeaderDeadline.
	DeadlineHeader string
	// OmitProductHeaders omits the product's own headers from requests to targets and
	// responses to callers.
	OmitProductHeaders bool
	// StatesCall states in requests, also with OmitProductHeaders, what another node needs to
	// go on with a call: its extra attempts, age and service, and whether it was counted.
	StatesCall bool
}

const (
	defaultCallerHeader      = "X-Forwarded-For"
	defaultReplayBufferBytes = 64 << 10
)

// Handler serves callers. OnMisdirected, OnCallEnd, Forwarder and Settings are optional; all
// other exported fields are required.
type Handler struct {
	Directory  Directory
	Pools      Pools
	Claims     Claims
	Dispatcher *dispatch.Dispatcher
	Metrics    *metrics.Calls
	Settings   Settings
	// OnMisdirected, if set, is called for each target whose address is now used by
	// another process.
	OnMisdirected func(ref target.Ref)
	// OnCallEnd, if set, is called once for each call, when its response was
	// forwarded, to the end or not, or the call failed.
	OnCallEnd func(e CallResult)
	// Forwarder, if set, sends calls through other nodes while this one has no path to
	// their targets.
	Forwarder Forwarder

	isDraining atomic.Bool
	openCalls  atomic.Int64
}

// SetDraining makes each subsequent response ask the caller to close its
// connection.
func (h *Handler) SetDraining() {
	h.isDraining.Store(true)
}

// OpenCallCount returns the number of calls in progress.
func (h *Handler) OpenCallCount() int64 {
	return h.openCalls.Load()
}

func (h *Handler) protocol() wire.Protocol {
	if h.Settings.Protocol == (wire.Protocol{}) {
		return wire.DefaultProtocol
	}
	return h.Settings.Protocol
}

// ServeHTTP handles one call of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if failure := h.serve(w, r, false); failure != nil {
		h.writeFailure(w, failure)
	}
}

// ServeRelayed handles a call that another node has sent because it has no path to the
// targets. It writes the response of a target, or writes nothing and returns the failure.
func (h *Handler) ServeRelayed(w http.ResponseWriter, r *http.Request) *dispatch.CallFailure {
	return h.serve(w, r, true)
}

// serve handles one call. It returns the failure of a call for which it has not written a
// response.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, isRelayed bool) *dispatch.CallFailure {
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	if h.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	arrivedAt := time.Now()
	in, rejection := h.parseRequest(r, arrivedAt, isRelayed)
	defer func() { h.Settings.BodySpace.Release(in.reservedBytes) }()
	if rejection.Reason != "" {
		failure := &dispatch.CallFailure{Outcome: rejection.Outcome, Reason: rejection.Reason}
		return h.reportFailure(r, in, failure, arrivedAt)
	}
	failure := h.execute(w, r, in, arrivedAt)
	if failure == nil {
		return nil
	}
	if failure.CanForward && h.Forwarder != nil {
		return h.forward(w, r, in, failure, arrivedAt)
	}
	return h.reportFailure(r, in, failure, arrivedAt)
}

// execute sends a call and forwards the response. If there is none, it writes nothing and
// returns the failure.
func (h *Handler) execute(w http.ResponseWriter, r *http.Request, in inboundCall, arrivedAt time.Time) *dispatch.CallFailure {
	ctx, cancel := context.WithDeadline(r.Context(), in.call.Deadline)
	defer cancel()
	sender := &callSender{handler: h, inbound: r, inboundCall: in, arrivedAt: arrivedAt, w: w}
	callResponse, callFailure := h.Dispatcher.Do(ctx, in.route.Dispatch, in.call, sender)
	if in.body.isPartlySent() {
		// The rest of the body could not be distinguished from the next request.
		w.Header().Set("Connection", "close")
	}
	if callFailure != nil {
		return callFailure
	}
	if callFailure := rejectResponse(callResponse, r.Method); callFailure != nil {
		return callFailure
	}
	result := CallResult{Outcome: outcome.Done, Target: callResponse.Target(), Status: callResponse.Response.(*TargetResponse).resp.StatusCode, ExtraAttempts: callResponse.ExtraAttempts, TimeToAttempt: callResponse.TimeToAttempt, TotalDuration: time.Since(arrivedAt)}
	failure, aborted := h.writeResponse(w, r, callResponse, arrivedAt)
	if failure.Reason != "" {
		result.Outcome, result.Reason = failure.Outcome, failure.Reason
	}
	h.reportCallEnd(r, in, result)
	if aborted {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// reportFailure reports a call that failed, unless another node has sent it and may send it to a
// third one, and returns the failure.
func (h *Handler) reportFailure(r *http.Request, in inboundCall, f *dispatch.CallFailure, arrivedAt time.Time) *dispatch.CallFailure {
	if !in.isRelayed || !f.IsForAnotherNode() {
		h.reportCallEnd(r, in, CallResult{Outcome: f.Outcome, Reason: f.Reason, ExtraAttempts: f.ExtraAttempts, TotalDuration: time.Since(arrivedAt)})
	}
	return f
}

// CallResult describes a finished call, for the log.
type CallResult struct {
	Request *http.Request
	// Call is nil if the request was rejected before it became a call.
	Call          *dispatch.Call
	Service       service.Name
	Outcome       outcome.Outcome
	Reason        outcome.Reason
	Target        target.Ref
	Status        int
	ExtraAttempts int
	// TimeToAttempt is the time from the call's arrival to the start of the attempt
	// that got the response. TotalDuration is the time until the response headers
	// were received or the call failed.
	TimeToAttempt, TotalDuration time.Duration
}

// reportCallEnd completes e with the request and service and calls h.OnCallEnd.
func (h *Handler) reportCallEnd(r *http.Request, in inboundCall, e CallResult) {
	if h.OnCallEnd == nil {
		return
	}
	e.Request, e.Call = r, in.call
	if in.route.Service != nil {
		e.Service = in.route.Service.Name
	}
	h.OnCallEnd(e)
}

// DeadlineHeader returns the header with a caller's remaining time.
func (h *Handler) DeadlineHeader() string {
	return cmp.Or(h.Settings.DeadlineHeader, HeaderDeadline)
}

func (h *Handler) reportMisdirected(ref target.Ref) {
	if h.OnMisdirected != nil {
		h.OnMisdirected(ref)
	}
}

func (h *Handler) replayBufferBytes() int64 {
	if h.Settings.ReplayBufferBytes == 0 {
		return defaultReplayBufferBytes
	}
	return h.Settings.ReplayBufferBytes
}

func (h *Handler) callerHeader() string {
	return cmp.Or(h.Settings.CallerHeader, defaultCallerHeader)
}
