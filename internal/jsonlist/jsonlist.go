// Package jsonlist decodes lists of which one element may be malformed without affecting the others.
package jsonlist

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Decode calls a function with each element of a JSON array. It returns how many elements the function returned an
// error for, and an error if the data is not an array.
func Decode(data []byte, element func(raw json.RawMessage) error) (malformed int, err error) {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return 0, eris.Wrap(err, "decode list")
	}
	for _, raw := range list {
		if element(raw) != nil {
			malformed++
		}
	}
	return malformed, nil
}
