// Package bill makes sure that each request is billed exactly once by boxes
// that keep nothing. A line's place in the key-value service follows from its
// request id alone, so any process may write any line, and compare-and-swap
// removes doubles. It does no I/O and reads no clock.
package bill

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Prefix is where the documents live in the key-value service.
const Prefix = "linnetrudder/bills/"

const (
	// window is the span of request times that share documents.
	window = 10 * time.Second
	// shardsPerWindow is how many documents one data centre's window has.
	shardsPerWindow = 4
)

// NewRequestID returns an id that names the data centre and time of a
// request, which place its bill.
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

// lineKey is what is unique about a line.
type lineKey struct {
	request string
	step    int
}

func keyOf(li *wire.BillLine) lineKey { return lineKey{li.Request, li.Step} }

// Merge adds lines to a document. Of two lines for the same step of the same
// request the one that is there stays. It reports whether anything was added.
func Merge(doc, lines []wire.BillLine) ([]wire.BillLine, bool) {
	have := make(map[lineKey]bool, len(doc)+len(lines))
	for i := range doc {
		have[keyOf(&doc[i])] = true
	}
	added := false
	for i := range lines {
		if key := keyOf(&lines[i]); !have[key] {
			have[key] = true
			doc = append(doc, lines[i])
			added = true
		}
	}
	return doc, added
}
