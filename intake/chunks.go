package intake

import "math"

// Chunks follows a body in chunks up to the end of its trailers. It accepts at least what
// net/http accepts: of other bodies, net/http closes the connection. The zero value is a body of
// which nothing was received.
type Chunks struct {
	part chunkPart
	// size is the length of the chunk, or what remains of it, in bytes.
	size int64
	// isSizeEnded reports whether the digits of the size have ended on this line.
	isSizeEnded bool
	// trailers are the lines behind the last chunk. They end as a head does.
	trailers Head
}

// chunkPart is a part of a body in chunks.
type chunkPart int

const (
	sizeLine chunkPart = iota
	chunkData
	chunkEnd
	trailerLines
)

// Scan takes the next bytes. It returns how many of them belong to the body, and whether the body
// ends with them.
func (c *Chunks) Scan(p []byte) (n int, isComplete bool) {
	for n < len(p) {
		switch c.part {
		case chunkData:
			taken := min(int64(len(p)-n), c.size)
			n += int(taken)
			if c.size -= taken; c.size == 0 {
				c.part = chunkEnd
			}
		case trailerLines:
			taken, isEnd := c.trailers.Scan(p[n:])
			return n + taken, isEnd
		default:
			c.scanByte(p[n])
			n++
		}
	}
	return n, false
}

// scanByte takes a byte of a size line, or of the line end behind a chunk.
func (c *Chunks) scanByte(b byte) {
	switch {
	case b == '\n' && c.part == chunkEnd:
		c.part, c.size, c.isSizeEnded = sizeLine, 0, false
	case b == '\n' && c.size > 0:
		c.part = chunkData
	case b == '\n':
		// The trailers end with an empty line even if there are none.
		c.part, c.trailers = trailerLines, Head{hasRequestLine: true}
	case c.part == sizeLine:
		c.addDigit(b)
	}
}

// addDigit adds a hexadecimal digit to the size; any other byte ends the size.
func (c *Chunks) addDigit(b byte) {
	digit := int64(-1)
	switch {
	case '0' <= b && b <= '9':
		digit = int64(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		digit = int64(b|0x20-'a') + 10
	}
	if digit < 0 || c.isSizeEnded || c.size > math.MaxInt64>>4 {
		c.isSizeEnded = true
		return
	}
	c.size = c.size<<4 | digit
}

// TrailerCost returns the memory that the trailers take so far, in bytes.
func (c *Chunks) TrailerCost() int64 { return c.trailers.Cost() }
