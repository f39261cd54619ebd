package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAWindowAllowsARatioOfItsRequests(t *testing.T) {
	wi := Window{Span: 10 * time.Second, Ratio: 0.5, Allowance: 1}
	now := time.Unix(1000, 0)
	require.True(t, wi.Take(now), "the slack")
	require.False(t, wi.Take(now))
	for range 4 {
		wi.Request(now)
	}
	require.True(t, wi.Take(now))
	require.True(t, wi.Take(now))
	require.False(t, wi.Take(now))
	require.True(t, wi.Take(now.Add(11*time.Second)), "an old repeat is forgotten")
}

func TestSpareRepeatsLeaveAReserve(t *testing.T) {
	for requests, want := range map[int]struct{ spare, rest int }{
		100: {48, 2}, // of 50
		20:  {9, 1},  // of 10
		2:   {0, 1},  // of 1
	} {
		wi := Window{Span: 10 * time.Second, Ratio: 0.5}
		now := time.Unix(1000, 0)
		for range requests {
			wi.Request(now)
		}
		spare, rest := 0, 0
		for wi.TakeOptional(2, now) {
			spare++
		}
		for wi.Take(now) {
			rest++
		}
		require.Equal(t, want.spare, spare, requests)
		require.Equal(t, want.rest, rest, requests)
	}
}

// Whenever a repeat is allowed, the span before it holds to the ratio; the
// window is counted in parts, so that it may be one part shorter for repeats.
func TestAnySpanHoldsToTheRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wi := Window{Span: 10 * time.Second, Ratio: 0.85, Allowance: 3}
		now := time.Unix(1000, 0)
		type mark struct {
			at     time.Time
			repeat bool
		}
		var marks []mark
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "repeat") {
				if wi.Take(now) {
					marks = append(marks, mark{now, true})
				}
				continue
			}
			wi.Request(now)
			marks = append(marks, mark{now, false})
		}
		part := wi.Span / windowParts
		for i := range marks {
			if !marks[i].repeat {
				continue
			}
			repeats, requests := 0.0, 0.0
			for _, ma := range marks[:i+1] {
				age := marks[i].at.Sub(ma.at)
				if ma.repeat && age < wi.Span-part {
					repeats++
				}
				if !ma.repeat && age < wi.Span {
					requests++
				}
			}
			if repeats > 0.85*requests+3 {
				rt.Fatalf("%v repeats for %v requests", repeats, requests)
			}
		}
	})
}
