package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/settings"
)

// newPartsEntry returns an entry without links.
func newPartsEntry() *Entry {
	en := newWatcher(&singleKeyStore{})
	en.Node.Settings = settings.Settings{Box: "b"}
	en.detector = poison.Detector{MinCrashes: poison.MinCrashes}
	en.lifted = map[poison.Fingerprint]time.Time{}
	return en
}

// recordPartCrashes records crashes under different requests that have a message in common.
func recordPartCrashes(en *Entry, id string, from time.Time) {
	for i := range 4 {
		en.recordSuspicions([]poison.Suspicion{{
			Fingerprint: poison.FingerprintOf(poison.Request{Target: fmt.Sprint(id, i)}), Server: fmt.Sprint(id, i),
			Team: "t", Parts: []string{id, fmt.Sprint("other", i)},
		}}, from.Add(time.Duration(i)*200*time.Millisecond))
	}
}

func TestRequestWithAMessageThatCrashesEnginesIsRefused(t *testing.T) {
	en := newPartsEntry()
	now := clock.Now()
	recordPartCrashes(en, "deadly", now.Add(-2*time.Second))
	en.decideParts(now)
	deadly := poison.Subject{Team: "t", Parts: []string{"x", "deadly"}}
	require.False(t, en.awaitVerdict(t.Context(), deadly))
	require.Positive(t, en.retryAfterBlock(deadly, now))
	require.True(t, en.awaitVerdict(t.Context(), poison.Subject{Team: "t", Parts: []string{"x"}}))
	require.True(t, en.awaitVerdict(t.Context(), poison.Subject{Team: "u", Parts: []string{"deadly"}}), "another team's")
	require.Contains(t, en.Node.Ring.Entries()[0].Detail, "part deadly of team \"t\"")
}

// Guards against a block that is read from the key-value service again after it was lifted.
func TestLiftedPartIsNotReadFromTheStoreAgain(t *testing.T) {
	en := newPartsEntry()
	now := clock.Now()
	recordPartCrashes(en, "sound", now.Add(-2*time.Second))
	en.decideParts(now)
	pa := poison.Part{Team: "t", ID: "sound"}
	stored, ok := en.blocks.Get(pa.Fingerprint())
	require.True(t, ok)
	en.recordClears([]poison.Clear{{Part: pa, Age: 100 * time.Millisecond}}, now)
	require.Empty(t, en.blocks.Parts())
	en.addBlock(stored, true, now)
	require.Empty(t, en.blocks.Parts())
	require.True(t, en.isLifted(pa.Fingerprint()), "it is removed from the store")
}
