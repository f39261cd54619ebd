package quality

import (
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/codec"
)

// Entry is one cell with its count, as sent and stored.
type Entry struct {
	Cell  Cell  `cbor:"1,keyasint" json:"cell"`
	Count Count `cbor:"2,keyasint" json:"count"`
}

// Entries returns the table's entries in no particular order.
func (ta *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(ta.cells))
	for ce, co := range ta.cells {
		entries = append(entries, Entry{ce, co})
	}
	return entries
}

// MergeEntries merges entries into the table.
func (ta *Table) MergeEntries(entries []Entry) {
	for _, en := range entries {
		ta.Merge(en.Cell, en.Count)
	}
}

// Encode encodes the table for storage.
func (ta *Table) Encode() ([]byte, error) {
	value, err := codec.Marshal(ta.Entries())
	return value, eris.Wrap(err, "encode ratings")
}

// Decode decodes a stored table; an empty value yields an empty table.
func Decode(value []byte) (*Table, error) {
	ta := &Table{}
	if len(value) == 0 {
		return ta, nil
	}
	var entries []Entry
	if err := codec.Unmarshal(value, &entries); err != nil {
		return nil, eris.Wrap(err, "decode ratings")
	}
	ta.MergeEntries(entries)
	return ta, nil
}

// Len returns the number of cells.
func (ta *Table) Len() int { return len(ta.cells) }
