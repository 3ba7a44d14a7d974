package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	maxNestingDepth = 16
	maxElements     = 1 << 17
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeUnixMicro
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestingDepth,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR form of v: equal values give equal
// bytes. It panics if the type of v cannot be encoded, a programmer's error.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads one CBOR item into v; unknown fields are passed over, so that a
// newer version may add some. The error says what is malformed.
func Decode(b []byte, v any) (err error) {
	defer func() { err = eris.Wrap(err, "decode CBOR") }()
	return decMode.Unmarshal(b, v)
}
