package wire

import (
	"io"
)

// maxDrainBytes is the maximum number of body bytes read to make a connection
// reusable.
const maxDrainBytes = 64 << 10

// drain reads a body to its end. It returns io.ErrShortBuffer if the body is
// longer than maxDrainBytes.
func drain(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxDrainBytes+1))
	if err != nil {
		return err
	}
	if n > maxDrainBytes {
		return io.ErrShortBuffer
	}
	return nil
}
