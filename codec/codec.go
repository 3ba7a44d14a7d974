package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxNestingDepth is the maximum nesting depth of a decoded item.
	maxNestingDepth = 16
	// maxElements is the maximum number of elements of a decoded array, and of pairs
	// of a decoded map.
	maxElements = 1 << 17
)

var (
	encMode        = mustEncMode()
	decMode        = mustDecMode(cbor.UTF8RejectInvalid)
	anyTextDecMode = mustDecMode(cbor.UTF8DecodeInvalid)
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

func mustDecMode(utf8 cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestingDepth,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		UTF8:             utf8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of v: equal values have equal
// encodings. It panics if the type of v cannot be encoded, which is a programming
// error.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes one CBOR item into v. It ignores unknown fields, so that newer
// versions can add fields. The error describes the malformed part.
func Decode(b []byte, v any) (err error) {
	defer func() { err = eris.Wrap(err, "decode CBOR") }()
	return decMode.Unmarshal(b, v)
}

// DecodeAnyText decodes like Decode, and accepts text that is not valid UTF-8: it may come from
// a party other than the sender.
func DecodeAnyText(b []byte, v any) (err error) {
	defer func() { err = eris.Wrap(err, "decode CBOR") }()
	return anyTextDecMode.Unmarshal(b, v)
}
