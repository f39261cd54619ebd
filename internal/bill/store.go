package bill

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Store has the methods of the key-value service's client that Save uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

// maxSwapAttempts is how often Save attempts the compare-and-swap.
const maxSwapAttempts = 8

var errContended = eris.New("bill document is contended")

// Save merges lines into their document in the store. It returns nil only after a read or an
// acknowledged swap has shown that the document has every line. After a swap whose answer was lost
// it reads the document again, so that no line is added twice.
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

// DecodeAll returns the lines of all documents.
func DecodeAll(pairs []kv.Pair) ([]wire.BillLine, error) {
	var all []wire.BillLine
	for _, pair := range pairs {
		if pair.Err != nil {
			return nil, pair.Err
		}
		doc, err := Decode(pair.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, doc...)
	}
	return all, nil
}
