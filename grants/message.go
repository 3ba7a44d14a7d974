package grants

import (
	"github.com/apricotmount/apricotmount/codec"
	"github.com/apricotmount/apricotmount/tenant"
)

// kind is the kind of a datagram. Unknown kinds are ignored.
type kind uint8

const (
	kindAsk kind = iota + 1
	kindGrant
	kindPing
	kindPong
)

// message is a datagram between two nodes.
type message struct {
	Kind  kind   `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	// Tenant and Count are the calls that are asked for or granted.
	Tenant tenant.Name `cbor:"3,keyasint,omitempty"`
	Count  int         `cbor:"4,keyasint,omitempty"`
	// Unused is the number of granted calls that are given back.
	Unused int `cbor:"6,keyasint,omitempty"`
	// WaitMillis is the time after which a refused call may return.
	WaitMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// maxDatagramBytes is the maximum length of a datagram.
const maxDatagramBytes = 1024

func (m message) encode() []byte { return codec.Encode(m) }

func decode(b []byte) (m message, ok bool) {
	return m, codec.Decode(b, &m) == nil
}
