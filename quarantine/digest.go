package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Digest identifies a request apart from its ID and deadline. All copies of a request
// have the same digest at every node, and a caller cannot construct a request with the
// digest of another caller's.
type Digest [16]byte

// String returns the digest as hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ParseDigest parses a digest as String returns it.
func ParseDigest(text string) (d Digest, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return Digest{}, eris.Errorf("%q is not a digest of %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// Request is what identifies a request. Body is the whole body or, of a long one, its
// beginning; BodyLength is its declared length in bytes, -1 if there is none.
type Request struct {
	Caller, Method, Host, URI string
	BodyLength                int64
	Body                      []byte
}

// Digest returns the digest of the request.
func (r Request) Digest() (d Digest) {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{r.Caller, r.Method, r.Host, r.URI} {
		// The length keeps the end of one part from counting as the start of the next.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(length[:], uint64(r.BodyLength))
	h.Write(length[:])
	h.Write(r.Body)
	copy(d[:], h.Sum(nil))
	return d
}
