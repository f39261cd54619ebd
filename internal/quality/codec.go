package quality

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Entry is one cell as it is sent and stored.
type Entry struct {
	Cell  Cell  `cbor:"1,keyasint" json:"cell"`
	Count Count `cbor:"2,keyasint" json:"count"`
}

// Entries returns the table's counts as lines, in no order.
func (ta *Table) Entries() []Entry {
	lines := make([]Entry, 0, len(ta.cells))
	for ce, co := range ta.cells {
		lines = append(lines, Entry{ce, co})
	}
	return lines
}

// MergeEntries adds lines.
func (ta *Table) MergeEntries(lines []Entry) {
	for _, li := range lines {
		ta.Merge(li.Cell, li.Count)
	}
}

// Encode writes the table as it is stored.
func (ta *Table) Encode() ([]byte, error) {
	value, err := cbor.Marshal(ta.Entries())
	return value, eris.Wrap(err, "ratings")
}

// Decode reads a stored table; nothing reads as an empty one.
func Decode(value []byte) (*Table, error) {
	ta := &Table{}
	if len(value) == 0 {
		return ta, nil
	}
	var lines []Entry
	if err := cbor.Unmarshal(value, &lines); err != nil {
		return nil, eris.Wrap(err, "ratings")
	}
	ta.MergeEntries(lines)
	return ta, nil
}

// Len returns how many cells the table holds.
func (ta *Table) Len() int { return len(ta.cells) }
