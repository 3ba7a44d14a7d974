package entry

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

const (
	// copyBufferSize is the size of the buffers used to copy bodies, in bytes.
	copyBufferSize = 32 << 10
	// smallCopyBufferSize is that of a buffer for which there is no space.
	smallCopyBufferSize = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// TargetResponse is a target's response with its connection; it implements
// dispatch.Response.
type TargetResponse struct {
	conn          *wire.Conn
	hints         *hintWriter
	resp          *http.Response
	report        target.Report
	extraAttempts int
	releaseOnce   sync.Once
	// nodeFailure is how the call ended at another node without a response of a target, if
	// isNodeFailure is true.
	nodeFailure   wire.NodeFailure
	isNodeFailure bool
	// buffer holds the body, or its beginning.
	buffer responseBuffer
	// isBuffered is true if the whole body was read into memory.
	isBuffered bool
	// isStreamable is true if a body that ends with the connection may be streamed.
	isStreamable bool
}

// bufferBody reads a response body of at most limit bytes into memory, so that a
// truncated response is detected before any of it is forwarded. Longer bodies, and those
// for which there is no space, are streamed.
func (r *TargetResponse) bufferBody(limit int64, space *intake.Space) (err error) {
	resp := r.resp
	if limit <= 0 || resp.ContentLength > limit || resp.Body == http.NoBody {
		return nil
	}
	r.buffer.space, r.isStreamable = space, true
	r.isBuffered, err = r.buffer.fill(resp.Body, limit, resp.ContentLength)
	if err != nil {
		return err
	}
	if !r.isBuffered {
		resp.Body = &prefixedBody{Reader: io.MultiReader(&r.buffer, resp.Body), Closer: resp.Body}
		return nil
	}
	resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.Trailer) == 0 {
		resp.ContentLength = r.buffer.length
		resp.Header.Set("Content-Length", strconv.FormatInt(r.buffer.length, 10))
	}
	resp.Body = io.NopCloser(&r.buffer)
	return nil
}

// prefixedBody is a body whose first bytes were already read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// IsServerError reports whether the status is 500 or higher or, for a call that ended at
// another node, whether it may have run.
func (r *TargetResponse) IsServerError() bool {
	if r.isNodeFailure {
		return r.nodeFailure.Outcome == outcome.Unknown
	}
	return r.resp.StatusCode >= http.StatusInternalServerError
}

// Report returns the load report in the response headers.
func (r *TargetResponse) Report() target.Report { return r.report }

// ExtraAttempts returns the number of extra attempts made by load balancers
// downstream of the target, as stated in the response.
func (r *TargetResponse) ExtraAttempts() int { return r.extraAttempts }

// discardTimeout bounds the time for which the call waits for the rest of a response that it
// does not use.
const discardTimeout = 50 * time.Millisecond

// Discard closes the response unread. A short remaining body that arrives within
// discardTimeout is read so that the connection can be reused.
func (r *TargetResponse) Discard() {
	r.releaseOnce.Do(func() {
		timer := time.AfterFunc(discardTimeout, func() { r.resp.Body.Close() })
		n, err := io.CopyN(io.Discard, r.resp.Body, copyBufferSize)
		timer.Stop()
		r.resp.Body.Close()
		r.buffer.release()
		r.conn.Release(err == io.EOF && n < copyBufferSize && !r.resp.Close)
	})
}

// release closes the body and releases the connection, which is reused only if
// fullyRead states that the body was read to its end.
func (r *TargetResponse) release(fullyRead bool) {
	r.releaseOnce.Do(func() {
		r.resp.Body.Close()
		r.buffer.release()
		r.conn.Release(fullyRead && !r.resp.Close)
	})
}

// isFramed reports whether the end of the body can be distinguished from a broken
// connection. A body that ends with the connection counts as framed where bodies are buffered, also if
// it is too long for that: package replyconn passes on a proved end only.
func (r *TargetResponse) isFramed(method string) bool {
	resp := r.resp
	if r.isBuffered || r.isStreamable || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return true
	}
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// rejectResponse ends a call whose response cannot be forwarded: its end cannot be determined, or
// another node states that it has none. It returns the failure, or nil.
func rejectResponse(callResponse *dispatch.CallResponse, method string) *dispatch.CallFailure {
	r := callResponse.Response.(*TargetResponse)
	// A hedge may still receive hints.
	r.hints.close()
	failure := &dispatch.CallFailure{Outcome: outcome.Unknown, Reason: outcome.AnswerUnframed, ExtraAttempts: callResponse.ExtraAttempts, HasReached: true}
	switch {
	case r.isNodeFailure:
		r.Discard()
		callResponse.Finish(target.ServerFailed)
		failure.Outcome, failure.Reason, failure.AdvisedRetry = r.nodeFailure.Outcome, r.nodeFailure.Reason, r.nodeFailure.RetryAfter
		if callResponse.MayHaveRun() && failure.Outcome == outcome.NotRun {
			// This holds for the last copy only.
			failure.Outcome, failure.Reason = outcome.Unknown, outcome.AnswerLost
		}
		return failure
	case !r.isFramed(method):
		r.release(false)
		callResponse.Finish(target.Broken)
		return failure
	default:
		return nil
	}
}

// writeResponse forwards a target's response to the caller. It returns a failure if the
// caller did not get the whole response; aborted reports that the caller's connection
// must be aborted, because the response is truncated.
func (h *Handler) writeResponse(w http.ResponseWriter, inbound *http.Request, callResponse *dispatch.CallResponse, arrivedAt time.Time) (failure outcome.Failure, aborted bool) {
	r := callResponse.Response.(*TargetResponse)
	h.writeHeader(w, r, callResponse)
	err := h.copyBody(w, r)
	if err == nil {
		copyTrailer(w.Header(), r.resp)
	}
	r.release(err == nil)
	if err != nil {
		if !inbound.ProtoAtLeast(1, 1) {
			resetCaller(w)
		}
		result, reason := target.Broken, outcome.AnswerLost
		if inbound.Context().Err() != nil || err.isCallerSide {
			result, reason = target.Cancelled, outcome.CallerGoneAfterSend
		}
		callResponse.Finish(result)
		h.Metrics.CountUnknown(reason)
		return outcome.Failure{Outcome: outcome.Unknown, Reason: reason}, true
	}
	callResponse.Finish(target.Answered)
	h.Metrics.CountDone(time.Since(arrivedAt), callResponse.TimeToAttempt)
	return outcome.Failure{}, false
}

// resetCaller resets the connection of a caller with HTTP/1.0. The body of a response without
// a length ends there with the connection, and a closed one would make it look whole.
func resetCaller(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tlsConn, ok := c.(*tls.Conn); ok {
		c = tlsConn.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// writeHeader writes the status and headers of a target's response to the caller.
func (h *Handler) writeHeader(w http.ResponseWriter, r *TargetResponse, callResponse *dispatch.CallResponse) {
	header := w.Header()
	connectionHeader := header.Get("Connection")
	targetHeader := r.resp.Header
	stripHopByHop(targetHeader)
	h.protocol().StripHeaders(targetHeader)
	for name, values := range targetHeader {
		header[name] = values
	}
	if len(r.resp.TransferEncoding) > 0 && !r.isBuffered {
		header.Del("Content-Length")
	}
	if connectionHeader != "" {
		header.Set("Connection", connectionHeader)
	}
	for name := range r.resp.Trailer {
		header.Add("Trailer", name)
	}
	if h.Settings.StatesCall {
		header.Del(HeaderExtraAttempts)
	}
	if callResponse.IsRelayed() || !h.Settings.OmitProductHeaders {
		header.Set(HeaderExtraAttempts, strconv.Itoa(callResponse.ExtraAttempts))
	}
	if !h.Settings.OmitProductHeaders {
		header.Set(HeaderOutcome, string(outcome.Done))
		header.Set(HeaderWaitMicros, strconv.FormatInt(callResponse.TimeToAttempt.Microseconds(), 10))
	}
	w.WriteHeader(r.resp.StatusCode)
}

// copyError describes a failed copy and the side that caused it.
type copyError struct {
	cause        error
	isCallerSide bool
}

// copyBody writes a body to the caller.
func (h *Handler) copyBody(w http.ResponseWriter, r *TargetResponse) *copyError {
	if r.isBuffered {
		if err := r.buffer.writeTo(w); err != nil {
			return &copyError{cause: err, isCallerSide: true}
		}
		return nil
	}
	space := h.Settings.ResponseSpace
	if !space.Reserve(copyBufferSize) {
		var buf [smallCopyBufferSize]byte
		return streamBody(w, r.resp, buf[:])
	}
	defer space.Release(copyBufferSize)
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	return streamBody(w, r.resp, buf[:])
}

// streamBody streams a body to the caller. If its length is unknown, each read is
// flushed at once.
func streamBody(w http.ResponseWriter, resp *http.Response, buf []byte) *copyError {
	flusher, _ := w.(http.Flusher)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return &copyError{cause: err, isCallerSide: true}
			}
			if resp.ContentLength < 0 && flusher != nil {
				flusher.Flush()
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return &copyError{cause: readErr}
		}
	}
}

// copyTrailer copies the response's trailers to h.
func copyTrailer(h http.Header, resp *http.Response) {
	for name, values := range resp.Trailer {
		for _, v := range values {
			h.Add(name, v)
		}
	}
}
