package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
