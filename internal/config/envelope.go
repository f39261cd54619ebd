package config

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// StoreKey is the key of the current configuration in the key-value service.
const StoreKey = "linnetrudder/config"

// HistoryPrefix is the key prefix of earlier revisions.
const HistoryPrefix = "linnetrudder/history/"

// maxEnvelopeChanges is the number of latest changes that an envelope lists.
const maxEnvelopeChanges = 64

// Change is the record of one accepted change.
type Change struct {
	Revision uint64 `json:"revision"`
	// Operation is an id chosen by the operator's command. If the answer to a write is lost, it shows
	// whether the write was made.
	Operation string    `json:"operation"`
	Operator  string    `json:"operator"`
	At        time.Time `json:"at"`
	Summary   string    `json:"summary"`
}

// Envelope is the value under StoreKey.
type Envelope struct {
	Revision uint64    `json:"revision"`
	Changes  []Change  `json:"changes"`
	Document *Document `json:"document"`
}

// DecodeEnvelope decodes the stored value; an empty value is revision zero.
func DecodeEnvelope(value []byte) (*Envelope, error) {
	var en Envelope
	if len(value) == 0 {
		return &en, nil
	}
	if err := json.Unmarshal(value, &en); err != nil {
		return nil, result.New(result.BadConfiguration, "stored value: "+err.Error())
	}
	if en.Document == nil {
		return nil, result.New(result.BadConfiguration, "stored value: document: missing")
	}
	return &en, nil
}

// Encode returns the envelope as it is stored.
func (en *Envelope) Encode() ([]byte, error) {
	value, err := json.Marshal(en)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	if len(value) > MaxBytes {
		return nil, result.New(result.ConfigTooLarge, "with its envelope")
	}
	return value, nil
}

// Next returns the envelope with a new document and the change that led to it.
func (en *Envelope) Next(doc *Document, ch Change) *Envelope {
	ch.Revision = en.Revision + 1
	changes := append([]Change{ch}, en.Changes...)
	return &Envelope{Revision: ch.Revision, Changes: changes[:min(len(changes), maxEnvelopeChanges)], Document: doc}
}

// Extends reports whether an envelope is a successor of an older one: it lists the older one's
// latest change, or that change is too old to be listed.
func (en *Envelope) Extends(older *Envelope) bool {
	if en.Revision <= older.Revision {
		return false
	}
	if len(older.Changes) == 0 {
		return true
	}
	newest := older.Changes[0]
	for _, ch := range en.Changes {
		if ch.Revision == newest.Revision {
			return ch.Operation == newest.Operation
		}
	}
	return len(en.Changes) == maxEnvelopeChanges
}

// Find returns the change with the operation id, if the envelope lists it.
func (en *Envelope) Find(operation string) (Change, bool) {
	for _, ch := range en.Changes {
		if ch.Operation == operation {
			return ch, true
		}
	}
	return Change{}, false
}
