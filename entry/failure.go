package entry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
)

// statusByReason maps failure reasons to HTTP statuses; httpStatus has the
// defaults for the other reasons.
var statusByReason = map[outcome.Reason]int{
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

// writeFailure writes the response to a call that failed.
func (h *Handler) writeFailure(w http.ResponseWriter, failure *dispatch.CallFailure) {
	header := w.Header()
	if !h.Settings.OmitProductHeaders {
		header.Set(HeaderOutcome, string(failure.Outcome))
		header.Set(HeaderReason, string(failure.Reason))
		header.Set(HeaderExtraAttempts, strconv.Itoa(failure.ExtraAttempts))
		header.Set(HeaderRetry, "no")
	}
	if failure.Outcome == outcome.NotRun {
		h.Metrics.CountNotRun(failure.Reason)
		h.setRetryAdvice(header, failure)
	} else {
		h.Metrics.CountUnknown(failure.Reason)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(httpStatus(failure))
	// A write error means that the caller has disconnected and can be ignored.
	_, _ = io.WriteString(w, string(failure.Outcome)+": "+string(failure.Reason)+"\n")
}

// httpStatus returns the HTTP status for a failed call.
func httpStatus(failure *dispatch.CallFailure) int {
	if status, ok := statusByReason[failure.Reason]; ok {
		return status
	}
	if failure.Outcome == outcome.Unknown {
		// Only a call that was not run gets 503, which invites a retry.
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// minRetrySpread is the least time over which the retries of callers are spread that
// were told the same earliest time.
const minRetrySpread = 200 * time.Millisecond

// setRetryAdvice sets the headers that tell the caller of a call that was not run
// whether and when to retry.
func (h *Handler) setRetryAdvice(header http.Header, failure *dispatch.CallFailure) {
	advice := outcome.AdviceFor(failure.Reason)
	if advice.CanRetry && !h.Settings.OmitProductHeaders {
		header.Set(HeaderRetry, "yes")
	}
	if advice.RetryAfter <= 0 {
		return
	}
	if !h.Settings.OmitProductHeaders {
		header.Set("Retry-After", strconv.Itoa(int(advice.RetryAfter.Seconds())))
		return
	}
	delay := RetryDelay(failure)
	header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
}

// RetryDelay returns the delay after which the caller of a call that was not run should retry, or
// zero if none is advised. Callers that were refused together get different delays.
func RetryDelay(failure *dispatch.CallFailure) time.Duration {
	advice := outcome.AdviceFor(failure.Reason)
	if failure.Outcome != outcome.NotRun || advice.RetryAfter <= 0 {
		return 0
	}
	if failure.AdvisedRetry > 0 {
		return failure.AdvisedRetry
	}
	if failure.RetryAfter > 0 {
		advice.RetryAfter = failure.RetryAfter
	}
	// Jitter prevents callers that were rejected together from retrying together.
	delay := advice.RetryAfter/2 + rand.N(advice.RetryAfter)
	if failure.EarliestRetry > 0 {
		delay = failure.EarliestRetry + rand.N(max(failure.EarliestRetry/2, minRetrySpread))
	}
	return delay
}
