package grace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNamesAreHeldUntilTheirDeadline(t *testing.T) {
	var se Set
	now := time.Unix(1000, 0)
	se.Release("none")
	se.Hold("a", now.Add(time.Second))
	se.Hold("a", now.Add(time.Hour))
	se.Hold("b", now.Add(time.Second))
	se.Hold("c", now.Add(time.Minute))
	se.Release("b")
	require.True(t, se.Has("a"))
	require.False(t, se.Has("b"))
	require.Empty(t, se.Expire(now.Add(time.Second-1)))
	require.Equal(t, []string{"a"}, se.Expire(now.Add(time.Second)))
	require.Empty(t, se.Expire(now.Add(time.Second)))
	require.True(t, se.Has("c"))
}
