package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

// failAll makes first attempts that all fail and retries each up to three times while the budget
// allows it. It returns the total number of attempts.
func failAll(bu *Budget, firsts int, span time.Duration) int {
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

func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	const firsts = 10_000
	naive := 4 * firsts
	limited := failAll(&Budget{Ratio: 0.1}, firsts, 10*time.Second)
	require.Less(t, limited, firsts*12/10)
	require.Greater(t, naive, 3*limited)
}

func TestIdleProcessMayRetry(t *testing.T) {
	bu := Budget{Ratio: 0.1}
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		bu.Deposit(now)
		require.True(t, bu.Take(now), "second %d", i)
	}
}

func TestTeamsHaveSeparateBudgets(t *testing.T) {
	te := Teams{Ratio: 0.1}
	for te.For("busy").Take(start) {
	}
	require.True(t, te.For("idle").Take(start))
}
