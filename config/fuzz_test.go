package config

import (
	"testing"

	"github.com/apricotmount/apricotmount/stream"
)

// FuzzFold applies arbitrary payloads and checks that the offset advances and
// the revision does not decrease.
func FuzzApplyRecord(f *testing.F) {
	f.Add(publication("a", 0, putProfile("p")))
	f.Add(EncodeSnapshot(&Configuration{}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		c := &Configuration{Revision: 3}
		next, err := ApplyRecord(c, record(0, payload))
		if err != nil {
			return
		}
		if got, want := next.NextOffset, stream.Offset(1); got != want {
			t.Errorf("next: got %d, want %d", got, want)
		}
		if next.Revision < c.Revision {
			t.Errorf("revision: got %d, want at least %d", next.Revision, c.Revision)
		}
	})
}

// FuzzDecodeWhole checks that a configuration decoded from arbitrary bytes can
// be used without a panic.
func FuzzDecodeConfiguration(f *testing.F) {
	f.Add(EncodeConfiguration(&Configuration{Revision: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeConfiguration(b)
		if err != nil {
			return
		}
		c.Resolve("host", "/path")
		c.Digest()
		(&State{}).InstallIfNewer(c)
	})
}
