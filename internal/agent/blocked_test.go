package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/poison"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// An agent reports the suspected parts with which its server survived responses, and only those.
func TestSuspectedPartsThatTheServerSurvivedAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	ag := &Agent{Node: &node.Node{Settings: settings.Settings{Server: settings.Server{Name: "s"}}}}
	ru := &run{ag: ag, at: &wire.Attempt{Request: "r", Team: "t", Parts: []string{"a", "b"}}}
	sent := ag.dispatched.Sent("s", ru.subject(), now)
	ag.dispatched.Answered(sent, now.Add(10*time.Millisecond))
	sent.Finish(true, now.Add(100*time.Millisecond))
	ag.recordSuspects([]poison.Suspect{{Part: poison.Part{Team: "t", ID: "a"}, Grade: poison.Weak}}, now.Add(200*time.Millisecond))
	require.False(t, ag.updateRuns(t.Context(), now.Add(300*time.Millisecond)), "the server may still crash")
	ag.dispatched.Alive("s", now.Add(700*time.Millisecond))
	require.True(t, ag.updateRuns(t.Context(), now.Add(800*time.Millisecond)))
	clears := ag.clears.Clears([]poison.Part{{Team: "t", ID: "a"}, {Team: "u", ID: "a"}}, now.Add(time.Second))
	require.Equal(t, []poison.Clear{{Part: poison.Part{Team: "t", ID: "a"}, Age: 990 * time.Millisecond}}, clears)
	require.False(t, ag.updateRuns(t.Context(), now.Add(10*time.Second)))
	require.Empty(t, ag.suspectParts, "entries repeat what they suspect")
}
