package replyconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	for _, length := range []int{0, 1, smallBodyBytes - 1, smallBodyBytes, smallBodyBytes + 1, limit, limit + 1, 2 * limit} {
		body := bytes.Repeat([]byte("b"), length)
		got, err := ReadBody(t.Context(), bytes.NewReader(body), limit)
		if length > limit {
			if !errors.Is(err, ErrBodyTooLong) {
				t.Errorf("%d bytes: got error %v, want %v", length, err, ErrBodyTooLong)
			}
			continue
		}
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("%d bytes: got %d (%v), want all", length, len(got), err)
		}
		broken := io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := ReadBody(t.Context(), broken, limit); length < limit && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes and a break: got error %v, want %v", length, err, io.ErrUnexpectedEOF)
		}
	}
	if _, err := ReadBody(t.Context(), bytes.NewReader(make([]byte, 11)), 10); !errors.Is(err, ErrBodyTooLong) {
		t.Errorf("short body beyond its limit: got error %v, want %v", err, ErrBodyTooLong)
	}
}

// Guards against large bodies that end late and that are all held at a time. Small ones are read meanwhile.
func TestLargeBodiesWaitForTheirTurn(t *testing.T) {
	large := make([]byte, 2*smallBodyBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var writers []*io.PipeWriter
	done := make(chan error, maxLargeBodies)
	for range maxLargeBodies {
		r, w := io.Pipe()
		writers = append(writers, w)
		go func() {
			_, err := ReadBody(ctx, r, 1<<20)
			done <- err
		}()
		if _, err := w.Write(large); err != nil {
			t.Fatal(err)
		}
	}
	short, cancelShort := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancelShort()
	if _, err := ReadBody(short, bytes.NewReader(large), 1<<20); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("another large body: got error %v, want it to wait", err)
	}
	if _, err := ReadBody(ctx, bytes.NewReader(large[:1000]), 1<<20); err != nil {
		t.Errorf("small body: got error %v, want it read", err)
	}
	for _, w := range writers {
		w.Close()
		if err := <-done; err != nil {
			t.Errorf("large body: got error %v, want it read", err)
		}
	}
	if _, err := ReadBody(ctx, bytes.NewReader(large), 1<<20); err != nil {
		t.Errorf("large body after the others: got error %v, want it read", err)
	}
}
