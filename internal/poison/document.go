package poison

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// DecodeBlocks decodes a stored document of blocks; an empty document contains none.
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

// MergeBlocks returns a stored document with added blocks and without those that are over or were
// lifted. A document that can't be decoded is replaced, since no block could be stored otherwise;
// each request whose block is lost crashes three more servers before it is blocked again.
func MergeBlocks(value []byte, added []Block, lifted func(fp Fingerprint) bool, wallTime time.Time) ([]byte, error) {
	stored, err := DecodeBlocks(value)
	if err != nil {
		stored = nil
	}
	var list []Block
	listed := map[Fingerprint]bool{}
	for _, bl := range append(added, stored...) {
		if !listed[bl.Fingerprint] && bl.Remaining(wallTime) > 0 && !lifted(bl.Fingerprint) {
			list = append(list, bl)
			listed[bl.Fingerprint] = true
		}
	}
	value, err = json.Marshal(list)
	return value, eris.Wrap(err, "encode blocks")
}
