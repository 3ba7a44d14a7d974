package peer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/replica"
)

// A message from a newer version has fields that this version does not have. It must
// be decoded without them, or nodes of two versions could not exchange messages.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	newer := codec.Encode(map[int]any{1: []map[int]any{{1: uint64(7), 4: uint64(3), 99: "unknown"}}, 77: "unknown"})
	m, err := Decode(newer)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(m.Entries), 1; got != want || m.Entries[0].Incarnation != 7 || m.Entries[0].Heartbeat != 3 {
		t.Errorf("entries: got %+v, want the one that was sent", m.Entries)
	}
}

// Decode must reject messages beyond the limits and malformed ones.
func TestInvalidMessagesAreRejected(t *testing.T) {
	for name, b := range map[string][]byte{
		"too long":              make([]byte, maxMessageBytes+1),
		"invalid CBOR":          []byte("rubbish"),
		"empty":                 nil,
		"too many observations": Message{Observations: make([]Observation, maxObservations+1)}.Encode(),
	} {
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

// The routes of a long configuration resemble each other, so its message must
// compress to a third or less and decode to the same value.
func TestLongMessagesAreCompressed(t *testing.T) {
	var routes bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&routes, `{"name":"r-%d","pathPrefix":"/%x/","timeoutMs":2000,"service":"a"},`, i, i*2654435761)
	}
	sent := Message{Records: []replica.Record{{Key: "config", Value: routes.Bytes(), Offset: 3}}}
	b := sent.Encode()
	if got, want := len(b), routes.Len()/3; got > want {
		t.Errorf("length: got %d, want %d at most", got, want)
	}
	m, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Records) != 1 || !bytes.Equal(m.Records[0].Value, routes.Bytes()) {
		t.Error("record: got a different one, want the one that was sent")
	}
}

// Records beyond the limits of one message are split into several messages without
// loss and in order, with all other fields in the last. A record that is longer than
// the limit must be sent alone instead of being dropped.
func TestSplitLimitsRecordsPerMessage(t *testing.T) {
	tests := []struct {
		name                    string
		recordCount, valueBytes int
		wantParts               int
	}{
		{"no records", 0, 0, 1},
		{"few records", 3, 200, 1},
		{"10,000 targets", 10_000, 220, 10},
		{"long records", 3, 400 << 10, 3},
		{"one record longer than the limit", 1, 1 << 20, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := Message{WantRecords: true, Marks: []replica.ReadMark{{EndOffset: 7}}}
			for i := range tt.recordCount {
				sent.Records = append(sent.Records, replica.Record{Key: fmt.Sprint("i-", i), Value: make([]byte, tt.valueBytes), Offset: replica.Offset(i)})
			}
			parts := sent.Split()
			if got := len(parts); got != tt.wantParts {
				t.Errorf("messages: got %d, want %d", got, tt.wantParts)
			}
			var records []replica.Record
			for i, part := range parts {
				m, err := Decode(part.Encode())
				if err != nil {
					t.Fatalf("message %d: %v", i, err)
				}
				last := i == len(parts)-1
				if got := len(m.Marks) == 1 && m.WantRecords; got != last {
					t.Errorf("message %d of %d: got marks and WantRecords: %v, want them in the last", i, len(parts), got)
				}
				records = append(records, m.Records...)
			}
			if len(records) != tt.recordCount {
				t.Fatalf("records: got %d, want %d", len(records), tt.recordCount)
			}
			for i, r := range records {
				if got, want := r.Offset, replica.Offset(i); got != want {
					t.Fatalf("record %d: got offset %d, want %d", i, got, want)
				}
			}
		})
	}
}

// A short message must not decompress to more than maxMessageBytes, and a truncated
// compressed message must give an error.
func TestDecompressedLengthIsLimited(t *testing.T) {
	oversized := Message{Config: make([]byte, maxMessageBytes)}.Encode()
	if _, err := Decode(oversized); err == nil {
		t.Error("decompressed beyond the limit: got no error, want one")
	}
	if len(oversized) > maxMessageBytes/2 {
		t.Errorf("length: got %d, want at most half of maxMessageBytes", len(oversized))
	}
	short := Message{Config: make([]byte, compressMinBytes)}.Encode()
	for n := range len(short) {
		if _, err := Decode(short[:n]); err == nil {
			t.Errorf("truncated after %d bytes: got no error, want one", n)
		}
	}
}

// A message that Decode accepts must survive encoding and decoding again.
func FuzzDecode(f *testing.F) {
	f.Add(Message{Entries: []member.Entry{{Incarnation: 1, Heartbeat: 2}}, Observations: []Observation{{ID: "t"}}, WantConfig: true}.Encode())
	f.Add([]byte{0xa0})
	f.Add(Message{Config: make([]byte, 2*compressMinBytes)}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(m.Encode())
		if err != nil {
			t.Fatalf("decode a message that was decoded and encoded again: %v", err)
		}
		if got, want := len(again.Entries)+len(again.Observations), len(m.Entries)+len(m.Observations); got != want {
			t.Errorf("entries and observations: got %d, want %d", got, want)
		}
	})
}
