package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
)

// NodeFailure describes a call that ended at another node without a response of a target.
type NodeFailure struct {
	outcome.Failure
	// RetryAfter is the delay that the node advises to the caller; zero without one.
	RetryAfter time.Duration
}

// ParseNodeFailure returns the failure that a response of another node states; isFailure is false
// if it forwards the response of a target.
func (p Protocol) ParseNodeFailure(resp *http.Response) (f NodeFailure, isFailure bool) {
	if p.OutcomeHeader == "" {
		return NodeFailure{}, false
	}
	f.Outcome = outcome.Outcome(resp.Header.Get(p.OutcomeHeader))
	f.Reason = outcome.Reason(resp.Header.Get(p.ReasonHeader))
	if ms, err := strconv.ParseInt(resp.Header.Get(p.RetryHeader), 10, 32); err == nil {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return f, f.Outcome != outcome.Done
}

// statesOutcome reports whether a response states how the call ended, where the protocol
// requires that.
func (p Protocol) statesOutcome(resp *http.Response) bool {
	if p.OutcomeHeader == "" {
		return true
	}
	switch outcome.Outcome(resp.Header.Get(p.OutcomeHeader)) {
	case outcome.Done, outcome.NotRun, outcome.Unknown:
		return true
	default:
		return false
	}
}
