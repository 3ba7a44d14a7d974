package reply

import (
	"bytes"
	"math"
	"strconv"
)

// keptBytes is the number of bytes that are kept of a name and of a value: names and values that frame
// a body are shorter.
const keptBytes = 24

// line is a line of a head or of trailers. Only the beginnings of its name and its value are kept, so a
// line without end takes no memory. The zero value is an empty line.
type line struct {
	// length is the number of bytes of the status line or of the name.
	length int
	name   [keptBytes]byte
	// valueLength is the length of the value up to its last byte that is not blank, and position
	// that of the next byte. Blanks before a value are not counted.
	valueLength, position int
	value                 [keptBytes]byte
}

// isToken and isText list the bytes of names, and those of values, reason phrases and chunk extensions
// (RFC 9110, sections 5.5 and 5.6.2).
var isToken, isText = func() (token, text [256]bool) {
	for b := range 256 {
		c := byte(b)
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
		token[b] = isAlphanumeric
		text[b] = c >= ' ' && c != 0x7f || c == '\t'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		token[c] = true
	}
	return token, text
}()

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int64 {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10
	default:
		return -1
	}
}

const (
	// versionStart is the beginning of a status line up to the minor version.
	versionStart = "HTTP/1."
	// statusStart is the position of the first digit of the status, and statusEnd that behind the
	// last.
	statusStart = len(versionStart) + 2
	statusEnd   = statusStart + 3
)

// addStatus takes a byte of a status line.
func (l *line) addStatus(b byte) error {
	if !isStatusByte(b, l.length) {
		return StatusLine
	}
	if l.length < statusEnd {
		l.name[l.length] = b
	}
	l.length++
	return nil
}

// addReason takes the bytes at the beginning of p that belong to the reason phrase, and returns how many.
func (l *line) addReason(p []byte) (n int) {
	if l.length <= statusEnd {
		return 0
	}
	n = runLength(p, &isText)
	l.length += n
	return n
}

// isStatusByte reports whether a status line may have b at a position.
func isStatusByte(b byte, position int) bool {
	isDigit := '0' <= b && b <= '9'
	switch {
	case position < len(versionStart):
		return b == versionStart[position]
	case position == len(versionStart):
		return isDigit
	case position == statusStart-1 || position == statusEnd:
		return b == ' '
	case position < statusEnd:
		return isDigit
	default:
		// The text of the reason phrase is taken by addReason.
		return false
	}
}

// status returns the status of a status line; isOld reports whether the version is HTTP/1.0.
func (l *line) status() (status int, isOld bool, err error) {
	if l.length < statusEnd {
		return 0, false, StatusLine
	}
	status, err = strconv.Atoi(string(l.name[statusStart:statusEnd]))
	if err != nil || status < minStatus || status > maxStatus {
		return 0, false, Status
	}
	return status, l.name[len(versionStart)] == '0', nil
}

// runLength returns the number of bytes at the beginning of p that are listed.
func runLength(p []byte, listed *[256]bool) (n int) {
	for n < len(p) && listed[p[n]] {
		n++
	}
	return n
}

// addName takes a part of a name.
func (l *line) addName(p []byte) {
	copy(l.name[min(l.length, keptBytes):], p)
	l.length += len(p)
}

// addValue takes a part of a value.
func (l *line) addValue(p []byte) {
	if l.position == 0 {
		p = bytes.TrimLeft(p, blanks)
	}
	copy(l.value[min(l.position, keptBytes):], p)
	if length := len(bytes.TrimRight(p, blanks)); length > 0 {
		l.valueLength = l.position + length
	}
	l.position += len(p)
}

// blanks are the bytes that may surround a value.
const blanks = " \t"

// hasName reports whether the line has a name, which is given in lower case.
func (l *line) hasName(name string) bool {
	return l.length == len(name) && equalFold(l.name[:l.length], name)
}

// hasValue reports whether the line has a value, which is given in lower case.
func (l *line) hasValue(value string) bool {
	return l.valueLength == len(value) && equalFold(l.value[:l.valueLength], value)
}

// equalFold reports whether b is the text but for the case of letters.
func equalFold(b []byte, text string) bool {
	for i := range b {
		c := b[i]
		if 'A' <= c && c <= 'Z' {
			c |= 0x20
		}
		if c != text[i] {
			return false
		}
	}
	return true
}

// number returns the value as a number of bytes.
func (l *line) number() (n int64, ok bool) {
	if l.valueLength == 0 || l.valueLength > keptBytes {
		return 0, false
	}
	for _, b := range l.value[:l.valueLength] {
		if b < '0' || b > '9' || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = n*10 + int64(b-'0')
	}
	return n, true
}
