package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/quarantine"
)

func newTestIdentity(t *testing.T, text string) (*identity, *body) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "http://h.example/a?b=1", io.NopCloser(strings.NewReader(text)))
	r.ContentLength = -1
	b, err := readBody(r, 1<<10, func(int64) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	return &identity{caller: "10.0.0.1", inbound: r, body: b}, b
}

func TestStreamedRequestIsIdentifiedByItsBeginning(t *testing.T) {
	for name, text := range map[string]string{"short": "abc", "long": strings.Repeat("x", 3*prefixBytes)} {
		ahead, aheadBody := newTestIdentity(t, text)
		want, ok := ahead.Digest(true)
		if !ok {
			t.Errorf("%s: got no digest after the beginning was read ahead, want one", name)
		}
		if got, err := io.ReadAll(aheadBody.stream); err != nil || string(got) != text {
			t.Errorf("%s: body after reading ahead: got %d bytes and error %v, want the whole body of %d", name, len(got), err, len(text))
		}
		passed, passedBody := newTestIdentity(t, text)
		if _, ok := passed.Digest(false); ok {
			t.Errorf("%s: got a digest before the beginning was read, want none", name)
		}
		if _, err := io.Copy(io.Discard, passedBody.stream); err != nil {
			t.Fatal(err)
		}
		if got, ok := passed.Digest(false); !ok || got != want {
			t.Errorf("%s: digest of a forwarded stream: got %s, want %s", name, got, want)
		}
	}
}

// Copies of one request come from several addresses of its caller, with a declared length or
// in chunks. A target that receives neither runs the same request.
func TestCopiesThatTargetsCannotDistinguishAreOneRequest(t *testing.T) {
	newRequest := func(address, authorization string, length int64) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "http://h.example/a?b=1", io.NopCloser(strings.NewReader("abc")))
		r.RemoteAddr, r.ContentLength = address, length
		r.Header.Set("Authorization", authorization)
		return r
	}
	tests := []struct {
		name                 string
		omitsAddress, isSame bool
		other                *http.Request
	}{
		{"another address", true, true, newRequest("100.66.0.7:1", "key-1", 3)},
		{"in chunks", true, true, newRequest("100.64.0.7:1", "key-1", -1)},
		{"other credentials", true, false, newRequest("100.64.0.7:1", "key-2", 3)},
		{"another address that is forwarded", false, false, newRequest("100.66.0.7:1", "key-1", 3)},
	}
	for _, tt := range tests {
		h := &Handler{Settings: Settings{OmitProductHeaders: tt.omitsAddress}}
		digestOf := func(r *http.Request) quarantine.Digest {
			b, err := readBody(r, 1<<10, func(int64) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			d, _ := (&identity{caller: h.callerIdentity(r), inbound: r, body: b}).Digest(true)
			return d
		}
		first := digestOf(newRequest("100.64.0.7:2", "key-1", 3))
		if got := digestOf(tt.other) == first; got != tt.isSame {
			t.Errorf("%s: same request: got %t, want %t", tt.name, got, tt.isSame)
		}
	}
}
