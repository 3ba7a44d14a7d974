package entry

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// Route is where the calls of a service go.
type Route struct {
	Service  *service.Service
	Profile  *profile.Profile
	Dispatch *dispatch.Service
}

// Directory finds the route of a request.
type Directory interface {
	Route(host, path string) (Route, bool)
}

// Pools finds the connections to a target.
type Pools interface {
	// Pool returns the pool of a target, or nil if it is gone.
	Pool(ref target.Ref) *wire.Pool
}

// Claims makes claims on idempotency keys.
type Claims interface {
	// Claim returns the claim of a keyed call, not yet acquired.
	NewClaim(svc service.Name, p *profile.Profile, key string, fingerprint []byte) (dispatch.Claim, outcome.Failure)
}

// Settings of a Handler; zero values mean the defaults.
type Settings struct {
	Protocol wire.Protocol
	// CallerHeader identifies callers for fairness. Default X-Forwarded-For;
	// without it the address the request came from.
	CallerHeader string
	// ReplayBuffer is the longest body that is kept for a further attempt, in
	// bytes. Default 64 KiB.
	ReplayBufferBytes int64
	// AnswerBuffer is the longest answer that is read whole before it is passed
	// on, in bytes, so that one that breaks off can be asked for again. Default 0:
	// answers are streamed.
	ResponseBufferBytes int64
	// DeadlineHeader is where callers state their time. Default HeaderDeadline.
	DeadlineHeader string
	// Plain leaves out the product's own headers, towards callers and targets.
	OmitProductHeaders bool
}

const (
	defaultCallerHeader = "X-Forwarded-For"
	defaultReplayBuffer = 64 << 10
)

// Handler serves callers. All fields but Settings and Leaving are required.
type Handler struct {
	Directory  Directory
	Pools      Pools
	Claims     Claims
	Dispatcher *dispatch.Dispatcher
	Metrics    *metrics.Calls
	Settings   Settings
	// Misdirected, if set, is told of targets whose address another process has
	// taken.
	OnMisdirected func(ref target.Ref)
	// Ended, if set, is told of each call's end.
	OnCallEnd func(e CallResult)

	leaving atomic.Bool
	open    atomic.Int64
}

// SetLeaving makes each answer tell callers to close their connection.
func (h *Handler) SetDraining() {
	h.leaving.Store(true)
}

// Open is how many calls are in progress.
func (h *Handler) OpenCallCount() int64 {
	return h.open.Load()
}

func (h *Handler) protocol() wire.Protocol {
	if h.Settings.Protocol == (wire.Protocol{}) {
		return wire.DefaultProtocol
	}
	return h.Settings.Protocol
}

// ServeHTTP carries one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	// Without this the library swallows what is left of a request's body before
	// it writes an answer. A connection that cannot do it answers in turn.
	_ = http.NewResponseController(w).EnableFullDuplex()
	c, failure := h.read(r, arrived)
	if failure.Reason != "" {
		h.ended(r, c, CallResult{Outcome: failure.Outcome, Reason: failure.Reason, TotalDuration: time.Since(arrived)})
		h.refuse(w, &dispatch.CallFailure{Outcome: failure.Outcome, Reason: failure.Reason})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.call.Deadline)
	defer cancel()
	x := &exchange{handler: h, in: r, body: c.body, w: w, hops: c.hops}
	resp, fail := h.Dispatcher.Do(ctx, c.route.Dispatch, c.call, x)
	if fail != nil {
		h.ended(r, c, CallResult{Outcome: fail.Outcome, Reason: fail.Reason, ExtraAttempts: fail.ExtraAttempts, TotalDuration: time.Since(arrived)})
		h.refuse(w, fail)
		return
	}
	h.ended(r, c, CallResult{Outcome: outcome.Done, Target: resp.Target(), Status: resp.Response.(*TargetResponse).resp.StatusCode, ExtraAttempts: resp.ExtraAttempts, WaitDuration: resp.TimeToAttempt, TotalDuration: time.Since(arrived)})
	h.reply(w, r, resp, arrived)
}

// Ended is how a call ended, for the log.
type CallResult struct {
	Request       *http.Request
	Service       service.Name
	Outcome       outcome.Outcome
	Reason        outcome.Reason
	Target        target.Ref
	Status        int
	ExtraAttempts int
	// Waited is the time in this node before the attempt; Took the whole time to
	// the answer's headers.
	WaitDuration, TotalDuration time.Duration
}

func (h *Handler) ended(r *http.Request, c incoming, e CallResult) {
	if h.OnCallEnd == nil {
		return
	}
	e.Request = r
	if c.route.Service != nil {
		e.Service = c.route.Service.Name
	}
	h.OnCallEnd(e)
}

// maxDeadline bounds a call whose profile states no deadline.
const maxDeadline = 5 * time.Minute

// incoming is a caller's request as the system understands it.
type incoming struct {
	route Route
	call  *dispatch.Call
	body  *body
	hops  int
}

func notRun(r outcome.Reason) outcome.Failure {
	return outcome.Failure{Outcome: outcome.NotRun, Reason: r}
}

// read understands a request, or says why it is refused.
func (h *Handler) read(r *http.Request, now time.Time) (c incoming, failure outcome.Failure) {
	route, ok := h.Directory.Route(hostOnly(r.Host), r.URL.Path)
	if !ok {
		return incoming{}, notRun(outcome.NoService)
	}
	if r.Header.Get("Upgrade") != "" {
		return incoming{}, notRun(outcome.UpgradeRefused)
	}
	asked, given, ok := parseDeadline(r.Header, h.deadlineHeader())
	if !ok {
		return incoming{}, notRun(outcome.BadDeadline)
	}
	limit := route.Profile.CallTimeout
	if limit == 0 {
		limit = maxDeadline
	}
	if given {
		limit = min(limit, asked)
	}
	hops := parseCount(r.Header, HeaderHops, 0)
	if hops >= maxHops {
		return incoming{}, notRun(outcome.TooDeep)
	}
	b, err := readBody(r, h.replayBuffer())
	if err != nil {
		return incoming{}, notRun(outcome.BodyBroken)
	}
	call := &dispatch.Call{
		ID:             r.Header.Get(h.protocol().IDHeader),
		Profile:        route.Profile,
		Caller:         h.caller(r),
		Deadline:       now.Add(limit),
		Allowance:      retry.NewAllowance(min(route.Profile.MaxRetries, parseCount(r.Header, HeaderMaxExtraAttempts, route.Profile.MaxRetries))),
		BodyReplayable: b.replayable(),
	}
	call.Claim, failure = h.claim(r, route, b)
	return incoming{route: route, call: call, body: b, hops: hops}, failure
}

func (h *Handler) deadlineHeader() string {
	return cmp.Or(h.Settings.DeadlineHeader, HeaderDeadline)
}

func (h *Handler) misdirected(ref target.Ref) {
	if h.OnMisdirected != nil {
		h.OnMisdirected(ref)
	}
}

func (h *Handler) replayBuffer() int64 {
	if h.Settings.ReplayBufferBytes == 0 {
		return defaultReplayBuffer
	}
	return h.Settings.ReplayBufferBytes
}

// caller identifies who a request comes from, for fairness only.
func (h *Handler) caller(r *http.Request) admission.Caller {
	name := h.Settings.CallerHeader
	if name == "" {
		name = defaultCallerHeader
	}
	first, _, _ := strings.Cut(r.Header.Get(name), ",")
	if first = strings.TrimSpace(first); first != "" {
		return admission.Caller(first)
	}
	return admission.Caller(remoteIP(r))
}

// claim returns the claim of a keyed call, or nil if it carries no key.
func (h *Handler) claim(r *http.Request, route Route, b *body) (c dispatch.Claim, failure outcome.Failure) {
	if route.Profile.Idempotent {
		return nil, outcome.Failure{}
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" && route.Profile.RequireKey {
		return nil, notRun(outcome.KeyMissing)
	}
	if key == "" || !route.Profile.UsesIdempotencyKeys() {
		return nil, outcome.Failure{}
	}
	if len(r.Header.Values(HeaderIdempotencyKey)) > 1 {
		return nil, notRun(outcome.KeyInvalid)
	}
	return h.Claims.NewClaim(route.Service.Name, route.Profile, key, b.fingerprint(r))
}

// statuses are the HTTP statuses of refusals that are not 503.
var statuses = map[outcome.Reason]int{
	outcome.NoService:      http.StatusNotFound,
	outcome.BadDeadline:    http.StatusBadRequest,
	outcome.TooDeep:        http.StatusLoopDetected,
	outcome.KeyMissing:     http.StatusBadRequest,
	outcome.KeyInvalid:     http.StatusBadRequest,
	outcome.KeyReused:      http.StatusUnprocessableEntity,
	outcome.KeyTooOld:      http.StatusConflict,
	outcome.KeyClaimed:     http.StatusConflict,
	outcome.UpgradeRefused: http.StatusNotImplemented,
	outcome.BodyBroken:     http.StatusBadRequest,
	outcome.DeadlinePassed: http.StatusGatewayTimeout,
	outcome.AttemptTimeout: http.StatusGatewayTimeout,
	outcome.AnswerLost:     http.StatusBadGateway,
	outcome.AnswerUnframed: http.StatusBadGateway,
}

// refuse answers a call that was not done, at once.
func (h *Handler) refuse(w http.ResponseWriter, fail *dispatch.CallFailure) {
	header := w.Header()
	if !h.Settings.OmitProductHeaders {
		header.Set(HeaderOutcome, string(fail.Outcome))
		header.Set(HeaderReason, string(fail.Reason))
		header.Set(HeaderExtraAttempts, strconv.Itoa(fail.ExtraAttempts))
		header.Set(HeaderRetry, "no")
	}
	if fail.Outcome == outcome.NotRun {
		h.Metrics.CountNotRun(fail.Reason)
		h.advise(header, fail)
	} else {
		h.Metrics.CountUnknown(fail.Reason)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(statusOf(fail))
	// The caller may be gone; there is nobody else to tell.
	_, _ = io.WriteString(w, string(fail.Outcome)+": "+string(fail.Reason)+"\n")
}

// statusOf is the HTTP status of a call that was not done.
func statusOf(fail *dispatch.CallFailure) int {
	if status, ok := statuses[fail.Reason]; ok {
		return status
	}
	if fail.Outcome == outcome.Unknown {
		// Only a call that has not run may be told so.
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// advise tells the caller of a call that was not run when to come back.
func (h *Handler) advise(header http.Header, fail *dispatch.CallFailure) {
	a := outcome.AdviceFor(fail.Reason)
	if a.CanRetry && !h.Settings.OmitProductHeaders {
		header.Set(HeaderRetry, "yes")
	}
	if a.RetryAfter <= 0 {
		return
	}
	if !h.Settings.OmitProductHeaders {
		header.Set("Retry-After", strconv.Itoa(int(a.RetryAfter.Seconds())))
		return
	}
	if fail.RetryAfter > 0 {
		a.RetryAfter = fail.RetryAfter
	}
	// The spread keeps those that are refused together from returning together.
	after := a.RetryAfter/2 + rand.N(a.RetryAfter)
	header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
