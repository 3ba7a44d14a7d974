package reply

import "math"

// Broken is the reason why bytes are no response. It is an error.
type Broken string

// The reasons.
const (
	StatusLine   Broken = "the response has a malformed status line"
	Status       Broken = "the response has a status that no server sends"
	FieldName    Broken = "the response has a malformed field name"
	FieldValue   Broken = "the response has a malformed field value"
	LineEnd      Broken = "the response has a malformed line end"
	Framing      Broken = "the response does not state one length of its body"
	Chunk        Broken = "the response has a malformed chunk"
	TooManyLines Broken = "the response has too many field lines"
	Unsolicited  Broken = "bytes were received that belong to no response"
	UnprovedEnd  Broken = "the connection ended, and may have been reset"
)

// Error returns the reason.
func (b Broken) Error() string { return string(b) }

// Scanner follows the responses on a connection of a client. It finds the end that net/http finds,
// but accepts only what RFC 9112 allows a server to send: nothing is left out or mended. Each line may
// end with LF only. The zero value expects no response.
type Scanner struct {
	// MaxLines is the maximum number of field lines of a head or of trailers; zero means no limit.
	MaxLines int
	// AllowUpgrade accepts that the server switches to another protocol (101).
	AllowUpgrade bool

	part part
	// isBodyless reports whether the request has the method HEAD.
	isBodyless bool
	// afterCR reports whether the last byte was the CR of a line end.
	afterCR bool
	line    line
	// lines is the number of field lines of the head or of the trailers.
	lines int
	head  head
	// remaining is the rest of the body with a length, or of the chunk, in bytes.
	remaining int64
	// hasSize reports whether the size of the chunk has a digit, and isSizeEnded whether a blank
	// follows.
	hasSize, isSizeEnded bool
	// err is nil or a Broken.
	err error
}

// part is a part of a response.
type part int

const (
	noResponse part = iota
	statusLine
	fieldName
	fieldValue
	trailerName
	trailerValue
	bodyWithLength
	bodyToClose
	chunkSize
	chunkExtension
	chunkData
	chunkEnd
	otherProtocol
)

// Begin expects the response to a request with the method.
func (s *Scanner) Begin(method string) {
	s.part, s.isBodyless, s.afterCR = statusLine, method == "HEAD", false
	s.beginHead()
}

// IsExpecting reports whether a response is expected or has not ended.
func (s *Scanner) IsExpecting() bool { return s.part != noResponse }

// Err returns a Broken, why the connection must not be used for another request: the response is broken,
// or bytes follow that belong to none.
func (s *Scanner) Err() error { return s.err }

// End takes the end of the stream. It returns an error if that end is not proved.
func (s *Scanner) End(e End) error {
	if s.err == nil && !e.IsProved() {
		s.err = UnprovedEnd
	}
	return s.err
}

// Scan takes the next bytes. It returns how many of them belong to a response that is expected. A
// response is whole though bytes follow: these make the next call return an error.
func (s *Scanner) Scan(p []byte) (n int, err error) {
	if s.err != nil {
		return 0, s.err
	}
	for n < len(p) && s.err == nil {
		switch s.part {
		case noResponse:
			s.err = Unsolicited
			if n > 0 {
				return n, nil
			}
		case bodyToClose, otherProtocol:
			return len(p), nil
		case bodyWithLength, chunkData:
			n += s.skip(len(p) - n)
		default:
			if taken := s.scanRun(p[n:]); taken > 0 {
				n += taken
				continue
			}
			s.err = s.scanByte(p[n])
			n++
		}
	}
	return n, s.err
}

// scanRun takes the bytes at the beginning of p that belong to a name, a value or another text, and returns
// how many.
func (s *Scanner) scanRun(p []byte) (n int) {
	if s.afterCR {
		return 0
	}
	switch s.part {
	case fieldName, trailerName:
		n = runLength(p, &isToken)
		s.line.addName(p[:n])
	case fieldValue, trailerValue:
		n = runLength(p, &isText)
		s.line.addValue(p[:n])
	case chunkExtension:
		n = runLength(p, &isText)
	case statusLine:
		n = s.line.addReason(p)
	}
	return n
}

// skip takes at most max bytes of a body and returns how many.
func (s *Scanner) skip(max int) (n int) {
	n = int(min(int64(max), s.remaining))
	s.remaining -= int64(n)
	switch {
	case s.remaining > 0:
	case s.part == chunkData:
		s.part = chunkEnd
	default:
		s.part = noResponse
	}
	return n
}

// scanByte takes a byte of a line.
func (s *Scanner) scanByte(b byte) error {
	switch {
	case b == '\n':
		return s.endLine()
	case s.afterCR:
		return LineEnd
	case b == '\r':
		s.afterCR = true
		return nil
	}
	switch s.part {
	case statusLine:
		return s.line.addStatus(b)
	case fieldName, trailerName:
		return s.endName(b)
	case fieldValue, trailerValue:
		return FieldValue
	case chunkSize:
		return s.addSize(b)
	default:
		// Only a line end follows a chunk, and only text an extension.
		return Chunk
	}
}

// endName takes the byte behind a name.
func (s *Scanner) endName(b byte) error {
	if b != ':' || s.line.length == 0 {
		return FieldName
	}
	// The part of a value follows that of its name.
	s.part++
	return nil
}

// addSize takes a byte of a chunk's size, or what follows it.
func (s *Scanner) addSize(b byte) error {
	digit := hexDigit(b)
	switch {
	case b == ';' && s.hasSize && !s.isSizeEnded:
		s.part = chunkExtension
	case isBlank(b) && s.hasSize:
		s.isSizeEnded = true
	case digit < 0 || s.isSizeEnded || s.remaining > math.MaxInt64>>4:
		return Chunk
	default:
		s.remaining, s.hasSize = s.remaining<<4|digit, true
	}
	return nil
}

// endLine ends a line.
func (s *Scanner) endLine() (err error) {
	hasCR := s.afterCR
	s.afterCR = false
	switch s.part {
	case statusLine:
		s.head.status, s.head.isOld, err = s.line.status()
		s.line, s.part = line{}, fieldName
		return err
	case fieldName, trailerName:
		if s.line.length > 0 {
			return FieldName
		}
		return s.endFields()
	case fieldValue, trailerValue:
		return s.endField()
	}
	if !hasCR {
		// RFC 9112 allows a bare LF in heads, but not in a body in chunks.
		return Chunk
	}
	return s.endChunkLine()
}

// endField ends a field line.
func (s *Scanner) endField() (err error) {
	s.lines++
	if s.MaxLines > 0 && s.lines > s.MaxLines {
		return TooManyLines
	}
	if s.part == fieldValue {
		err = s.head.addField(&s.line)
	}
	s.line = line{}
	// The part of a name precedes that of its value.
	s.part--
	return err
}

// endFields ends a head or the trailers.
func (s *Scanner) endFields() (err error) {
	if s.part == trailerName {
		s.part = noResponse
		return nil
	}
	framing, err := s.head.framing(s.isBodyless)
	if err != nil {
		return err
	}
	s.lines = 0
	switch framing {
	case interim:
		s.part = statusLine
		s.beginHead()
	case upgrade:
		if !s.AllowUpgrade {
			return Status
		}
		s.part = otherProtocol
	case noBody:
		s.part = noResponse
	case inChunks:
		s.beginChunk()
	case withLength:
		s.part, s.remaining = bodyWithLength, s.head.length
	case toClose:
		s.part = bodyToClose
	}
	return nil
}

// endChunkLine ends the line with a chunk's size, or the line end behind a chunk.
func (s *Scanner) endChunkLine() error {
	switch {
	case s.part == chunkEnd:
		s.beginChunk()
	case !s.hasSize:
		return Chunk
	case s.remaining > 0:
		s.part = chunkData
	default:
		s.part, s.line = trailerName, line{}
	}
	return nil
}

func (s *Scanner) beginHead() { s.line, s.lines, s.head = line{}, 0, head{length: unknownLength} }

func (s *Scanner) beginChunk() {
	s.part, s.remaining, s.hasSize, s.isSizeEnded = chunkSize, 0, false, false
}
