package streamtest

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/stream"
)

// shortWait is the wait of a read that gets no records. longWait is the wait of a
// read that must end earlier, by a record or a cancellation.
const (
	shortWait = 10 * time.Millisecond
	longWait  = time.Minute
)

// TestLog runs the conformance tests; newLog must return a log without records.
func TestLog(t *testing.T, newLog func(t *testing.T) stream.Log) {
	t.Run("offsets", func(t *testing.T) { testOffsets(t, newLog(t)) })
	t.Run("independent streams", func(t *testing.T) { testIndependentStreams(t, newLog(t)) })
	t.Run("read", func(t *testing.T) { testRead(t, newLog(t)) })
	t.Run("wait", func(t *testing.T) { testWait(t, newLog(t)) })
	t.Run("cancel", func(t *testing.T) { testCancel(t, newLog(t)) })
}

func appendOne(t *testing.T, log stream.Log, name stream.Name, payload string) stream.Offset {
	t.Helper()
	o, err := log.Append(t.Context(), name, []byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// testOffsets checks that the offsets of a stream are consecutive from 0.
func testOffsets(t *testing.T, log stream.Log) {
	for i := range 5 {
		if got, want := appendOne(t, log, "s", "x"), stream.Offset(i); got != want {
			t.Errorf("offset: got %d, want %d", got, want)
		}
	}
}

// testIndependentStreams checks that each stream has its own offsets.
func testIndependentStreams(t *testing.T, log stream.Log) {
	appendOne(t, log, "a", "x")
	if got := appendOne(t, log, "b", "y"); got != 0 {
		t.Errorf("offset in another stream: got %d, want 0", got)
	}
}

// testRead checks the records, offsets and times of a read from the middle of a
// stream, and that a read at its end returns no records.
func testRead(t *testing.T, log stream.Log) {
	for i := range 10 {
		appendOne(t, log, "s", fmt.Sprint(i))
	}
	b, err := log.Read(t.Context(), "s", 3, 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	if b.FirstOffset != 0 || b.NextOffset != 10 || len(b.Records) != 4 {
		t.Fatalf("batch: got first %d, next %d, %d records, want 0, 10, 4", b.FirstOffset, b.NextOffset, len(b.Records))
	}
	var last time.Time
	for i, r := range b.Records {
		if r.Offset != stream.Offset(3+i) || !bytes.Equal(r.Payload, []byte(fmt.Sprint(3+i))) {
			t.Errorf("record %d: got %d %q, want %d in order", i, r.Offset, r.Payload, 3+i)
		}
		if r.AppendedAt.Before(last) || r.AppendedAt.IsZero() {
			t.Errorf("record %d: got time %s after %s, want it not to decrease", i, r.AppendedAt, last)
		}
		last = r.AppendedAt
	}
	b, err = log.Read(t.Context(), "s", 10, 4, shortWait)
	if err != nil || len(b.Records) != 0 || b.NextOffset != 10 {
		t.Errorf("read at the end: got %+v %v, want no records", b, err)
	}
}

// testWait checks that a read of an empty stream returns when a record is appended.
func testWait(t *testing.T, log stream.Log) {
	got := make(chan stream.Batch, 1)
	go func() {
		b, err := log.Read(t.Context(), "s", 0, 4, longWait)
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	appendOne(t, log, "s", "x")
	if b := <-got; len(b.Records) != 1 {
		t.Errorf("records of a waiting read: got %d, want 1", len(b.Records))
	}
}

// testCancel checks that cancelling its context ends a waiting read.
func testCancel(t *testing.T, log stream.Log) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := log.Read(ctx, "s", 0, 4, longWait)
		done <- err
	}()
	cancel()
	if err := <-done; err == nil {
		t.Error("error of a cancelled read: got none, want one")
	}
}
