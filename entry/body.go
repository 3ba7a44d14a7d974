package entry

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
)

// body is a request's body: kept whole if it is short, streamed otherwise.
type body struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
}

// readBody keeps a body of a known length up to the limit; others are streamed.
func readBody(r *http.Request, limit int64) (b *body, err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > limit {
		return &body{stream: r.Body, length: r.ContentLength}, nil
	}
	buf := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buf); err != nil {
		return nil, err
	}
	return &body{buffered: buf, length: r.ContentLength}, nil
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool {
	return b.stream == nil
}

// open returns the body for one attempt, or nil if there is none. The reader is
// of a type that the HTTP library cannot rewind.
func (b *body) open() io.ReadCloser {
	switch {
	case b.stream != nil:
		return io.NopCloser(b.stream)
	case b.length == 0:
		return nil
	default:
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.buffered)})
	}
}

// fingerprint tells requests apart that carry the same key: method, path,
// length, and the body if it was kept.
func (b *body) fingerprint(r *http.Request) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(b.length, 10)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(b.buffered)
	return h.Sum(nil)
}
