package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

// storm sends first attempts that all fail and are tried again as long as the
// budget allows, and returns all attempts.
func storm(bu *Budget, firsts int, span time.Duration) int {
	attempts := 0
	for i := range firsts {
		now := start.Add(span * time.Duration(i) / time.Duration(firsts))
		bu.Deposit(now)
		attempts++
		for range 3 {
			if bu.Take(now) {
				attempts++
			}
		}
	}
	return attempts
}

func TestAnOutageIsNotMultiplied(t *testing.T) {
	const firsts = 10_000
	naive := 4 * firsts
	ours := storm(&Budget{Ratio: 0.1}, firsts, 10*time.Second)
	require.Less(t, ours, firsts*12/10)
	require.Greater(t, naive, 3*ours)
}

func TestAQuietProcessMayRetry(t *testing.T) {
	bu := Budget{Ratio: 0.1}
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		bu.Deposit(now)
		require.True(t, bu.Take(now), "second %d", i)
	}
}

func TestOneTeamsStormLeavesTheOthersTheirRetries(t *testing.T) {
	te := Teams{Ratio: 0.1}
	for te.For("loud").Take(start) {
	}
	require.True(t, te.For("quiet").Take(start))
}
