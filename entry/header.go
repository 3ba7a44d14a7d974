package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of requests from callers and of responses to them.
const (
	// HeaderOutcome carries the outcome: done, not-run or unknown.
	HeaderOutcome = "Apricot-Outcome"
	// HeaderReason carries the reason why a call was not done.
	HeaderReason = "Apricot-Reason"
	// HeaderRetry states whether the same call may succeed later: yes or no.
	HeaderRetry = "Apricot-Retry"
	// HeaderDeadline carries the caller's remaining time in milliseconds.
	HeaderDeadline = "Apricot-Deadline-Ms"
	// HeaderHops is the number of times that a chain of calls has passed through
	// the load balancer.
	HeaderHops = "Apricot-Hops"
	// HeaderMaxExtraAttempts is the number of extra attempts that the call chain may
	// still make.
	HeaderMaxExtraAttempts = "Apricot-Further-Attempts"
	// HeaderCounted states that the call has added its tokens to the budgets of another node.
	HeaderCounted = "Apricot-Counted"
	// HeaderAge carries from node to node the time since the caller first sent the call, in
	// milliseconds.
	HeaderAge = "Apricot-Age-Ms"
	// HeaderService carries from node to node the service that was chosen for the call.
	HeaderService = "Apricot-Service"
	// HeaderExtraAttempts is the number of extra attempts made for this response.
	HeaderExtraAttempts = "Apricot-Further-Spent"
	// HeaderWaitMicros is the time that the call waited in the node, in
	// microseconds.
	HeaderWaitMicros = "Apricot-Waited-Us"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// countedValue is the value of HeaderCounted.
const countedValue = "yes"

// maxHops is the number of passes through the load balancer at which a call is
// rejected.
const maxHops = 7

// hopByHop lists the hop-by-hop headers, which apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the hop-by-hop headers, including those listed in the
// Connection header.
func stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// parseRemainingTime parses the caller's remaining time, in milliseconds, from the
// header with the given name. isSet is false if the header is absent; ok is false
// if it is malformed.
func parseRemainingTime(h http.Header, name string) (remaining time.Duration, isSet, ok bool) {
	value := h.Get(name)
	if value == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 {
		return 0, true, false
	}
	return time.Duration(ms) * time.Millisecond, true, true
}

// parseCount parses a non-negative count; it returns def if the header is absent or
// malformed.
func parseCount(h http.Header, name string, def int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return def
	}
	return n
}

// HostWithoutPort returns the host without its port, in lower case.
func HostWithoutPort(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

// remoteIP returns the remote address of a request without its port.
func remoteIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
