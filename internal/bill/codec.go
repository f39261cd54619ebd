package bill

import (
	"cmp"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/codec"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// storedDocument is the stored form of a document: a table of names, and lines that refer to names
// by index. The form is compact because a document is written again, in full, with each batch.
type storedDocument struct {
	Names []string     `cbor:"1,keyasint"`
	Lines []storedLine `cbor:"2,keyasint"`
}

// storedLine is the stored form of a line. DataCentre, Team, Version, Kind and Box are indexes into
// the table of names.
type storedLine struct {
	_                  struct{} `cbor:",toarray"`
	ID                 []byte
	DataCentre         int
	Step               int
	Team               int
	Version            int
	Kind               int
	Box                int
	Prompt, Completion int64
	Cost               int64
}

// nameTable assigns an index to each name.
type nameTable struct {
	list    []string
	indexOf map[string]int
}

func (na *nameTable) add(name string) int {
	if i, ok := na.indexOf[name]; ok {
		return i
	}
	i := len(na.list)
	na.list = append(na.list, name)
	na.indexOf[name] = i
	return i
}

// Encode sorts the lines of a document by request and step and encodes it.
func Encode(doc []wire.BillLine) ([]byte, error) {
	slices.SortFunc(doc, func(a, b wire.BillLine) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Step, b.Step))
	})
	na := nameTable{indexOf: map[string]int{}}
	st := storedDocument{Lines: make([]storedLine, 0, len(doc))}
	for i := range doc {
		li := &doc[i]
		dc, id, err := splitRequest(li.Request)
		if err != nil {
			return nil, err
		}
		st.Lines = append(st.Lines, storedLine{
			ID: id[:], DataCentre: na.add(dc), Step: li.Step, Team: na.add(li.Team), Version: na.add(li.Version),
			Kind: na.add(li.Kind), Box: na.add(li.Box),
			Prompt: li.Usage.Prompt, Completion: li.Usage.Completion, Cost: li.Cost,
		})
	}
	st.Names = na.list
	value, err := codec.Marshal(st)
	return value, eris.Wrap(err, "bill document")
}

// Decode decodes a document; an empty value is an empty document.
func Decode(value []byte) ([]wire.BillLine, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var st storedDocument
	if err := codec.Unmarshal(value, &st); err != nil {
		return nil, eris.Wrap(err, "bill document")
	}
	doc := make([]wire.BillLine, 0, len(st.Lines))
	for i := range st.Lines {
		li, err := st.line(&st.Lines[i])
		if err != nil {
			return nil, err
		}
		doc = append(doc, li)
	}
	return doc, nil
}

func (st *storedDocument) line(sl *storedLine) (wire.BillLine, error) {
	id, err := uuid.FromBytes(sl.ID)
	if err != nil {
		return wire.BillLine{}, eris.Wrap(err, "bill line")
	}
	li := wire.BillLine{
		Step: sl.Step, Cost: sl.Cost,
		Usage: wire.Usage{Prompt: sl.Prompt, Completion: sl.Completion},
	}
	dc := ""
	for _, field := range []struct {
		into  *string
		index int
	}{{&dc, sl.DataCentre}, {&li.Team, sl.Team}, {&li.Version, sl.Version}, {&li.Kind, sl.Kind}, {&li.Box, sl.Box}} {
		if field.index < 0 || field.index >= len(st.Names) {
			return wire.BillLine{}, eris.New("bill line: no such name")
		}
		*field.into = st.Names[field.index]
	}
	li.Request = dc + "." + id.String()
	return li, nil
}

// splitRequest splits a request id into its data centre and its UUID.
func splitRequest(request string) (string, uuid.UUID, error) {
	dot := strings.LastIndexByte(request, '.')
	if dot < 0 {
		return "", uuid.Nil, eris.Errorf("request id %q names no data centre", request)
	}
	id, err := uuid.Parse(request[dot+1:])
	return request[:dot], id, eris.Wrapf(err, "request id %q", request)
}
