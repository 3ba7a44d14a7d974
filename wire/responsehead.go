package wire

import (
	"bytes"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/intake"
)

// DefaultResponseLines is the maximum number of header lines of a response. Each line takes memory
// of its own, many times its bytes if it is short.
const DefaultResponseLines = 256

var errTooManyLines = eris.New("the response has too many header lines")

// responseHead counts the header lines of a response while they are received. It is safe for
// concurrent use.
type responseHead struct {
	maxLines int

	mu sync.Mutex
	// isOpen reports whether a head is being received.
	isOpen bool
	head   intake.Head
	// start holds the first bytes of the status line.
	start []byte
}

// begin expects the head of a response.
func (r *responseHead) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isOpen, r.head, r.start = true, intake.Head{}, r.start[:0]
}

// add takes bytes that were received. It returns an error if the head has too many lines.
func (r *responseHead) add(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isOpen && len(p) > 0 {
		r.start = append(r.start, p[:min(len(p), len(interimStart)-len(r.start))]...)
		n, isComplete := r.head.Scan(p)
		p = p[n:]
		if r.head.Lines() > r.maxLines {
			return errTooManyLines
		}
		if isComplete {
			// Another head follows that of an interim response.
			r.isOpen = r.isInterim()
			r.head, r.start = intake.Head{}, r.start[:0]
		}
	}
	return nil
}

// interimStart is the start of the status line of an interim response.
const interimStart = "HTTP/1.1 1"

// isInterim reports whether the head is that of an interim response.
func (r *responseHead) isInterim() bool { return bytes.Equal(r.start, []byte(interimStart)) }
