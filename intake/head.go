package intake

import "bytes"

// Head follows the bytes of a request's head up to the empty line at its end. It finds the same
// end as net/http, which accepts lines that end with LF only. The zero value is a head of which
// nothing was received.
type Head struct {
	// received is the number of bytes so far.
	received int64
	// lines is the number of complete header lines, without the request line, and content the
	// length of their names and values, in bytes, at the least.
	lines   int
	content int64
	// hasRequestLine reports whether the request line is complete.
	hasRequestLine bool
	// lineBytes is the length of the unfinished line, and endsWithCR reports whether its last
	// byte is a CR.
	lineBytes  int64
	endsWithCR bool
}

// maxEmptyBytes is the number of bytes of empty lines before a request line that net/http
// accepts. Behind more of them, no request is accepted.
const maxEmptyBytes = 4

// Scan takes the next bytes. It returns how many of them belong to the head, and whether the
// head ends with them. A head that begins with too many empty lines ends at once.
func (h *Head) Scan(p []byte) (n int, isComplete bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			h.addPart(p[n:])
			return len(p), false
		}
		h.addPart(p[n : n+i])
		n += i + 1
		h.received++
		if h.endLine() {
			return n, true
		}
	}
	return n, false
}

// addPart adds a part of a line that has no LF.
func (h *Head) addPart(p []byte) {
	if len(p) == 0 {
		return
	}
	h.received += int64(len(p))
	h.lineBytes += int64(len(p))
	h.endsWithCR = p[len(p)-1] == '\r'
}

// endLine ends the unfinished line and reports whether the head ends with it.
func (h *Head) endLine() (isComplete bool) {
	length := h.lineBytes
	if h.endsWithCR {
		length--
	}
	h.lineBytes, h.endsWithCR = 0, false
	switch {
	case length == 0:
		return h.hasRequestLine || h.received > maxEmptyBytes
	case !h.hasRequestLine:
		h.hasRequestLine = true
	default:
		h.lines++
		h.content += max(1, length-lineOverhead)
	}
	return false
}

// lineOverhead is the length of the colon and the space between a name and a value. Senders may
// leave the space out.
const lineOverhead = 2

// Lines returns the number of complete header lines.
func (h *Head) Lines() int { return h.lines }

// HasBegun reports whether any byte of the head was received.
func (h *Head) HasBegun() bool { return h.received > 0 }

// Exceeds reports whether the head is longer than a limit on the bytes of names and values. The
// request line may have as many by itself. Line ends and what stands between names and values are
// not counted, so that a head within the limit is accepted whichever way its sender counts.
func (h *Head) Exceeds(limit int64) bool {
	return h.content+h.lineBytes > limit+lineOverhead+1
}

const (
	// bytesPerLine is the memory that a header line takes, beside its bytes: in the request,
	// in the copy of it that is sent, and in the list from which that is written.
	bytesPerLine = 320
	// copiesOfHead is the number of copies of the bytes.
	copiesOfHead = 3
)

// Cost returns the memory that the head takes while its request is served, in bytes.
func (h *Head) Cost() int64 {
	return copiesOfHead*h.received + bytesPerLine*int64(h.lines)
}
