package config

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// StoreKey is where the configuration in force lives in the key-value service.
const StoreKey = "linnetrudder/config"

// HistoryPrefix is where earlier revisions are kept.
const HistoryPrefix = "linnetrudder/history/"

// maxEnvelopeChanges is how many of the newest changes the envelope names.
const maxEnvelopeChanges = 64

// Change is one accepted change.
type Change struct {
	Revision uint64 `json:"revision"`
	// Operation is chosen by the operator's command; it tells after a lost
	// answer whether the write was made.
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

// DecodeEnvelope reads what the store holds; nothing reads as revision zero.
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

// Encode writes the envelope as it is stored.
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

// Next returns the envelope after a change.
func (en *Envelope) Next(doc *Document, ch Change) *Envelope {
	ch.Revision = en.Revision + 1
	changes := append([]Change{ch}, en.Changes...)
	return &Envelope{Revision: ch.Revision, Changes: changes[:min(len(changes), maxEnvelopeChanges)], Document: doc}
}

// Extends reports whether an envelope holds all that an older one does: the older one's newest
// change is among its changes, or too old to be named.
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

// Find returns the change with the operation id, if the envelope names it.
func (en *Envelope) Find(operation string) (Change, bool) {
	for _, ch := range en.Changes {
		if ch.Operation == operation {
			return ch, true
		}
	}
	return Change{}, false
}
