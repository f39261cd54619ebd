package entry

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// oneKey is a store that holds the configuration.
type oneKey struct{ pair kv.Pair }

func (ok *oneKey) Get(context.Context, string) (kv.Pair, error) { return ok.pair, nil }

func (ok *oneKey) Watch(context.Context, string, uint64, time.Duration) (kv.Pair, uint64, error) {
	return ok.pair, ok.pair.Index, nil
}

func (*oneKey) List(context.Context, string) ([]kv.Pair, error) { return nil, nil }

func (ok *oneKey) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	if index != ok.pair.Index {
		return false, nil
	}
	ok.pair = kv.Pair{Key: key, Value: value, Index: index + 1}
	return true, nil
}

// put lets the store hold a configuration at an index.
func (ok *oneKey) put(t *testing.T, en *config.Envelope, index uint64) {
	t.Helper()
	value, err := en.Encode()
	require.NoError(t, err)
	ok.pair = kv.Pair{Key: config.StoreKey, Value: value, Index: index}
}

// watching returns an entry that watches a store.
func watching(st Store) *Entry {
	no := &node.Node{Log: zerolog.Nop(), Ring: &timeline.Ring{}, OnAdopt: func(*config.Snapshot) {}}
	return &Entry{Store: st, Node: no}
}

// changed returns an envelope after a change.
func changed(en *config.Envelope, operation string) *config.Envelope {
	return en.Next(&config.Document{}, config.Change{Operation: operation})
}

func TestConfigurationIsWrittenAgainToAStoreThatLostIt(t *testing.T) {
	first := changed(&config.Envelope{}, "one")
	second := changed(first, "two")
	third := changed(second, "three")
	for name, ca := range map[string]struct {
		older *config.Envelope
		want  uint64
	}{
		"an older copy":                  {first, 3},
		"an older copy of no change":     {&config.Envelope{Revision: 1, Document: &config.Document{}}, 3},
		"another change in the meantime": {changed(first, "other"), 2},
	} {
		store := &oneKey{}
		en := watching(store)
		store.put(t, third, 30)
		_, err := en.watchOnce(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, uint64(3), en.Node.Snapshot().Revision())

		store.put(t, ca.older, 10)
		_, err = en.watchOnce(t.Context(), 30)
		require.NoError(t, err)
		held, err := config.DecodeEnvelope(store.pair.Value)
		require.NoError(t, err)
		require.Equal(t, ca.want, held.Revision, name)
		require.Equal(t, uint64(3), en.Node.Snapshot().Revision(), name)
	}
}

func TestEntryThatReadNoConfigurationWritesNone(t *testing.T) {
	store := &oneKey{}
	en := watching(store)
	en.Node.Install(config.Compile(3, &config.Document{}))
	store.put(t, changed(&config.Envelope{}, "one"), 10)
	_, err := en.watchOnce(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(10), store.pair.Index)
}
