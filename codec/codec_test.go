package codec

import "testing"

// Text that came from another party, such as the ID that a target states, may be invalid UTF-8.
// It must not make the rest of a message unreadable.
func TestInvalidUTF8DoesNotEndDecoding(t *testing.T) {
	type message struct {
		ID    string `cbor:"1,keyasint"`
		Count int    `cbor:"2,keyasint"`
	}
	want := message{ID: "i-\xff", Count: 3}
	var got message
	if err := DecodeAnyText(Encode(want), &got); err != nil {
		t.Fatal(err)
	}
	if err := Decode(Encode(want), &message{}); err == nil {
		t.Error("text of the sender itself: got no error, want one")
	}
	if got != want {
		t.Errorf("message: got %+v, want %+v", got, want)
	}
}
