// Package pack compresses messages between gateways. A configuration of thousands of routes repeats
// itself, and links may be small.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// minBytes is the size from which on data is compressed.
	minBytes = 2 << 10
	// maxBytes bounds the size of unpacked data.
	maxBytes = 64 << 20
	// marker is the first byte of compressed data. No CBOR array begins with it.
	marker = 0x00
)

// ErrTooLarge means that unpacked data is larger than any message.
var ErrTooLarge = eris.New("unpacked data is too large")

// Pack returns data in a compressed form if it is large.
func Pack(data []byte) ([]byte, error) {
	if len(data) < minBytes {
		return data, nil
	}
	var buf bytes.Buffer
	buf.WriteByte(marker)
	wr, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := wr.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := wr.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return buf.Bytes(), nil
}

// Unpack returns the data that was passed to Pack.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 || packed[0] != marker {
		return packed, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), maxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(data) > maxBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}
