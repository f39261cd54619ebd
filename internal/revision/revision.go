// Package revision orders positions in the history of the key-value service. A service that is
// restored from a backup assigns the same revision numbers again, so a position consists of an era
// and a number. It does no I/O and reads no clock.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a position in the history of the key-value service, or the last change of one of
// its keys. The fields are exported because codecs need them.
type Revision struct {
	// Era counts how often the service was restored, zero if the service does not report it.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Number is the service's revision. Numbers are comparable within an era only.
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders revisions: all of a later era come after those of an earlier one.
func (re Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(re.Era, other.Era), cmp.Compare(re.Number, other.Number))
}

// After reports whether a revision is later than another one.
func (re Revision) After(other Revision) bool { return re.Compare(other) > 0 }

// IsZero reports whether the revision is not set.
func (re Revision) IsZero() bool { return re == Revision{} }

// String returns the era and the number, separated by a slash.
func (re Revision) String() string {
	return strconv.FormatUint(re.Era, 10) + "/" + strconv.FormatUint(re.Number, 10)
}
