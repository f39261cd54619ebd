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
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// singleKeyStore is a Store with the configuration as its only key.
type singleKeyStore struct{ pair kv.Pair }

func (st *singleKeyStore) Get(context.Context, string) (kv.Pair, error) { return st.pair, nil }

func (st *singleKeyStore) Watch(context.Context, string, uint64, time.Duration) (kv.Pair, uint64, error) {
	return st.pair, st.pair.Index, nil
}

func (*singleKeyStore) List(context.Context, string) ([]kv.Pair, error) { return nil, nil }

func (st *singleKeyStore) Swap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	if index != st.pair.Index {
		return false, nil
	}
	st.pair = kv.Pair{Key: key, Value: value, Index: index + 1}
	return true, nil
}

// put sets the stored configuration and its index.
func (st *singleKeyStore) put(t *testing.T, en *config.Envelope, index uint64) {
	t.Helper()
	value, err := en.Encode()
	require.NoError(t, err)
	st.pair = kv.Pair{Key: config.StoreKey, Value: value, Index: index}
}

// newWatcher returns an entry that watches a store.
func newWatcher(st Store) *Entry {
	no := &node.Node{Log: zerolog.Nop(), Ring: &timeline.Ring{}, OnAdopt: func(*config.Snapshot) {}}
	return &Entry{Store: st, Node: no}
}

// withChange returns the envelope that follows en after a change.
func withChange(en *config.Envelope, operation string) *config.Envelope {
	return en.Next(&config.Document{}, config.Change{Operation: operation})
}

// Guards against losing the newest configuration when the store reverts to an older one, and
// against overwriting a change that was made to the store in the meantime.
func TestConfigIsRestoredToStoreThatLostIt(t *testing.T) {
	first := withChange(&config.Envelope{}, "one")
	second := withChange(first, "two")
	third := withChange(second, "three")
	for name, ca := range map[string]struct {
		older *config.Envelope
		want  uint64
	}{
		"an older revision":                 {first, 3},
		"an older revision without history": {&config.Envelope{Revision: 1, Document: &config.Document{}}, 3},
		"a conflicting change":              {withChange(first, "other"), 2},
	} {
		store := &singleKeyStore{}
		en := newWatcher(store)
		store.put(t, third, 30)
		_, err := en.watchOnce(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, uint64(3), en.Node.Snapshot().Revision())

		store.put(t, ca.older, 10)
		_, err = en.watchOnce(t.Context(), 30)
		require.NoError(t, err)
		stored, err := config.DecodeEnvelope(store.pair.Value)
		require.NoError(t, err)
		require.Equal(t, ca.want, stored.Revision, name)
		require.Equal(t, uint64(3), en.Node.Snapshot().Revision(), name)
	}
}

// Guards against an entry overwriting the store's configuration with one that it did not read from
// the store.
func TestEntryRestoresOnlyConfigReadFromStore(t *testing.T) {
	store := &singleKeyStore{}
	en := newWatcher(store)
	en.Node.Install(config.Compile(3, &config.Document{}))
	store.put(t, withChange(&config.Envelope{}, "one"), 10)
	_, err := en.watchOnce(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(10), store.pair.Index)
}

// A watch on a connection that has become silent must be repeated before a change has to be in force.
func TestSilentWatchIsRepeatedWithinThePropagationTarget(t *testing.T) {
	const target = 7 * time.Second
	pl := settings.Default().Platform
	require.Less(t, pl.WatchTimeout()+pl.Timeout()+watchPollInterval, target)
}
