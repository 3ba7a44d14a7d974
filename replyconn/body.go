package replyconn

import (
	"context"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrBodyTooLong is returned for a body that is longer than its reader allows.
var ErrBodyTooLong = eris.New("the body of the response is too long")

const (
	// smallBodyBytes is the length up to which bodies are read whatever else is being read.
	smallBodyBytes = 256 << 10
	// maxLargeBodies is the number of longer bodies that a process reads at a time: one that ends
	// late must not keep all others waiting.
	maxLargeBodies = 2
)

// largeBodies holds one entry for each large body that is being read.
var largeBodies = make(chan struct{}, maxLargeBodies)

// blockBytes is the size of the blocks in which bodies are read.
const blockBytes = 32 << 10

var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// blockList holds the beginning of a body. Its memory is used again for other bodies, and a body takes
// memory of its own only once it is whole.
type blockList struct {
	blocks []*[blockBytes]byte
	// length is the number of bytes that were filled in.
	length int64
}

// ReadBody reads a body of at most limit bytes to its end. A body that is longer than smallBodyBytes waits
// for its turn, so that all bodies together take little memory until they are known to be within their
// limits.
func ReadBody(ctx context.Context, body io.Reader, limit int64) (b []byte, err error) {
	defer func() { err = eris.Wrap(err, "read the body of a response") }()
	var l blockList
	defer l.release()
	isWhole, err := l.fill(body, min(smallBodyBytes, limit))
	if err != nil {
		return nil, err
	}
	if !isWhole && l.length <= limit {
		select {
		case largeBodies <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		defer func() { <-largeBodies }()
		isWhole, err = l.fill(body, limit)
	}
	switch {
	case err != nil:
		return nil, err
	case !isWhole || l.length > limit:
		return nil, ErrBodyTooLong
	default:
		return l.join(), nil
	}
}

// fill reads a body until its end, or until the list holds more than limit bytes.
func (l *blockList) fill(body io.Reader, limit int64) (isWhole bool, err error) {
	for l.length <= limit {
		offset := l.length % blockBytes
		if offset == 0 && l.length/blockBytes == int64(len(l.blocks)) {
			l.blocks = append(l.blocks, blocks.Get().(*[blockBytes]byte))
		}
		n, err := body.Read(l.blocks[len(l.blocks)-1][offset:])
		l.length += int64(n)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// join returns what the list holds.
func (l *blockList) join() []byte {
	b := make([]byte, 0, l.length)
	for _, block := range l.blocks {
		rest := int(l.length) - len(b)
		b = append(b, block[:min(rest, blockBytes)]...)
	}
	return b
}

// release gives back the blocks.
func (l *blockList) release() {
	for _, block := range l.blocks {
		blocks.Put(block)
	}
	l.blocks = nil
}
