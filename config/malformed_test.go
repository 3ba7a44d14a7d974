package config

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/stream"
)

// Malformed records among those of publications must be skipped and reported once each, and
// must not keep publications from being applied.
func TestMalformedRecordsLeaveOthersInForce(t *testing.T) {
	type anyRecord map[string]any
	nested := func(n int) []byte { return append(bytes.Repeat([]byte{0x81}, n), 0x01) }
	malformed := [][]byte{
		nil, []byte("text"), nested(10), nested(1000), nested(100_000), bytes.Repeat([]byte{0x9f}, 1000), {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		codec.Encode(anyRecord{"format": -1}), codec.Encode(anyRecord{"format": 1e300}), codec.Encode(anyRecord{"format": "1"}),
		codec.Encode(anyRecord{"format": 1, "publication": anyRecord{"base": -1}}), codec.Encode(anyRecord{"format": 1, "publication": anyRecord{"base": 1.5}}),
		codec.Encode(anyRecord{"format": 1, "publication": anyRecord{"operator": "\xff"}}), codec.Encode(anyRecord{"format": 1, "publication": strings.Repeat("x", 1<<20)}),
		codec.Encode(anyRecord{"format": 1, "publication": anyRecord{"changes": []any{anyRecord{"put-service": anyRecord{"slots": 1e300}}}}}),
		{0xa2, 0x66, 'f', 'o', 'r', 'm', 'a', 't', 0x01, 0x66, 'f', 'o', 'r', 'm', 'a', 't', 0x02},
	}
	var reported []stream.Offset
	s := &State{OnMalformed: func(offset stream.Offset, err error) {
		reported = append(reported, offset)
		if text := err.Error(); len(text) > 1024 {
			t.Errorf("error at offset %d: got %d bytes, want at most 1024", offset, len(text))
		}
	}}
	apply := func(payload []byte) {
		t.Helper()
		if err := s.Apply(stream.Record{Offset: s.Next(), AppendedAt: time.Unix(1e9, 0), Payload: payload}); err != nil {
			t.Fatal(err)
		}
	}
	for i, payload := range malformed {
		apply(payload)
		apply(publication("a", Revision(i), putProfile("p")))
		if got, want := s.Current().Revision, Revision(i+1); got != want {
			t.Errorf("revision after malformed record %d: got %d, want %d", i, got, want)
		}
	}
	if got, want := len(reported), len(malformed); got != want {
		t.Errorf("reported offsets: got %v, want %d", reported, want)
	}
}
