// Package change writes the configuration to the key-value service. The complete document is
// validated first and written by compare-and-swap; after a lost response, the change is recognized
// by its operation id.
package change

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Store is the subset of the key-value service that is used.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// Edit returns the new document for the one in the store, which is nil if there is none.
type Edit func(doc *config.Document) (*config.Document, error)

// Request is a change that an operator requests.
type Request struct {
	// Operation is the unique id of the change. A repeated request with the same id returns the
	// outcome of the first.
	Operation string
	// Operator and Summary are stored with the change.
	Operator, Summary string
	// Base is the revision that the change is based on; nil allows any.
	Base *uint64
	Edit Edit
}

const (
	// historySlots is the number of earlier revisions that are stored.
	historySlots = 128
	// maxAttempts bounds the attempts in the case of concurrent changes and lost responses.
	maxAttempts = 6
)

// Writer applies changes. Its fields are set before use.
type Writer struct {
	Store Store
	// Backoff is the delay before the second attempt. It doubles with each further one.
	Backoff time.Duration
}

// DefaultBackoff suits a service that responds in milliseconds.
const DefaultBackoff = 20 * time.Millisecond

// Apply makes a change and returns the envelope that is then stored. The error is a *result.Error;
// if its code is result.StoreUnknown, the same request may be repeated.
func (wr *Writer) Apply(ctx context.Context, re Request, now time.Time) (*config.Envelope, error) {
	lastErr := error(result.New(result.StoreDown, ""))
	mayBeWritten := false
	for attempt := range maxAttempts {
		if attempt > 0 {
			wr.wait(ctx, attempt)
		}
		en, done, err := wr.applyOnce(ctx, re, now)
		if done || err == nil && en != nil {
			return en, err
		}
		if err != nil {
			lastErr = err
			mayBeWritten = mayBeWritten || codeOf(err) == result.StoreUnknown
		}
	}
	if mayBeWritten {
		return nil, result.New(result.StoreUnknown, re.Operation)
	}
	return nil, lastErr
}

// applyOnce makes one attempt; done is set if its outcome is final. It returns neither an envelope
// nor an error if another change was written in the meantime.
func (wr *Writer) applyOnce(ctx context.Context, re Request, now time.Time) (en *config.Envelope, done bool, err error) {
	pair, err := wr.Store.Get(ctx, config.StoreKey)
	if err != nil {
		return nil, false, err
	}
	current, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		return nil, true, err
	}
	if _, found := current.Find(re.Operation); found {
		return current, true, nil
	}
	next, err := prepare(current, re, now)
	if err != nil {
		return nil, true, err
	}
	value, err := next.Encode()
	if err != nil {
		return nil, true, err
	}
	if err := wr.storeHistory(ctx, current, pair.Value); err != nil {
		return nil, false, err
	}
	ok, err := wr.Store.Swap(ctx, config.StoreKey, value, pair.Index)
	if err != nil || !ok {
		return nil, false, err
	}
	return next, true, nil
}

// Prepare returns the envelope that a change would result in, for a dry run.
func Prepare(current *config.Envelope, re Request, now time.Time) (*config.Envelope, error) {
	return prepare(current, re, now)
}

func prepare(current *config.Envelope, re Request, now time.Time) (*config.Envelope, error) {
	if re.Base != nil && *re.Base != current.Revision {
		return nil, result.New(result.Conflict, conflict(current, *re.Base))
	}
	doc, err := re.Edit(current.Document)
	if err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	chg := config.Change{Operation: re.Operation, Operator: re.Operator, At: now.UTC(), Summary: re.Summary}
	return current.Next(doc, chg), nil
}

// conflict describes the latest change after a base revision.
func conflict(current *config.Envelope, base uint64) string {
	for i := len(current.Changes) - 1; i >= 0; i-- {
		if ch := current.Changes[i]; ch.Revision > base {
			return fmt.Sprintf("revision %d by %s: %s", ch.Revision, ch.Operator, ch.Summary)
		}
	}
	return fmt.Sprintf("the revision in force is %d", current.Revision)
}

// storeHistory stores the revision that is about to be replaced in its history slot. It leaves the
// slot as it is if that holds the same revision or, when this process was delayed for long, a later
// one.
func (wr *Writer) storeHistory(ctx context.Context, current *config.Envelope, value []byte) error {
	if current.Revision == 0 {
		return nil
	}
	key := HistoryKey(current.Revision)
	pair, err := wr.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	slot, err := config.DecodeEnvelope(pair.Value)
	if err == nil && slot.Revision >= current.Revision {
		return nil
	}
	_, err = wr.Store.Swap(ctx, key, value, pair.Index)
	if err != nil {
		return result.New(result.StoreDown, err.Error())
	}
	return nil
}

// HistoryKey returns the key of a replaced revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%d", config.HistoryPrefix, revision%historySlots)
}

func codeOf(err error) result.Code {
	var er *result.Error
	if errors.As(err, &er) {
		return er.Code()
	}
	return result.StoreDown
}

func (wr *Writer) wait(ctx context.Context, attempt int) {
	select {
	case <-ctx.Done():
	case <-time.After(wr.Backoff << (attempt - 1)):
	}
}
