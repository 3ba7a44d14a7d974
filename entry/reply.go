package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// copySize is the size of the buffers that bodies are copied with, in bytes.
const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// Reply is a target's answer on its connection; it is a dispatch.Response.
type TargetResponse struct {
	conn   *wire.Conn
	resp   *http.Response
	report target.Report
	spent  int
	once   sync.Once
	// kept says that the body was read whole.
	kept bool
}

// keep reads an answer of at most limit bytes whole, so that one that breaks off
// is noticed before anything was passed on. Longer ones are streamed.
func (r *TargetResponse) keep(limit int64) error {
	resp := r.resp
	if limit <= 0 || resp.ContentLength > limit {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(b)) > limit {
		resp.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(b), resp.Body), Closer: resp.Body}
		return nil
	}
	resp.Body.Close()
	r.kept = true
	if resp.ContentLength < 0 && len(resp.Trailer) == 0 {
		resp.ContentLength = int64(len(b))
		resp.Header.Set("Content-Length", strconv.Itoa(len(b)))
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return nil
}

// prefixed is a body of which some was read ahead.
type prefixed struct {
	io.Reader
	io.Closer
}

// IsServerError reports whether the target says that it failed.
func (r *TargetResponse) IsServerError() bool {
	return r.resp.StatusCode >= http.StatusInternalServerError
}

// Report is the load stated on the answer.
func (r *TargetResponse) Report() target.Report { return r.report }

// ExtraAttempts is how many extra attempts the layers below made.
func (r *TargetResponse) ExtraAttempts() int { return r.spent }

// Discard ends the answer unread; a short rest is read so that the connection
// can be used again.
func (r *TargetResponse) Discard() {
	r.once.Do(func() {
		n, err := io.CopyN(io.Discard, r.resp.Body, copySize)
		r.resp.Body.Close()
		r.conn.Release(err == io.EOF && n < copySize && !r.resp.Close)
	})
}

// release gives the connection back after the body; whole says it was read to
// its end.
func (r *TargetResponse) release(whole bool) {
	r.once.Do(func() {
		r.resp.Body.Close()
		r.conn.Release(whole && !r.resp.Close)
	})
}

// framed reports whether the end of the body can be told from a broken
// connection.
func (r *TargetResponse) framed(method string) bool {
	resp := r.resp
	if r.kept || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return true
	}
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// reply passes a target's answer to the caller. If it breaks off, the caller's
// connection is aborted.
func (h *Handler) reply(w http.ResponseWriter, in *http.Request, resp *dispatch.CallResponse, arrived time.Time) {
	r := resp.Response.(*TargetResponse)
	if !r.framed(in.Method) {
		r.release(false)
		resp.Finish(target.Broken)
		h.refuse(w, &dispatch.CallFailure{Outcome: outcome.Unknown, Reason: outcome.AnswerUnframed, ExtraAttempts: resp.ExtraAttempts})
		return
	}
	h.writeHeader(w, r, resp)
	err := copyBody(w, r.resp)
	if err == nil {
		copyTrailer(w.Header(), r.resp)
	}
	r.release(err == nil)
	if err != nil {
		result := target.Broken
		if in.Context().Err() != nil || err.callerSide {
			result = target.Cancelled
		}
		resp.Finish(result)
		h.Metrics.CountUnknown(outcome.AnswerLost)
		panic(http.ErrAbortHandler)
	}
	resp.Finish(target.Answered)
	h.Metrics.CountDone(time.Since(arrived), resp.TimeToAttempt)
}

func (h *Handler) writeHeader(w http.ResponseWriter, r *TargetResponse, resp *dispatch.CallResponse) {
	header := w.Header()
	closing := header.Get("Connection")
	from := r.resp.Header
	stripHopByHop(from)
	h.protocol().StripHeaders(from)
	for name, values := range from {
		header[name] = values
	}
	if len(r.resp.TransferEncoding) > 0 && !r.kept {
		header.Del("Content-Length")
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	for name := range r.resp.Trailer {
		header.Add("Trailer", name)
	}
	if !h.Settings.OmitProductHeaders {
		header.Set(HeaderOutcome, string(outcome.Done))
		header.Set(HeaderExtraAttempts, strconv.Itoa(resp.ExtraAttempts))
		header.Set(HeaderWaitMicros, strconv.FormatInt(resp.TimeToAttempt.Microseconds(), 10))
	}
	w.WriteHeader(r.resp.StatusCode)
}

// copyError says which side ended a copy.
type copyError struct {
	cause      error
	callerSide bool
}

// copyBody streams a body; what has come is passed on at once when its length
// is not known.
func copyBody(w http.ResponseWriter, resp *http.Response) *copyError {
	buf := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	for {
		n, readErr := resp.Body.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return &copyError{cause: err, callerSide: true}
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

func copyTrailer(h http.Header, resp *http.Response) {
	for name, values := range resp.Trailer {
		for _, v := range values {
			h.Add(name, v)
		}
	}
}
