package entry

import (
	"context"
	"io"
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
	Claim(svc service.Name, p *profile.Profile, key string, fingerprint []byte) (dispatch.Claim, outcome.Refusal)
}

// Settings of a Handler; zero values mean the defaults.
type Settings struct {
	Protocol wire.Protocol
	// CallerHeader identifies callers for fairness. Default X-Forwarded-For;
	// without it the address the request came from.
	CallerHeader string
	// ReplayBuffer is the longest body that is kept for a further attempt, in
	// bytes. Default 64 KiB.
	ReplayBuffer int64
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
	Counts     *metrics.Calls
	Settings   Settings

	leaving atomic.Bool
	open    atomic.Int64
}

// SetLeaving makes each answer tell callers to close their connection.
func (h *Handler) SetLeaving() {
	h.leaving.Store(true)
}

// Open is how many calls are in progress.
func (h *Handler) Open() int64 {
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
	c, refusal := h.read(r, arrived)
	if refusal.Reason != "" {
		h.refuse(w, &dispatch.Lost{Outcome: refusal.Outcome, Reason: refusal.Reason})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.call.Deadline)
	defer cancel()
	x := &exchange{handler: h, in: r, body: c.body, w: w, hops: c.hops}
	won, lost := h.Dispatcher.Do(ctx, c.route.Dispatch, c.call, x)
	if lost != nil {
		h.refuse(w, lost)
		return
	}
	h.reply(w, r, won, arrived)
}

// incoming is a caller's request as the system understands it.
type incoming struct {
	route Route
	call  *dispatch.Call
	body  *body
	hops  int
}

func notRun(r outcome.Reason) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: r}
}

// read understands a request, or says why it is refused.
func (h *Handler) read(r *http.Request, now time.Time) (c incoming, refusal outcome.Refusal) {
	route, ok := h.Directory.Route(hostOnly(r.Host), r.URL.Path)
	if !ok {
		return incoming{}, notRun(outcome.NoService)
	}
	if r.Header.Get("Upgrade") != "" {
		return incoming{}, notRun(outcome.UpgradeRefused)
	}
	asked, given, ok := parseDeadline(r.Header)
	if !ok {
		return incoming{}, notRun(outcome.BadDeadline)
	}
	limit := route.Profile.Deadline
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
		Profile:    route.Profile,
		Caller:     h.caller(r),
		Deadline:   now.Add(limit),
		Allowance:  retry.NewAllowance(min(route.Profile.Retries, parseCount(r.Header, HeaderAllowance, route.Profile.Retries))),
		Replayable: b.replayable(),
	}
	call.Claim, refusal = h.claim(r, route, b)
	return incoming{route: route, call: call, body: b, hops: hops}, refusal
}

func (h *Handler) replayBuffer() int64 {
	if h.Settings.ReplayBuffer == 0 {
		return defaultReplayBuffer
	}
	return h.Settings.ReplayBuffer
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
func (h *Handler) claim(r *http.Request, route Route, b *body) (c dispatch.Claim, refusal outcome.Refusal) {
	if route.Profile.Idempotent {
		return nil, outcome.Refusal{}
	}
	key := r.Header.Get(HeaderKey)
	if key == "" && route.Profile.RequireKey {
		return nil, notRun(outcome.KeyMissing)
	}
	if key == "" || !route.Profile.Keyed() {
		return nil, outcome.Refusal{}
	}
	if len(r.Header.Values(HeaderKey)) > 1 {
		return nil, notRun(outcome.KeyInvalid)
	}
	return h.Claims.Claim(route.Service.Name, route.Profile, key, b.fingerprint(r))
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
func (h *Handler) refuse(w http.ResponseWriter, lost *dispatch.Lost) {
	header := w.Header()
	header.Set(HeaderOutcome, string(lost.Outcome))
	header.Set(HeaderReason, string(lost.Reason))
	header.Set(HeaderSpent, strconv.Itoa(lost.Spent))
	header.Set(HeaderRetry, "no")
	if lost.Outcome == outcome.NotRun {
		h.Counts.NotRun(lost.Reason)
		advise(header, outcome.AdviceFor(lost.Reason))
	} else {
		h.Counts.Unknown(lost.Reason)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	status, ok := statuses[lost.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = io.WriteString(w, string(lost.Outcome)+": "+string(lost.Reason)+"\n")
}

func advise(h http.Header, a outcome.Advice) {
	if a.Retry {
		h.Set(HeaderRetry, "yes")
	}
	if a.After > 0 {
		h.Set("Retry-After", strconv.Itoa(int(a.After.Seconds())))
	}
}
