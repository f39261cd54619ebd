package claim

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// document is one stored part of a log.
type document struct {
	// Seq numbers the documents of a log from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Lines are in the order of the claims.
	Lines []line `cbor:"2,keyasint"`
}

// line is one claim: the hash of its key, its value, and when it was made in
// seconds since 1970.
type line struct {
	_     struct{} `cbor:",toarray"`
	Hash  uint64
	Value string
	At    int64
}

func encode(doc document) ([]byte, error) {
	value, err := cbor.Marshal(doc)
	return value, eris.Wrap(err, "claim document")
}

func decode(value []byte) (document, error) {
	var doc document
	err := cbor.Unmarshal(value, &doc)
	return doc, eris.Wrap(err, "claim document")
}
