package latency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheUsualTimeFollowsWhatIsObserved(t *testing.T) {
	var me Meter
	require.Zero(t, me.Usual("m"))
	me.Observe("m", time.Second)
	require.Equal(t, time.Second, me.Usual("m"))
	for range 100 {
		me.Observe("m", 2*time.Second)
	}
	require.InDelta(t, 2, me.Usual("m").Seconds(), 0.01)
	require.Zero(t, me.Usual("other"))
}

func TestTheFloorIsNearTheQuickestAnswers(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	var fl Baseline
	require.Zero(t, fl.Latency("m"))
	for range 500 {
		took := 10 * math.Exp(1.2*math.Abs(ra.NormFloat64()))
		fl.Observe("m", time.Duration(took*float64(time.Millisecond)))
	}
	require.InDelta(t, 11, fl.Latency("m").Seconds()*1000, 3)
}

func TestABurstDoesNotMoveTheFloor(t *testing.T) {
	var fl Baseline
	for range 200 {
		fl.Observe("m", 20*time.Millisecond)
	}
	before := fl.Latency("m")
	for range 120 {
		fl.Observe("m", 100*time.Millisecond)
	}
	require.Less(t, fl.Latency("m"), before*5/4)
}

func TestTheReadingTimeIsThatOfAnIdleServer(t *testing.T) {
	ra := rand.New(rand.NewPCG(1, 2))
	var re PromptTime
	_, ok := re.PerToken("m")
	require.False(t, ok)
	re.Observe("m", fewestTokens-1, time.Second)
	_, ok = re.PerToken("m")
	require.False(t, ok, "what a short prompt takes is overhead")
	for range 500 {
		tokens := 1000 + ra.IntN(9000)
		waits := 1 + ra.ExpFloat64()
		re.Observe("m", tokens, time.Duration(waits*float64(tokens)*float64(50*time.Microsecond)))
	}
	per, _ := re.PerToken("m")
	quickestTenth := 50_000 * (1 - math.Log(1-idlePart))
	require.InDelta(t, quickestTenth, per, 10_000)
}

func TestATrendFollowsTheClock(t *testing.T) {
	var tr Smoother
	now := time.Unix(1000, 0)
	require.Equal(t, time.Second, tr.Update(time.Second, now))
	require.Equal(t, time.Second, tr.Update(5*time.Second, now), "no time has passed")
	require.InDelta(t, 5, tr.Update(5*time.Second, now.Add(5*trendMemory)).Seconds(), 0.05)
}

// After a start a first answer of a busy server stood for a model's time: the largest
// model was asked too seldom for some ten seconds.
func TestAFewTimesTellWhatAnIdleServerTakes(t *testing.T) {
	var re PromptTime
	for _, took := range []time.Duration{900, 400, 600, 150, 500} {
		re.Observe("m", 1000, took*time.Millisecond)
	}
	at, ok := re.PerToken("m")
	require.True(t, ok)
	require.InDelta(t, 150e3, at, 1)
}
