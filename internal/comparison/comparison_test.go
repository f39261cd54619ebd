package comparison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func fill(re *Reference, wo Work, took time.Duration, n int, at time.Time) {
	for range n {
		re.Add(wo, took, at)
	}
}

func TestResponsesAreComparedAtLikeLoad(t *testing.T) {
	var re Reference
	fill(&re, Work{"m", 1}, 10*time.Millisecond, 40, start)
	fill(&re, Work{"m", 60}, 40*time.Millisecond, 40, start)
	for _, tc := range []struct {
		load int
		took time.Duration
		slow bool
	}{{1, 14 * time.Millisecond, false}, {1, 20 * time.Millisecond, true}, {50, 50 * time.Millisecond, false}, {50, 80 * time.Millisecond, true}} {
		slow, ok := re.IsSlow(Work{"m", tc.load}, tc.took, 2, start)
		require.True(t, ok)
		require.Equal(t, tc.slow, slow, tc)
	}
	_, ok := re.IsSlow(Work{"other", 1}, time.Second, 2, start)
	require.False(t, ok)
}

// Guards against the reference of a low load being lost when a burst fills it with others.
func TestBurstDoesNotDisplaceResponsesOfOtherLoads(t *testing.T) {
	var re Reference
	fill(&re, Work{"m", 1}, 10*time.Millisecond, minSamples, start)
	fill(&re, Work{"m", 500}, 80*time.Millisecond, 1000, start.Add(10*time.Second))
	slow, ok := re.IsSlow(Work{"m", 0}, 20*time.Millisecond, 2, start.Add(10*time.Second))
	require.True(t, ok)
	require.True(t, slow)
}

func TestOldResponsesAreNotUsed(t *testing.T) {
	var re Reference
	fill(&re, Work{"m", 1}, 10*time.Millisecond, 100, start)
	_, ok := re.Typical(Work{"m", 1}, start.Add(maxAge+1))
	require.False(t, ok)
	fill(&re, Work{"m", 1}, 20*time.Millisecond, minSamples, start.Add(maxAge+1))
	typical, ok := re.Typical(Work{"m", 1}, start.Add(maxAge+1))
	require.True(t, ok)
	require.Equal(t, 20*time.Millisecond, typical)
}

func TestTooFewResponsesAreNotCompared(t *testing.T) {
	var re Reference
	fill(&re, Work{"m", 1}, time.Millisecond, minSamples-1, start)
	_, ok := re.IsSlow(Work{"m", 1}, time.Second, 2, start)
	require.False(t, ok)
}

func BenchmarkIsSlow(b *testing.B) {
	var re Reference
	fill(&re, Work{"m", 1}, time.Millisecond, 1000, start)
	b.ReportAllocs()
	for b.Loop() {
		re.IsSlow(Work{"m", 1}, time.Second, 2, start)
	}
}

// Guards against memory that grows with each route that a configuration has had.
func TestKindsThatAreNotUsedAreDropped(t *testing.T) {
	var re Reference
	now := time.Unix(1000, 0)
	for i := range 20 * maxKinds {
		re.Add(Work{Kind: fmt.Sprint(i)}, time.Second, now.Add(time.Duration(i)*time.Second))
	}
	require.LessOrEqual(t, len(re.kinds), maxKinds+1)
}
