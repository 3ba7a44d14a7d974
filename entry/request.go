package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/tenant"
)

// defaultCallTimeout is the timeout of a call whose profile has no CallTimeout.
const defaultCallTimeout = 5 * time.Minute

// inboundCall is a parsed request from a caller.
type inboundCall struct {
	route Route
	call  *dispatch.Call
	body  *body
	hops  int
	// isRelayed reports whether another node has sent the call.
	isRelayed bool
	// reservedBytes is the size of the buffered body.
	reservedBytes int64
}

// notRun returns a failure of a call that was not run.
func notRun(reason outcome.Reason) outcome.Failure {
	return outcome.Failure{Outcome: outcome.NotRun, Reason: reason}
}

// parseRequest parses a request, or returns the reason for rejecting it.
func (h *Handler) parseRequest(r *http.Request, now time.Time, isRelayed bool) (in inboundCall, failure outcome.Failure) {
	in.isRelayed = isRelayed
	route, ok := h.route(r, isRelayed)
	if !ok {
		return in, notRun(outcome.NoService)
	}
	route = route.withTenantUrgency(tenant.FromContext(r.Context()))
	if r.Header.Get("Upgrade") != "" {
		return in, notRun(outcome.UpgradeRefused)
	}
	requestedTimeout, isSet, ok := parseRemainingTime(r.Header, h.DeadlineHeader())
	if !ok {
		return in, notRun(outcome.BadDeadline)
	}
	timeout := route.Profile.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	if isSet {
		timeout = min(timeout, requestedTimeout)
	}
	hops := parseCount(r.Header, HeaderHops, 0)
	if hops >= maxHops {
		return in, notRun(outcome.TooDeep)
	}
	b, err := readBody(r, h.replayBufferBytes(), func(n int64) bool {
		ok := h.Settings.BodySpace.Reserve(n)
		if ok {
			in.reservedBytes = n
		}
		return ok
	})
	if err != nil {
		return in, notRun(outcome.BodyBroken)
	}
	call := &dispatch.Call{
		ID:             r.Header.Get(h.protocol().IDHeader),
		Profile:        route.Profile,
		Caller:         h.caller(r),
		Deadline:       now.Add(timeout),
		Allowance:      retry.NewAllowance(maxExtraAttempts(r, route.Profile.MaxRetries, isRelayed)),
		BodyReplayable: b.isReplayable(),
		IsRelayed:      isRelayed,
		IsCounted:      isRelayed && r.Header.Get(HeaderCounted) != "",
	}
	if isRelayed {
		call.Age, _, _ = parseRemainingTime(r.Header, HeaderAge)
	}
	call.Identity = &identity{caller: h.callerIdentity(r), inbound: r, body: b}
	call.Claim, failure = h.claim(r, route, b)
	in.route, in.call, in.body, in.hops = route, call, b, hops
	return in, failure
}

// route returns the route of a request. A call of another node stays with the service that was
// chosen there, if the route still has it.
func (h *Handler) route(r *http.Request, isRelayed bool) (Route, bool) {
	host, path := HostWithoutPort(r.Host), r.URL.Path
	d, ok := h.Directory.(PartDirectory)
	if chosen := r.Header.Get(HeaderService); isRelayed && ok && chosen != "" {
		return d.RoutePart(host, path, service.Name(chosen))
	}
	return h.Directory.Route(host, path)
}

// maxExtraAttempts returns the number of extra attempts that a call may make, limit at most. A
// call of another node makes none unless that node states how many are left.
func maxExtraAttempts(r *http.Request, limit int, isRelayed bool) int {
	unstated := limit
	if isRelayed {
		unstated = 0
	}
	return min(limit, parseCount(r.Header, HeaderMaxExtraAttempts, unstated))
}

// caller returns the identity of the caller, which is used for fair queueing only: its
// tenant, if the configuration has any.
func (h *Handler) caller(r *http.Request) admission.Caller {
	if t := tenant.FromContext(r.Context()); t != nil && t.Name != "" {
		return admission.Caller(t.Name)
	}
	first, _, _ := strings.Cut(r.Header.Get(h.callerHeader()), ",")
	if first = strings.TrimSpace(first); first != "" {
		return admission.Caller(first)
	}
	return admission.Caller(remoteIP(r))
}

// claim returns the claim of a call with an idempotency key, or nil if the call
// has no key or its profile does not use keys.
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
