// Package excerpt shortens texts that other processes chose, for logs and for messages to other gateways.
package excerpt

import (
	"fmt"
	"strconv"
)

// MaxBytes is the number of bytes of a text that are kept.
const MaxBytes = 128

// Of returns the beginning of a text in printable ASCII, with its length if it is longer.
func Of(text string) string {
	kept := strconv.QuoteToASCII(text[:min(MaxBytes, len(text))])
	kept = kept[1 : len(kept)-1]
	if len(text) > MaxBytes {
		kept = fmt.Sprintf("%s... (%d bytes)", kept, len(text))
	}
	return kept
}
