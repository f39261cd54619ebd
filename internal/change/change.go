// Package change writes the configuration to the key-value service: checked
// whole before, by compare-and-swap, and known by its operation id after a
// lost answer.
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

// Store is what is used of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// Edit makes the new document from the one in the store, nil for none.
type Edit func(doc *config.Document) (*config.Document, error)

// Request is one change that an operator asks for.
type Request struct {
	// Operation is unique for the change; a repeated request with the same
	// one finds the first's outcome.
	Operation string
	// Operator and Summary are kept with the change.
	Operator, Summary string
	// Base is the revision that the operator saw; nil takes any.
	Base *uint64
	Edit Edit
}

const (
	// historySlots is how many earlier revisions are kept.
	historySlots = 128
	// maxTries bounds the tries against other operators and lost answers.
	maxTries = 6
)

// Writer makes changes. Its fields are set before use.
type Writer struct {
	Store Store
	// Backoff is the time before the second try; it doubles with each.
	Backoff time.Duration
}

// DefaultBackoff suits a service that answers in milliseconds.
const DefaultBackoff = 20 * time.Millisecond

// Apply makes a change and returns what is stored after it. The error is a
// *result.Error; with result.StoreUnknown the same request may be repeated.
func (ch *Writer) Apply(ctx context.Context, re Request, now time.Time) (*config.Envelope, error) {
	last := error(result.New(result.StoreDown, ""))
	written := false
	for try := range maxTries {
		if try > 0 {
			ch.pause(ctx, try)
		}
		en, done, err := ch.once(ctx, re, now)
		if done || err == nil && en != nil {
			return en, err
		}
		if err != nil {
			last = err
			written = written || codeOf(err) == result.StoreUnknown
		}
	}
	if written {
		return nil, result.New(result.StoreUnknown, re.Operation)
	}
	return nil, last
}

// once makes one try. done means that the outcome is final. Neither an
// envelope nor an error means that another change came between.
func (ch *Writer) once(ctx context.Context, re Request, now time.Time) (en *config.Envelope, done bool, err error) {
	pair, err := ch.Store.Get(ctx, config.StoreKey)
	if err != nil {
		return nil, false, err
	}
	held, err := config.DecodeEnvelope(pair.Value)
	if err != nil {
		return nil, true, err
	}
	if _, found := held.Find(re.Operation); found {
		return held, true, nil
	}
	next, err := prepare(held, re, now)
	if err != nil {
		return nil, true, err
	}
	value, err := next.Encode()
	if err != nil {
		return nil, true, err
	}
	if err := ch.keep(ctx, held, pair.Value); err != nil {
		return nil, false, err
	}
	ok, err := ch.Store.Swap(ctx, config.StoreKey, value, pair.Index)
	if err != nil || !ok {
		return nil, false, err
	}
	return next, true, nil
}

// Prepare returns the envelope that a change would lead to, for a dry run.
func Prepare(held *config.Envelope, re Request, now time.Time) (*config.Envelope, error) {
	return prepare(held, re, now)
}

func prepare(held *config.Envelope, re Request, now time.Time) (*config.Envelope, error) {
	if re.Base != nil && *re.Base != held.Revision {
		return nil, result.New(result.Conflict, conflict(held, *re.Base))
	}
	doc, err := re.Edit(held.Document)
	if err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	chg := config.Change{Operation: re.Operation, Operator: re.Operator, At: now.UTC(), Summary: re.Summary}
	return held.Next(doc, chg), nil
}

// conflict names the change that came first.
func conflict(held *config.Envelope, base uint64) string {
	for i := len(held.Changes) - 1; i >= 0; i-- {
		if ch := held.Changes[i]; ch.Revision > base {
			return fmt.Sprintf("revision %d by %s: %s", ch.Revision, ch.Operator, ch.Summary)
		}
	}
	return fmt.Sprintf("the revision in force is %d", held.Revision)
}

// keep saves the revision that is about to be replaced. Its slot is free for
// it unless it holds the same or, after a long pause, a later one.
func (ch *Writer) keep(ctx context.Context, held *config.Envelope, value []byte) error {
	if held.Revision == 0 {
		return nil
	}
	key := HistoryKey(held.Revision)
	pair, err := ch.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	slot, err := config.DecodeEnvelope(pair.Value)
	if err == nil && slot.Revision >= held.Revision {
		return nil
	}
	_, err = ch.Store.Swap(ctx, key, value, pair.Index)
	if err != nil {
		return result.New(result.StoreDown, err.Error())
	}
	return nil
}

// HistoryKey returns where a replaced revision is kept.
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

func (ch *Writer) pause(ctx context.Context, try int) {
	select {
	case <-ctx.Done():
	case <-time.After(ch.Backoff << (try - 1)):
	}
}
