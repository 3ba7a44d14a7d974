package reply

import "testing"

// Guards against an end of the stream that counts as one in order though a write may have got a reset.
func TestEndWithoutProofIsBroken(t *testing.T) {
	for _, tt := range []struct {
		end  End
		want bool
	}{
		{End{}, true},
		{End{IsWriting: true}, false},
		{End{WriteFailed: true}, false},
		{End{IsWriting: true, State: StateFinished}, true},
		{End{WriteFailed: true, State: StateFinished}, true},
	} {
		if got := tt.end.IsProved(); got != tt.want {
			t.Errorf("%+v: got proved %v, want %v", tt.end, got, tt.want)
		}
	}
}
