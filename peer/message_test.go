package peer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/replica"
)

// TestNewerFieldsPass decodes a message of a newer version.
func TestNewerFieldsPass(t *testing.T) {
	newer := codec.Encode(map[int]any{1: []map[int]any{{1: uint64(7), 4: uint64(3), 99: "news"}}, 77: "news"})
	m, err := Decode(newer)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(m.Entries), 1; got != want || m.Entries[0].Incarnation != 7 || m.Entries[0].Heartbeat != 3 {
		t.Errorf("entries: got %+v, want the one that was sent", m.Entries)
	}
}

func TestBounds(t *testing.T) {
	for name, b := range map[string][]byte{
		"too long":       make([]byte, maxMessageBytes+1),
		"rubbish":        []byte("rubbish"),
		"empty":          nil,
		"too many words": Message{Observations: make([]Observation, maxObservations+1)}.Encode(),
	} {
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

// TestLongMessagesAreCompressed sends a long configuration: routes resemble each
// other, so little of it needs to travel.
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
		t.Error("record: got another one than was sent")
	}
}

// TestRecordsOfALargeFleet sends the records of more targets than one message may
// carry, and one record longer than a message's share.
func TestRecordsOfALargeFleet(t *testing.T) {
	tests := []struct {
		name          string
		records, size int
		parts         int
	}{
		{"none", 0, 0, 1},
		{"a few", 3, 200, 1},
		{"10,000 targets", 10_000, 220, 10},
		{"long ones", 3, 400 << 10, 3},
		{"one longer than the share", 1, 1 << 20, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := Message{WantRecords: true, Marks: []replica.ReadMark{{EndOffset: 7}}}
			for i := range tt.records {
				sent.Records = append(sent.Records, replica.Record{Key: fmt.Sprint("i-", i), Value: make([]byte, tt.size), Offset: replica.Offset(i)})
			}
			parts := sent.Split()
			if got := len(parts); got != tt.parts {
				t.Errorf("messages: got %d, want %d", got, tt.parts)
			}
			var records []replica.Record
			for i, part := range parts {
				m, err := Decode(part.Encode())
				if err != nil {
					t.Fatalf("message %d: %v", i, err)
				}
				last := i == len(parts)-1
				if got := len(m.Marks) == 1 && m.WantRecords; got != last {
					t.Errorf("message %d of %d: got marks and the question: %v, want them in the last", i, len(parts), got)
				}
				records = append(records, m.Records...)
			}
			if len(records) != tt.records {
				t.Fatalf("records: got %d, want %d", len(records), tt.records)
			}
			for i, r := range records {
				if got, want := r.Offset, replica.Offset(i); got != want {
					t.Fatalf("record %d: got offset %d, want %d", i, got, want)
				}
			}
		})
	}
}

// TestExpandedLengthIsBounded decodes a short message that would expand beyond the
// bound, and one whose compressed part is cut.
func TestExpandedLengthIsBounded(t *testing.T) {
	whole := Message{Config: make([]byte, maxMessageBytes)}.Encode()
	if _, err := Decode(whole); err == nil {
		t.Error("beyond the bound: got no error, want one")
	}
	if len(whole) > maxMessageBytes/2 {
		t.Errorf("length: got %d, want one that shows the compression", len(whole))
	}
	short := Message{Config: make([]byte, compressFrom)}.Encode()
	for n := range len(short) {
		if _, err := Decode(short[:n]); err == nil {
			t.Errorf("cut after %d bytes: got no error, want one", n)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Message{Entries: []member.Entry{{Incarnation: 1, Heartbeat: 2}}, Observations: []Observation{{ID: "t"}}, WantConfig: true}.Encode())
	f.Add([]byte{0xa0})
	f.Add(Message{Config: make([]byte, 2*compressFrom)}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(m.Encode())
		if err != nil {
			t.Fatalf("a decoded message cannot be decoded again: %v", err)
		}
		if got, want := len(again.Entries)+len(again.Observations), len(m.Entries)+len(m.Observations); got != want {
			t.Errorf("lists: got %d, want %d", got, want)
		}
	})
}
