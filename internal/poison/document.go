package poison

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// DecodeBlocks reads a document of blocks; an empty one holds none.
func DecodeBlocks(value []byte) ([]Block, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var list []Block
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, eris.Wrap(err, "decode blocks")
	}
	return list, nil
}

// MergeBlocks returns a document with more blocks and without those whose time is over or that
// were lifted. One
// that can't be read is replaced: what it held costs three servers each once more, and no
// block could be kept otherwise.
func MergeBlocks(value []byte, more []Block, lifted func(pr Fingerprint) bool, day time.Time) ([]byte, error) {
	old, err := DecodeBlocks(value)
	if err != nil {
		old = nil
	}
	var list []Block
	listed := map[Fingerprint]bool{}
	for _, bl := range append(more, old...) {
		if !listed[bl.Fingerprint] && bl.Remaining(day) > 0 && !lifted(bl.Fingerprint) {
			list = append(list, bl)
			listed[bl.Fingerprint] = true
		}
	}
	value, err = json.Marshal(list)
	return value, eris.Wrap(err, "encode blocks")
}
