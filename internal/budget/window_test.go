package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestWindowAllowsARatioOfItsRequests(t *testing.T) {
	wi := Window{Span: 10 * time.Second, Ratio: 0.5, Allowance: 1}
	now := time.Unix(1000, 0)
	require.True(t, wi.Take(now), "the allowance")
	require.False(t, wi.Take(now))
	for range 4 {
		wi.Request(now)
	}
	require.True(t, wi.Take(now))
	require.True(t, wi.Take(now))
	require.False(t, wi.Take(now))
	require.True(t, wi.Take(now.Add(11*time.Second)), "the earlier retries have expired")
}

func TestOptionalRetriesLeaveAReserve(t *testing.T) {
	for requests, want := range map[int]struct{ optional, required int }{
		100: {48, 2}, // of 50
		20:  {9, 1},  // of 10
		2:   {0, 1},  // of 1
	} {
		wi := Window{Span: 10 * time.Second, Ratio: 0.5}
		now := time.Unix(1000, 0)
		for range requests {
			wi.Request(now)
		}
		optional, required := 0, 0
		for wi.TakeOptional(2, now) {
			optional++
		}
		for wi.Take(now) {
			required++
		}
		require.Equal(t, want.optional, optional, requests)
		require.Equal(t, want.required, required, requests)
	}
}

// Whenever a retry is allowed, the ratio holds for the time span before it. Since a window counts
// in buckets, its span may be one bucket shorter for retries.
func TestAnySpanKeepsTheRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wi := Window{Span: 10 * time.Second, Ratio: 0.85, Allowance: 3}
		now := time.Unix(1000, 0)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "retry") {
				if wi.Take(now) {
					events = append(events, event{now, true})
				}
				continue
			}
			wi.Request(now)
			events = append(events, event{now, false})
		}
		bucketSpan := wi.Span / windowBuckets
		for i := range events {
			if !events[i].retry {
				continue
			}
			retries, requests := 0.0, 0.0
			for _, ev := range events[:i+1] {
				age := events[i].at.Sub(ev.at)
				if ev.retry && age < wi.Span-bucketSpan {
					retries++
				}
				if !ev.retry && age < wi.Span {
					requests++
				}
			}
			if retries > 0.85*requests+3 {
				rt.Fatalf("%v retries for %v requests", retries, requests)
			}
		}
	})
}
