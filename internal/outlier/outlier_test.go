package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func TestFailuresInARowEject(t *testing.T) {
	var de Detector
	require.False(t, de.Failed("a", now))
	require.False(t, de.Failed("a", now))
	require.True(t, de.Failed("a", now))
	require.False(t, de.Usable("a", now))
	require.True(t, de.Usable("b", now))
	require.True(t, de.Usable("a", now.Add(firstPause)))
}

func TestAServerThatFailsInPartIsEjected(t *testing.T) {
	var de Detector
	ejected := false
	for i := range 40 {
		if i%2 == 0 {
			ejected = ejected || de.Failed("a", now)
		} else {
			de.Succeeded("a")
		}
	}
	require.True(t, ejected)
}

func TestAServerThatFailsNowAndThenIsKept(t *testing.T) {
	var de Detector
	for i := range 200 {
		if i%7 == 0 {
			require.False(t, de.Failed("a", now), i)
		} else {
			de.Succeeded("a")
		}
	}
}

func TestOneRequestTriesAnEjectedServer(t *testing.T) {
	var de Detector
	for range failuresInARow {
		de.Failed("a", now)
	}
	later := now.Add(firstPause)
	require.True(t, de.Usable("a", later))
	de.Sent("a", later)
	require.False(t, de.Usable("a", later))
	require.True(t, de.Failed("a", later), "the next pause is longer")
	require.False(t, de.Usable("a", later.Add(firstPause)))
	require.True(t, de.Usable("a", later.Add(2*firstPause)))
	require.True(t, de.Succeeded("a"))
	require.True(t, de.Usable("a", later))
}

func TestAServerThatTakesNoConnectionIsLeftAtOnce(t *testing.T) {
	var de Detector
	require.True(t, de.Unreachable("a", now))
	require.False(t, de.Usable("a", now.Add(firstPause-1)))
	require.True(t, de.Usable("a", now.Add(firstPause)))
	at := now.Add(firstPause)
	for range 5 {
		require.False(t, de.Unreachable("a", at), "it was out of use")
		require.True(t, de.Usable("a", at.Add(longestGone)), "one that has crashed is soon back")
		at = at.Add(longestGone)
	}
	require.True(t, de.Succeeded("a"))
	require.True(t, de.Unreachable("a", at))
	require.True(t, de.Usable("a", at.Add(firstPause)), "a pause begins anew")
}
