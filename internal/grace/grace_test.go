package grace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExpireAtDeadline(t *testing.T) {
	var se Set
	now := time.Unix(1000, 0)
	se.Remove("none")
	se.Add("a", now.Add(time.Second))
	se.Add("a", now.Add(time.Hour))
	se.Add("b", now.Add(time.Second))
	se.Add("c", now.Add(time.Minute))
	se.Remove("b")
	require.True(t, se.Contains("a"))
	require.False(t, se.Contains("b"))
	require.Empty(t, se.Expire(now.Add(time.Second-1)))
	require.Equal(t, []string{"a"}, se.Expire(now.Add(time.Second)))
	require.Empty(t, se.Expire(now.Add(time.Second)))
	require.True(t, se.Contains("c"))
}
