// Package bill records each request for billing exactly once, with boxes that have no durable
// storage of their own. The key under which a line is stored depends on its request id alone, so
// any process may write any line, and merging under compare-and-swap removes duplicates. Only Save
// calls the store; the package reads no clock but for the time in a new request id.
package bill

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Prefix is the key prefix of the documents in the key-value service.
const Prefix = "linnetrudder/bills/"

const (
	// window is the length of the intervals of request times whose lines share documents.
	window = 10 * time.Second
	// shardsPerWindow is the number of documents of a data centre for each window.
	shardsPerWindow = 4
)

// NewRequestID returns an id with the data centre and time of a request, from which DocumentKey
// derives the key of its bill lines.
func NewRequestID(dataCentre string) string {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return dataCentre + "." + id.String()
}

// DocumentKey returns the key of the document that holds a request's lines.
func DocumentKey(request string) (string, error) {
	dc, id, err := splitRequest(request)
	if err != nil {
		return "", err
	}
	sec, nsec := id.Time().UnixTime()
	win := time.Unix(sec, nsec).UnixMilli() / window.Milliseconds()
	shard := xxhash.Sum64String(request) % shardsPerWindow
	return fmt.Sprintf("%s%s/%d/%d", Prefix, dc, win, shard), nil
}

// lineKey identifies a line.
type lineKey struct {
	request string
	step    int
}

func keyOf(li *wire.BillLine) lineKey { return lineKey{li.Request, li.Step} }

// Merge adds lines to a document, except those whose request and step the document has already.
// It reports whether a line was added.
func Merge(doc, lines []wire.BillLine) ([]wire.BillLine, bool) {
	present := make(map[lineKey]bool, len(doc)+len(lines))
	for i := range doc {
		present[keyOf(&doc[i])] = true
	}
	added := false
	for i := range lines {
		if key := keyOf(&lines[i]); !present[key] {
			present[key] = true
			doc = append(doc, lines[i])
			added = true
		}
	}
	return doc, added
}
