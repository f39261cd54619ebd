package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/event"
)

var start = time.Unix(1_800_000_000, 0)

func TestResponseIsOrderedAfterRequestDespiteClockSkew(t *testing.T) {
	entry := &Ring{Box: "entry"}
	agent := &Ring{Box: "agent"}
	entry.Add(Entry{Event: event.RequestRouted}, start)
	stamp := entry.Now(start)
	agent.Observe(stamp)
	// The agent's clock is one second behind.
	agent.Add(Entry{Event: event.AttemptAdmitted}, start.Add(-time.Second))
	entry.Observe(agent.Now(start.Add(-time.Second)))
	entry.Add(Entry{Event: event.RequestAnswered}, start)
	var got []event.ID
	for _, en := range Merge(agent.Entries(), entry.Entries()) {
		got = append(got, en.Event)
	}
	require.Equal(t, []event.ID{event.RequestRouted, event.AttemptAdmitted, event.RequestAnswered}, got)
}

func TestRingKeepsNewestEntries(t *testing.T) {
	ri := &Ring{Size: 3}
	for i := range 5 {
		ri.Add(Entry{Event: event.ID(100 + i)}, start)
	}
	all := ri.Entries()
	require.Len(t, all, 3)
	require.Equal(t, event.ID(102), all[0].Event)
	require.Equal(t, event.ID(104), all[2].Event)
}

func TestTimestampsIncreaseWhenClockMovesBack(t *testing.T) {
	ri := &Ring{}
	first := ri.Now(start)
	second := ri.Now(start.Add(-time.Hour))
	require.Negative(t, first.Compare(second))
}
