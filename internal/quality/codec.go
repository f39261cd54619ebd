package quality

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Line is one cell as it is sent and stored.
type Line struct {
	Cell  Cell  `cbor:"1,keyasint" json:"cell"`
	Count Count `cbor:"2,keyasint" json:"count"`
}

// Lines returns the table's counts as lines, in no order.
func (ta *Table) Lines() []Line {
	lines := make([]Line, 0, len(ta.cells))
	for ce, co := range ta.cells {
		lines = append(lines, Line{ce, co})
	}
	return lines
}

// MergeLines adds lines.
func (ta *Table) MergeLines(lines []Line) {
	for _, li := range lines {
		ta.Merge(li.Cell, li.Count)
	}
}

// Encode writes the table as it is stored.
func (ta *Table) Encode() ([]byte, error) {
	value, err := cbor.Marshal(ta.Lines())
	return value, eris.Wrap(err, "ratings")
}

// Decode reads a stored table; nothing reads as an empty one.
func Decode(value []byte) (*Table, error) {
	ta := &Table{}
	if len(value) == 0 {
		return ta, nil
	}
	var lines []Line
	if err := cbor.Unmarshal(value, &lines); err != nil {
		return nil, eris.Wrap(err, "ratings")
	}
	ta.MergeLines(lines)
	return ta, nil
}

// Cells returns how many cells the table holds.
func (ta *Table) Cells() int { return len(ta.cells) }
