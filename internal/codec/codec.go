// Package codec encodes what processes send to one another and store, in CBOR. Text that came from a caller or a
// backend server may hold any bytes, so that text is not required to be UTF-8: one odd value would make the whole
// message unreadable.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Decoding holds the options with which messages are decoded.
var Decoding = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}

var decMode = func() cbor.DecMode {
	dm, err := Decoding.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}()

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, eris.Wrap(err, "encode CBOR")
}

// Unmarshal decodes data into a value.
func Unmarshal(data []byte, into any) error {
	return eris.Wrap(decMode.Unmarshal(data, into), "decode CBOR")
}
