package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/apricotmount/apricotmount/quarantine"
	"github.com/apricotmount/apricotmount/tenant"
)

// prefixBytes is the length of the beginning of a streamed body by which its request is
// identified.
const prefixBytes = 4 << 10

// prefixReader passes a stream through and keeps its beginning.
type prefixReader struct {
	stream io.ReadCloser

	mu     sync.Mutex
	prefix []byte
	// peeked holds the bytes that peek has read and Read has not returned yet.
	peeked []byte
	atEnd  bool
	// size is the number of bytes that were read.
	size int64
}

// Read returns the peeked bytes and then those of the stream.
func (p *prefixReader) Read(b []byte) (n int, err error) {
	p.mu.Lock()
	if len(p.peeked) > 0 {
		n = copy(b, p.peeked)
		p.peeked = p.peeked[n:]
		p.mu.Unlock()
		return n, nil
	}
	p.mu.Unlock()
	n, err = p.stream.Read(b)
	p.keep(b[:n], err)
	return n, err
}

// Close closes the stream.
func (p *prefixReader) Close() error {
	return p.stream.Close()
}

// keep records what was read from the stream, as far as it belongs to the prefix.
func (p *prefixReader) keep(b []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size += int64(len(b))
	p.prefix = append(p.prefix, b[:min(len(b), prefixBytes-len(p.prefix))]...)
	p.atEnd = p.atEnd || err == io.EOF
}

// peek reads the prefix ahead of Read, which returns it later. It must not run
// concurrently with Read.
func (p *prefixReader) peek() {
	buf := make([]byte, prefixBytes)
	n, err := io.ReadFull(p.stream, buf)
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	p.keep(buf[:n], err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peeked = buf[:n]
}

// known returns the prefix; ok is false until it is complete.
func (p *prefixReader) known() (prefix []byte, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prefix, p.atEnd || len(p.prefix) == prefixBytes
}

// isRead reports whether a stream of the given length, which is negative if unknown, was read to
// its end.
func (p *prefixReader) isRead(length int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.atEnd || length >= 0 && p.size >= length
}

// credentialHeaders are the headers by which targets distinguish callers.
var credentialHeaders = []string{"Authorization", "Cookie"}

// callerIdentity returns what distinguishes callers for a target: their credentials and, if it
// is forwarded, their address. Copies of a request that come over different networks are the
// same to a target that does not receive the address.
func (h *Handler) callerIdentity(r *http.Request) string {
	parts := r.Header.Values(h.callerHeader())
	if !h.Settings.OmitProductHeaders {
		parts = []string{string(h.caller(r))}
	}
	if t := tenant.FromContext(r.Context()); t != nil {
		// A key may be replaced; the tenant stays.
		parts = append(parts, string(t.Name))
	}
	for _, name := range credentialHeaders {
		parts = append(parts, r.Header.Values(name)...)
	}
	return strings.Join(parts, "\n")
}

// identity identifies the request of a call; it implements dispatch.Identity.
type identity struct {
	caller  string
	inbound *http.Request
	body    *body

	mu     sync.Mutex
	digest quarantine.Digest
	isSet  bool
}

// Digest returns the digest of the request. ok is false if its body is streamed and the
// beginning has not been read yet. With mayRead, it waits for that; no attempt of the call
// may have started then.
func (i *identity) Digest(mayRead bool) (d quarantine.Digest, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isSet {
		return i.digest, true
	}
	start, length := i.body.buffered, i.body.length
	if p := i.body.prefix; p != nil {
		if mayRead {
			p.peek()
		}
		if start, ok = p.known(); !ok {
			return quarantine.Digest{}, false
		}
		if len(start) < prefixBytes {
			// The same body has the same length, whether it was declared or not.
			length = int64(len(start))
		}
	}
	i.digest = quarantine.Request{
		Caller: i.caller, Method: i.inbound.Method, Host: HostWithoutPort(i.inbound.Host), URI: i.inbound.URL.RequestURI(),
		BodyLength: length, Body: start,
	}.Digest()
	i.isSet = true
	return i.digest, true
}
