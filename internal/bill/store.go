package bill

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Store is what is used of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// maxSwapAttempts bounds the tries against other writers of one document.
const maxSwapAttempts = 8

var errContended = eris.New("bill document is contended")

// Save merges lines into their document. It returns nil only once a read or
// an acknowledged swap shows that every line is there; after a lost answer it
// reads back, and a line that is there already is not added again.
func Save(ctx context.Context, st Store, wr Write) error {
	for range maxSwapAttempts {
		pair, err := st.Get(ctx, wr.key)
		if err != nil {
			return err
		}
		doc, err := Decode(pair.Value)
		if err != nil {
			return err
		}
		merged, added := Merge(doc, wr.lines)
		if !added {
			return nil
		}
		value, err := Encode(merged)
		if err != nil {
			return err
		}
		ok, err := st.Swap(ctx, wr.key, value, pair.Index)
		if err == nil && ok {
			return nil
		}
	}
	return errContended
}

// DecodeAll reads every line below the prefix.
func DecodeAll(pairs []kv.Pair) ([]wire.BillLine, error) {
	var all []wire.BillLine
	for _, pair := range pairs {
		doc, err := Decode(pair.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, doc...)
	}
	return all, nil
}
