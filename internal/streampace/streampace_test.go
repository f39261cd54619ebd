package streampace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func TestLengthFollowsTheCallersEstimate(t *testing.T) {
	var es Estimator
	require.Zero(t, es.Length(100))
	require.Zero(t, es.Interval())
	for range 200 {
		es.Observe(40, 280, 3900*time.Millisecond)
	}
	require.InDelta(t, 10, es.Length(70), 0.1)
	require.InDelta(t, 40, es.Length(0), 0.1)
	require.InDelta(t, 100, es.Interval().Seconds()*1000, 1)
}

func TestStreamLagsOnlyIfAnotherServerWouldEndItInTime(t *testing.T) {
	usual := Alternative{TimeToHead: 300 * time.Millisecond, Interval: 50 * time.Millisecond}
	for name, tc := range map[string]struct {
		events  int
		length  float64
		elapsed time.Duration
		other   Alternative
		lags    bool
	}{
		"usual pace":                    {20, 40, time.Second, usual, false},
		"slow but in time":              {5, 10, 2 * time.Second, usual, false},
		"too slow":                      {3, 12, 2 * time.Second, usual, true},
		"nothing since the head":        {1, 12, 2 * time.Second, usual, true},
		"just begun":                    {1, 12, 900 * time.Millisecond, usual, false},
		"nearly at its deadline":        {10, 12, 4900 * time.Millisecond, usual, false},
		"others are as slow":            {3, 12, 2 * time.Second, Alternative{time.Second, 300 * time.Millisecond}, false},
		"pace of others not known":      {3, 12, 2 * time.Second, Alternative{}, false},
		"longer than its estimate":      {2, 1, 4 * time.Second, usual, true},
		"length not known":              {3, 0, 2 * time.Second, usual, false},
		"ends soon by its own estimate": {11, 12, 2 * time.Second, usual, false},
	} {
		st := Stream{Head: t0, Deadline: t0.Add(5 * time.Second), Events: tc.events, Length: tc.length}
		require.Equal(t, tc.lags, st.Lags(tc.other, t0.Add(tc.elapsed)), name)
	}
}

// Streams on servers of which some are very slow, as seen by their callers: with the decision, most of
// the streams that would have missed their deadline end in time, and few others are moved.
func TestMostStreamsOnSlowServersEndInTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	usual := Alternative{TimeToHead: 300 * time.Millisecond, Interval: 60 * time.Millisecond}
	missed := map[bool]int{}
	moved, movedInVain, tooLong := 0, 0, 0
	for range 10_000 {
		length := 1 + int(random.ExpFloat64()*30)
		estimate := float64(length) * (0.6 + 0.8*random.Float64())
		interval := time.Duration(20+random.ExpFloat64()*30) * time.Millisecond
		if random.IntN(20) == 0 {
			interval *= 12
		}
		deadline := t0.Add(10 * time.Second)
		end := t0.Add(time.Duration(length) * interval)
		if end.After(deadline) {
			missed[false]++
			if time.Duration(length)*usual.Interval > time.Duration((1-minElapsedShare)*float64(deadline.Sub(t0)))-usual.TimeToHead {
				tooLong++
			}
		}
		for event := 1; event < length; event++ {
			now := t0.Add(time.Duration(event) * interval)
			if now.After(deadline) {
				break
			}
			if (Stream{Head: t0, Deadline: deadline, Events: event, Length: estimate}).Lags(usual, now) {
				moved++
				if !end.After(deadline) {
					movedInVain++
				}
				end = now.Add(usual.TimeToHead + time.Duration(length-event)*usual.Interval)
				break
			}
		}
		if end.After(deadline) {
			missed[true]++
		}
	}
	t.Logf("missed without %d and with the decision %d of 10,000, %d too long for any server; moved %d, of these %d would have ended in time",
		missed[false], missed[true], tooLong, moved, movedInVain)
	require.Less(t, missed[true]-tooLong, (missed[false]-tooLong)/5)
	require.Less(t, movedInVain, moved/5)
}
