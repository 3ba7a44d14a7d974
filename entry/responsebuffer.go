package entry

import (
	"io"

	"github.com/apricotmount/apricotmount/intake"
)

const (
	// firstBlockBytes is the size of the first block for a body of unknown length, and
	// maxBlockBytes that of a block for a long body.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 32 << 10
)

// responseBuffer holds the beginning of a body in blocks, whose memory is reserved before they are made.
// It is a reader of what it holds, and gives back a block once that has been read.
type responseBuffer struct {
	space *intake.Space
	// blocks are the blocks that were not read to their end; offset is the number of bytes read of
	// the first one.
	blocks [][]byte
	offset int
	// length is the number of bytes that were filled in.
	length int64
}

// fill reads a body up to its end, at most about limit bytes. expected is its length, or negative. It
// reports whether the end was reached: a longer body, or one for which there is no space, goes on behind
// what the buffer holds.
func (b *responseBuffer) fill(body io.Reader, limit, expected int64) (isWhole bool, err error) {
	for b.length <= limit {
		if !b.hasRoom() && !b.grow(expected-b.length) {
			return false, nil
		}
		last := &b.blocks[len(b.blocks)-1]
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.length += int64(n)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// hasRoom reports whether the last block has room.
func (b *responseBuffer) hasRoom() bool {
	n := len(b.blocks)
	return n > 0 && len(b.blocks[n-1]) < cap(b.blocks[n-1])
}

// grow adds a block for the rest of a body, if there is space. A rest that is not positive is not known.
func (b *responseBuffer) grow(rest int64) bool {
	size := min(rest, maxBlockBytes)
	switch {
	case rest > 0:
	case b.length == 0:
		size = firstBlockBytes
	default:
		size = min(b.length, maxBlockBytes)
	}
	if !b.space.Reserve(size) {
		return false
	}
	b.blocks = append(b.blocks, make([]byte, 0, size))
	return true
}

// writeTo writes what the buffer holds.
func (b *responseBuffer) writeTo(w io.Writer) error {
	for len(b.blocks) > 0 {
		if _, err := w.Write(b.blocks[0][b.offset:]); err != nil {
			return err
		}
		b.dropBlock()
	}
	return nil
}

// Read reads what the buffer holds.
func (b *responseBuffer) Read(p []byte) (n int, err error) {
	for len(b.blocks) > 0 {
		n = copy(p, b.blocks[0][b.offset:])
		b.offset += n
		if b.offset == len(b.blocks[0]) {
			b.dropBlock()
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// dropBlock gives back the first block.
func (b *responseBuffer) dropBlock() {
	b.space.Release(int64(cap(b.blocks[0])))
	b.blocks[0] = nil
	b.blocks, b.offset = b.blocks[1:], 0
}

// release gives back all blocks.
func (b *responseBuffer) release() {
	for len(b.blocks) > 0 {
		b.dropBlock()
	}
}
