package transport

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionsAreDroppedWhenSeveralPeersAreSilent(t *testing.T) {
	var sd silenceDetector
	now := time.Unix(1000, 0)
	observe := func(peer string, after time.Duration) bool {
		return sd.handleSilence(peer, now.Add(after-100*time.Millisecond), now.Add(after))
	}
	require.False(t, observe("a", 0))
	require.False(t, observe("a", 100*time.Millisecond), "one peer may have failed by itself")
	require.False(t, observe("b", 100*time.Millisecond+silenceWindow), "not at the same time")
	require.True(t, observe("a", 200*time.Millisecond+silenceWindow))
}

func TestPeersThatRespondToOthersAreNotSilent(t *testing.T) {
	var sd silenceDetector
	now := time.Unix(1000, 0)
	for i := range 100 {
		peer, at := fmt.Sprint("p", i%5), now.Add(time.Duration(i)*20*time.Millisecond)
		sd.handleResponse(peer, at.Add(-10*time.Millisecond))
		require.False(t, sd.handleSilence(peer, at.Add(-time.Second), at))
	}
}

func TestIdleConnectionsToSlowPeersAreRarelyDropped(t *testing.T) {
	var sd silenceDetector
	now := time.Unix(1000, 0)
	drops := 0
	for i := range 600 { // 20 s
		at := now.Add(time.Duration(i) * time.Second / 30)
		if sd.handleSilence([]string{"a", "b", "c"}[i%3], at, at) {
			drops++
		}
	}
	require.LessOrEqual(t, drops, 4)
}

func TestPeersThatRespondNoMoreAreForgotten(t *testing.T) {
	var sd silenceDetector
	now := time.Unix(1000, 0)
	for i := range 10 * maxPeers {
		sd.handleResponse(fmt.Sprint(i), now.Add(time.Duration(i)*time.Second))
	}
	require.LessOrEqual(t, len(sd.answered), maxPeers+2)
}
