package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func TestConsecutiveFailuresEject(t *testing.T) {
	var de Detector
	require.False(t, de.Failed("a", now))
	require.False(t, de.Failed("a", now))
	require.True(t, de.Failed("a", now))
	require.False(t, de.Usable("a", now))
	require.True(t, de.Usable("b", now))
	require.True(t, de.Usable("a", now.Add(initialEjection)))
}

func TestServerWithHighFailureRateIsEjected(t *testing.T) {
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

func TestServerWithLowFailureRateIsNotEjected(t *testing.T) {
	var de Detector
	for i := range 200 {
		if i%7 == 0 {
			require.False(t, de.Failed("a", now), i)
		} else {
			de.Succeeded("a")
		}
	}
}

func TestEjectedServerIsProbedByOneRequest(t *testing.T) {
	var de Detector
	for range maxConsecutiveFailures {
		de.Failed("a", now)
	}
	later := now.Add(initialEjection)
	require.True(t, de.Usable("a", later))
	de.Sent("a", later)
	require.False(t, de.Usable("a", later))
	require.True(t, de.Failed("a", later), "the next ejection is longer")
	require.False(t, de.Usable("a", later.Add(initialEjection)))
	require.True(t, de.Usable("a", later.Add(2*initialEjection)))
	require.True(t, de.Succeeded("a"))
	require.True(t, de.Usable("a", later))
}

func TestUnreachableServerIsEjectedAtOnce(t *testing.T) {
	var de Detector
	require.True(t, de.Unreachable("a", now))
	require.False(t, de.Usable("a", now.Add(initialEjection-1)))
	require.True(t, de.Usable("a", now.Add(initialEjection)))
	at := now.Add(initialEjection)
	for range 5 {
		require.False(t, de.Unreachable("a", at), "already ejected")
		require.True(t, de.Usable("a", at.Add(maxUnreachableEjection)), "ejections of unreachable servers remain short")
		at = at.Add(maxUnreachableEjection)
	}
	require.True(t, de.Succeeded("a"))
	require.True(t, de.Unreachable("a", at))
	require.True(t, de.Usable("a", at.Add(initialEjection)), "a success resets the ejection time")
}
