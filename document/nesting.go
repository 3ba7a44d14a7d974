package document

import "strings"

// maxNestingDepth is the maximum depth of nested lists and mappings in a document. The memory
// that the library needs grows with its square.
const maxNestingDepth = 100

// isTooDeep reports whether brackets or the dashes of list items may be nested deeper than
// maxNestingDepth. Nesting by indentation needs no check: its text grows with the square of the
// depth.
func isTooDeep(text []byte) bool {
	s := nestingScanner{isLineStart: true}
	for _, c := range text {
		if s.next(c) > maxNestingDepth {
			return true
		}
	}
	return false
}

// beforeQuote are the bytes after which a quoted text may begin; zero is the start.
const beforeQuote = " \n\t[{,:\x00"

// nestingScanner follows the depth of a text. Brackets in a quoted text count while it lasts,
// since a quote in a comment or a plain text begins none.
type nestingScanner struct {
	depth int
	// dashes is the number of dashes at the start of the line.
	dashes      int
	isLineStart bool
	// quote is the quote of the current text, or zero; depthAtQuote is the depth at its start.
	quote        byte
	depthAtQuote int
	isEscaped    bool
	previous     byte
}

// next takes the next byte and returns the depth after it.
func (s *nestingScanner) next(c byte) (depth int) {
	s.countDashes(c)
	defer func() { s.previous = c }()
	switch {
	case s.isEscaped:
		s.isEscaped = false
	case c == '\\' && s.quote == '"':
		s.isEscaped = true
	case c == '[' || c == '{':
		s.depth++
	case c == ']' || c == '}':
		s.depth = max(s.depth-1, s.depthAtQuote)
	case s.quote == 0 && (c == '"' || c == '\'') && strings.IndexByte(beforeQuote, s.previous) >= 0:
		s.quote, s.depthAtQuote = c, s.depth
	case s.quote == c:
		s.quote, s.depth, s.depthAtQuote = 0, s.depthAtQuote, 0
	}
	return s.depth + s.dashes
}

// countDashes counts the dashes at the start of a line.
func (s *nestingScanner) countDashes(c byte) {
	switch {
	case c == '\n':
		s.isLineStart, s.dashes = true, 0
	case c == '-' && s.isLineStart:
		s.dashes++
	case c != ' ':
		s.isLineStart = false
	}
}
