package entry

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
)

// body is a request body: buffered if it is short and its length is known,
// streamed otherwise.
type body struct {
	buffered []byte
	stream   io.ReadCloser
	// prefix is the stream too, which keeps its beginning; nil if the body is buffered.
	prefix *prefixReader
	length int64
	// isStreaming reports whether the stream was sent.
	isStreaming bool
}

// readBody buffers a body whose length is known and at most limit bytes, if mayBuffer
// permits it; other bodies are streamed.
func readBody(r *http.Request, limit int64, mayBuffer func(n int64) bool) (b *body, err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > limit || !mayBuffer(r.ContentLength) {
		prefix := &prefixReader{stream: r.Body}
		return &body{stream: prefix, prefix: prefix, length: r.ContentLength}, nil
	}
	buf := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buf); err != nil {
		return nil, err
	}
	return &body{buffered: buf, length: r.ContentLength}, nil
}

// isReplayable reports whether the body can be sent more than once.
func (b *body) isReplayable() bool {
	return b.stream == nil
}

// isPartlySent reports whether the body is streamed and was not read to its end when it was sent.
func (b *body) isPartlySent() bool {
	return b.isStreaming && !b.prefix.isRead(b.length)
}

// open returns the body for one attempt, or nil if there is none. The returned
// reader has a type that net/http cannot rewind, so net/http cannot resend it.
func (b *body) open() io.ReadCloser {
	switch {
	case b.stream != nil:
		b.isStreaming = true
		return io.NopCloser(b.stream)
	case b.length == 0:
		return nil
	default:
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.buffered)})
	}
}

// fingerprint returns a hash that distinguishes requests with the same
// idempotency key. It covers method, URI, length, and the body if it is buffered.
func (b *body) fingerprint(r *http.Request) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(b.length, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(b.buffered)
	return h.Sum(nil)
}
