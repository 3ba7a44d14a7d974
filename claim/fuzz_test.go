package claim

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/stream"
)

// FuzzApply applies arbitrary payloads and checks that Apply returns no error
// and advances the offset.
func FuzzApply(f *testing.F) {
	f.Add(codec.Encode(Batch{Holder: 1, Requests: []Request{{SequenceNumber: 1, WindowSeconds: 60}}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		s := &State{}
		if err := s.Apply(stream.Record{Offset: 4, AppendedAt: time.Unix(1e9, 0), Payload: payload}); err != nil {
			t.Fatal(err)
		}
		if got, want := s.Next(), stream.Offset(5); got != want {
			t.Errorf("next: got %d, want %d", got, want)
		}
	})
}
