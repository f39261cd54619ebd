package choicelog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLastChoiceIsReturnedIfItIsLater(t *testing.T) {
	start := time.Unix(1000, 0)
	var lo Log
	lo.Record("a", Choice{Request: "1", At: start})
	lo.Record("a", Choice{Request: "2", At: start.Add(time.Second), StateAge: time.Minute, Source: "b1"})
	ch, ok := lo.Since("a", start)
	require.True(t, ok)
	require.Equal(t, Choice{Request: "2", At: start.Add(time.Second), StateAge: time.Minute, Source: "b1"}, ch)
	_, ok = lo.Since("a", start.Add(time.Second))
	require.False(t, ok)
	_, ok = lo.Since("b", start)
	require.False(t, ok)
	lo.Forget("a")
	require.Zero(t, lo.Len())
}
