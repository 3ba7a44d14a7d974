package quarantine

import "testing"

func TestDigestDependsOnEachPartOfRequest(t *testing.T) {
	base := Request{Caller: "10.0.0.1", Method: "POST", Host: "h.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xy")}
	if got, want := base.Digest(), base.Digest(); got != want {
		t.Errorf("digest of the same request: got %s, want %s", got, want)
	}
	variants := map[string]Request{
		"caller":      {Caller: "10.0.0.2", Method: "POST", Host: "h.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xy")},
		"method":      {Caller: "10.0.0.1", Method: "PUT", Host: "h.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xy")},
		"host":        {Caller: "10.0.0.1", Method: "POST", Host: "g.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xy")},
		"query":       {Caller: "10.0.0.1", Method: "POST", Host: "h.example", URI: "/a?b=2", BodyLength: 2, Body: []byte("xy")},
		"length":      {Caller: "10.0.0.1", Method: "POST", Host: "h.example", URI: "/a?b=1", BodyLength: -1, Body: []byte("xy")},
		"body":        {Caller: "10.0.0.1", Method: "POST", Host: "h.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xz")},
		"moved bytes": {Caller: "10.0.0.1P", Method: "OST", Host: "h.example", URI: "/a?b=1", BodyLength: 2, Body: []byte("xy")},
	}
	for name, r := range variants {
		if r.Digest() == base.Digest() {
			t.Errorf("%s: got the digest of another request", name)
		}
	}
}
