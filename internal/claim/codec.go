package claim

import (
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/codec"
)

// document is one of the stored segments of a log.
type document struct {
	// Seq is the document's number in its log, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Lines holds the claims and releases in order.
	Lines []line `cbor:"2,keyasint"`
}

// line is one claim or release: the hash of its key, its value ("" for a release) and its time in
// seconds since 1970.
type line struct {
	_     struct{} `cbor:",toarray"`
	Hash  uint64
	Value string
	At    int64
}

func encode(doc document) ([]byte, error) {
	value, err := codec.Marshal(doc)
	return value, eris.Wrap(err, "encode claim document")
}

func decode(value []byte) (document, error) {
	var doc document
	err := codec.Unmarshal(value, &doc)
	return doc, eris.Wrap(err, "decode claim document")
}
