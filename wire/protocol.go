package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/target"
)

// Protocol names the headers and the path used between targets and the load
// balancer. An empty Protocol means DefaultProtocol. LoadHeader, ColdHeader,
// ExpectHeader, IDHeader, KeyHeader, TenantHeader, LeavingHeader, LimitHeader, ProofHeader, OutcomeHeader,
// ReasonHeader and RetryHeader are optional; empty disables the feature.
type Protocol struct {
	// InstanceHeader identifies the target's process on each response.
	InstanceHeader string
	// StateHeader carries the target's state on each response.
	StateHeader string
	// InFlightHeader carries the number of calls open at the target.
	InFlightHeader string
	// RefusalHeader with RefusalValue marks a response that refused the call
	// before it started; an empty RefusalValue accepts any value. Except for
	// status 421 with ExpectHeader, no other response proves that.
	RefusalHeader, RefusalValue string
	// DeadlineHeader carries the remaining time to the target, in whole
	// milliseconds.
	DeadlineHeader string
	// LoadPath is the URL path of a probe.
	LoadPath string
	// LoadHeader carries on responses the target's number of running and waiting
	// calls, its concurrency limit, and the current duration of work in percent
	// of the usual one: "running,waiting,slots,pace". The last may be missing. If
	// set, StateHeader and InFlightHeader are not read.
	LoadHeader string
	// ColdHeader carries on probes the remaining cold-start time of the target,
	// in milliseconds.
	ColdHeader string
	// ExpectHeader carries to the target the instance that the call is meant for;
	// another instance refuses the call with status 421, which with OutcomeHeader needs
	// the mark of a refusal too, since it may be that of a target.
	ExpectHeader string
	// IDHeader carries the call ID, which targets echo. A response with another
	// ID, or none, belongs to another call or to a probe.
	IDHeader string
	// KeyHeader carries a caller's API key, which no target receives, and TenantHeader the
	// name of the key's tenant to the target.
	KeyHeader, TenantHeader string
	// LeavingHeader is present on each response of a target that is about to stop.
	LeavingHeader string
	// LimitHeader carries the number of requests a second, with an optional fraction,
	// that a target takes from all load balancers together. It is forwarded to callers.
	LimitHeader string
	// ProofHeader is present on each response made by a target itself; a
	// successful response (2xx) without it is rejected.
	ProofHeader string
	// OutcomeHeader carries on each response of another node how the call ended there, with
	// the reason in ReasonHeader and the delay advised to the caller, in milliseconds, in
	// RetryHeader. A response without an outcome is not genuine.
	OutcomeHeader, ReasonHeader, RetryHeader string
	// HeaderPrefixes are the prefixes of the names of all headers of the protocol. A
	// header of a response that has one and is not known is reported. Empty ones are
	// ignored.
	HeaderPrefixes [2]string
}

// DefaultProtocol is used if the settings do not specify a protocol.
var DefaultProtocol = Protocol{
	InstanceHeader: "Target-Instance",
	StateHeader:    "Target-State",
	InFlightHeader: "Target-In-Flight",
	RefusalHeader:  "Target-Refused",
	RefusalValue:   "before-start",
	DeadlineHeader: "Apricot-Deadline-Ms",
	LoadPath:       "/load",
}

// ParseReport parses the load report in the headers of a response, and what the target
// says about further requests.
func (p Protocol) ParseReport(resp *http.Response) target.Report {
	report := p.parseLoad(resp.Header)
	report.ReceivedAt = time.Now()
	report.Limit = p.parseLimit(resp.Header)
	report.UnknownHeaders = p.unknownHeaders(resp.Header)
	report.IsLeaving = p.LeavingHeader != "" && resp.Header.Get(p.LeavingHeader) != ""
	if resp.StatusCode == http.StatusServiceUnavailable {
		report.RetryAfter = parseRetryAfter(resp.Header)
	}
	return report
}

// maxRetryAfter bounds the time for which a target is left alone on its own word.
const maxRetryAfter = 10 * time.Minute

// parseRetryAfter returns the Retry-After header, in seconds with an optional fraction;
// zero without one. Dates are ignored: the clocks may differ.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// unknownHeaders returns the names of the headers that belong to the protocol by their
// prefix, but are none of those that this version knows.
func (p Protocol) unknownHeaders(h http.Header) (names []string) {
	for name := range h {
		if p.hasHeaderPrefix(name) && !p.isKnownHeader(name) {
			names = append(names, name)
		}
	}
	return names
}

// hasHeaderPrefix reports whether a header belongs to the protocol by its prefix.
func (p Protocol) hasHeaderPrefix(name string) bool {
	for _, prefix := range p.HeaderPrefixes {
		if prefix != "" && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// isKnownHeader reports whether a header is one of the protocol's, by its canonical name.
func (p Protocol) isKnownHeader(name string) bool {
	for _, known := range []string{
		p.InstanceHeader, p.StateHeader, p.InFlightHeader, p.RefusalHeader, p.DeadlineHeader, p.LoadHeader, p.ColdHeader,
		p.ExpectHeader, p.IDHeader, p.LeavingHeader, p.LimitHeader, p.ProofHeader,
	} {
		if known != "" && http.CanonicalHeaderKey(known) == name {
			return true
		}
	}
	return false
}

// parseLimit returns the rate limit that the headers name.
func (p Protocol) parseLimit(h http.Header) target.RateLimit {
	if p.LimitHeader == "" {
		return target.RateLimit{}
	}
	values := h.Values(p.LimitHeader)
	if len(values) == 0 {
		return target.RateLimit{}
	}
	number, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	rate := quota.Rate(number)
	if err != nil || len(values) > 1 || !rate.IsValid() {
		return target.RateLimit{Status: target.LimitUnreadable, Text: strings.Join(values, ", ")}
	}
	return target.RateLimit{Status: target.LimitNamed, PerSecond: rate}
}

// parseLoad parses the load report in the headers of a response.
func (p Protocol) parseLoad(h http.Header) target.Report {
	if p.LoadHeader != "" {
		return p.parseLoadHeader(h)
	}
	state := h.Get(p.StateHeader)
	instance := h.Get(p.InstanceHeader)
	if state == "" && instance == "" {
		return target.Report{}
	}
	inFlight, err := strconv.Atoi(h.Get(p.InFlightHeader))
	if err != nil || inFlight < 0 {
		inFlight = 0
	}
	return target.Report{
		IsPresent: true,
		Instance:  target.Instance(instance),
		State:     target.ParseState(state),
		InFlight:  inFlight,
	}
}

// normalPacePercent is the pace in LoadHeader of a target whose work takes the usual
// time.
const normalPacePercent = 100

// parseLoadHeader parses a load report from LoadHeader and ColdHeader.
func (p Protocol) parseLoadHeader(h http.Header) target.Report {
	report := target.Report{Instance: target.Instance(h.Get(p.InstanceHeader)), SlowdownFactor: 1}
	report.IsPresent = report.Instance != ""
	if coldMillis, err := strconv.ParseFloat(h.Get(p.ColdHeader), 64); err == nil && coldMillis > 0 {
		report.State = target.Cold
		report.ColdStartRemaining = time.Duration(coldMillis * float64(time.Millisecond))
	} else if report.IsPresent {
		report.State = target.Live
	}
	fields := strings.Split(h.Get(p.LoadHeader), ",")
	if len(fields) < minLoadFields {
		return report
	}
	for i, count := range []*int{&report.RunningCount, &report.WaitingCount, &report.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return report
		}
		*count = n
	}
	if len(fields) > minLoadFields {
		if pacePercent, err := strconv.ParseFloat(strings.TrimSpace(fields[minLoadFields]), 64); err == nil && pacePercent > 0 {
			report.SlowdownFactor = pacePercent / normalPacePercent
		}
	}
	report.IsPresent, report.IsDetailed = true, true
	report.InFlight = report.RunningCount + report.WaitingCount
	return report
}

// minLoadFields is the minimum number of fields in LoadHeader; the pace is optional.
const minLoadFields = 3

// IsRefusal reports whether a response proves that the call was not started.
func (p Protocol) IsRefusal(resp *http.Response) bool {
	if p.ExpectHeader != "" && p.OutcomeHeader == "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value, isMarked := resp.Header[http.CanonicalHeaderKey(p.RefusalHeader)]
	return isMarked && (p.RefusalValue == "" || value[0] == p.RefusalValue)
}

// IsMisdirected reports whether the response came from another process than the
// expected one.
func (p Protocol) IsMisdirected(resp *http.Response) bool {
	return p.ExpectHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest && p.IsRefusal(resp)
}

// idMatches reports whether a response carries the call's ID. A refusal needs it too: one
// without may be that of an earlier probe.
func (p Protocol) idMatches(sent http.Header, resp *http.Response) bool {
	return resp.Header.Get(p.IDHeader) == sent.Get(p.IDHeader)
}

// answersCall reports whether a response belongs to a call, by its ID.
func (p Protocol) answersCall(resp *http.Response) bool {
	return p.IDHeader != "" && resp.Header.Get(p.IDHeader) != ""
}

// IsGenuine reports whether a response belongs to the call, according to IDHeader,
// and was made by a target, according to ProofHeader. Only a successful response
// needs a proof.
func (p Protocol) IsGenuine(sent http.Header, resp *http.Response) bool {
	if !p.statesOutcome(resp) {
		return false
	}
	if p.IDHeader != "" && !p.idMatches(sent, resp) {
		return false
	}
	isSuccess := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return p.ProofHeader == "" || !isSuccess || resp.Header.Get(p.ProofHeader) != ""
}

// SetDeadline sets the header with the remaining time, which is at least 0 ms.
func (p Protocol) SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(p.DeadlineHeader, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// StripHeaders removes the headers with load reports and refusals, which are not
// forwarded to callers.
func (p Protocol) StripHeaders(h http.Header) {
	h.Del(p.InstanceHeader)
	h.Del(p.StateHeader)
	h.Del(p.InFlightHeader)
	h.Del(p.LoadHeader)
	h.Del(p.RefusalHeader)
	h.Del(p.LeavingHeader)
	h.Del(p.OutcomeHeader)
	h.Del(p.ReasonHeader)
	h.Del(p.RetryHeader)
}
