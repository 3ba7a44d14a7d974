package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers between callers and the system.
const (
	// HeaderOutcome is done, not-run or unknown.
	HeaderOutcome = "Apricot-Outcome"
	// HeaderReason says why a call was not done.
	HeaderReason = "Apricot-Reason"
	// HeaderRetry says whether the same call may succeed later: yes or no.
	HeaderRetry = "Apricot-Retry"
	// HeaderDeadline is the time the caller gives, in milliseconds remaining.
	HeaderDeadline = "Apricot-Deadline-Ms"
	// HeaderHops counts how often a chain of calls has entered the system.
	HeaderHops = "Apricot-Hops"
	// HeaderAllowance is how many further attempts the chain may still make.
	HeaderMaxExtraAttempts = "Apricot-Further-Attempts"
	// HeaderSpent is how many further attempts were made for this answer.
	HeaderExtraAttempts = "Apricot-Further-Spent"
	// HeaderWaited is how long the call waited in the node, in microseconds.
	HeaderWaitMicros = "Apricot-Waited-Us"
	// HeaderKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHops is how deep calls may pass through the system.
const maxHops = 7

// hopByHop are the headers that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes headers that must not be passed on.
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

// parseDeadline reads the caller's time; ok is false if it is malformed.
func parseDeadline(h http.Header, name string) (d time.Duration, given, ok bool) {
	text := h.Get(name)
	if text == "" {
		return 0, false, true
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, true, false
	}
	return time.Duration(ms) * time.Millisecond, true, true
}

// parseCount reads a small count, or the default if it is absent or malformed.
func parseCount(h http.Header, name string, def int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return def
	}
	return n
}

// hostOnly is a request's host without its port, in lower case.
func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

// remoteIP is the address a request came from, without its port.
func remoteIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
