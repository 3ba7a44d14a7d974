package wire

import (
	"io"
)

// maxDrain bounds what is read to make a connection usable again, in bytes.
const maxDrainBytes = 64 << 10

// drain reads a body to its end; it fails if the body is longer than allowed.
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
