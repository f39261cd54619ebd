package cascade

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestADoubtfulAnswerGoesToTheLargestModel(t *testing.T) {
	var po Policy
	next, ok := po.Next(3, 0, defaultKeep-1)
	require.True(t, ok)
	require.Equal(t, 2, next)
}

func TestAnAnswerIsKept(t *testing.T) {
	var po Policy
	for name, tc := range map[string]struct{ models, place, confidence int }{
		"confident":        {3, 0, defaultKeep},
		"largest model":    {3, 2, 0},
		"one model":        {1, 0, 0},
		"no rating at all": {3, 0, -1},
	} {
		_, ok := po.Next(tc.models, tc.place, tc.confidence)
		require.False(t, ok, name)
	}
}
