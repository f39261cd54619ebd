package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rule returns the place of the model that is asked after the smallest.
type rule func(st State, ops []Option, confidence int) int

// byValue is the rule of this package, the others are naive ones.
func byValue(st State, ops []Option, confidence int) int {
	next, _ := st.Next(0, confidence, ops)
	return next
}

func always(place int) rule { return func(State, []Option, int) int { return place } }

func below(confidence int) rule {
	return func(_ State, _ []Option, co int) int {
		if co < confidence {
			return 2
		}
		return 0
	}
}

// What the models of the queue are like: how long they read a prompt, in seconds, what
// they cost, and how hard a request they answer well, from 0 to 1.
var (
	reads   = []float64{0.05, 0.13, 0.5}
	prices  = []float64{0.01, 0.075, 0.15}
	quality = []float64{0.54, 0.64, 1}
)

const (
	queueServers = 12
	queueTarget  = 3.0
	queueStep    = 0.02
	// seenLate is how many steps later the load is seen: 0.2 s.
	seenLate = 10
)

// queue is servers that read prompts in turn.
type queue struct {
	random *rand.Rand
	// work is what is in progress in all, in seconds of one server.
	work    float64
	seen    []float64
	lasting float64
	// owed counts requests, earned what they were worth.
	owed, earned float64
}

// play lets requests come for a while at so many times what the servers could do if the
// largest model answered all of them. It returns what one was worth and the backlogs.
func (qu *queue) play(times, seconds float64, decide rule) (worth float64, backlogs []float64) {
	qu.owed, qu.earned = 0, 0
	perStep := times * queueServers * queueStep / (reads[0] + reads[2])
	for at := 0.0; at < seconds; at += queueStep {
		qu.seen = append(qu.seen, qu.work/queueServers)
		seen := qu.seen[max(0, len(qu.seen)-1-seenLate)]
		qu.lasting += queueStep / 6 * (seen - qu.lasting)
		for n := perStep; qu.random.Float64() < n; n-- {
			qu.request(seen, decide)
		}
		qu.work = max(0, qu.work-queueServers*queueStep)
		backlogs = append(backlogs, qu.work/queueServers)
	}
	return qu.earned / qu.owed, backlogs
}

// request lets one request be answered.
func (qu *queue) request(seen float64, decide rule) {
	hard := qu.random.Float64()
	ops := make([]Option, len(reads))
	for i := range ops {
		ops[i] = Option{
			Price: prices[i], TimeToHead: inSeconds(seen + reads[i]), RelativeWork: reads[i] / reads[2], ConfidenceGain: 154 * (quality[i] - quality[0]),
		}
	}
	place, left := qu.ask(0, queueTarget)
	confidence := min(100, max(0, 50+154*(quality[0]-hard)+12*qu.random.NormFloat64()))
	st := State{Remaining: inSeconds(left), Target: inSeconds(queueTarget), Backlog: inSeconds(seen), SmoothedBacklog: inSeconds(qu.lasting)}
	if next := decide(st, ops, int(confidence)); next > 0 {
		place, left = qu.ask(next, left)
	}
	value := 1.0
	if hard > quality[place] {
		value = poorWorth
	}
	if left < 0 {
		value *= lateWorth
	}
	qu.owed++
	qu.earned += value
}

// ask lets a model answer, after what is in progress.
func (qu *queue) ask(place int, left float64) (asked int, leftThen float64) {
	waits := qu.work / queueServers
	qu.work += reads[place]
	qu.earned -= prices[place]
	return place, left - waits - reads[place]
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func newQueue() *queue { return &queue{random: rand.New(rand.NewPCG(1, 2))} }

// From an idle pool to three times its load.
func TestTheRuleIsWorthMoreThanNaiveOnes(t *testing.T) {
	for _, times := range []float64{0.2, 0.7, 1, 1.5, 2, 3} {
		worth := map[string]float64{}
		for name, decide := range map[string]rule{"rule": byValue, "smallest": always(0), "largest": always(2), "below 60": below(60)} {
			worth[name], _ = newQueue().play(times, 30, decide)
		}
		t.Logf("%.1f times: %v", times, worth)
		for name := range worth {
			require.GreaterOrEqual(t, worth["rule"], worth[name]-0.02, "%s at %.1f times", name, times)
		}
	}
}

// A load that is seen late must not make the pool swing, and after a burst of three times
// the load it is as before within two seconds.
func TestThePoolRecoversFromABurstWithoutSwinging(t *testing.T) {
	qu := newQueue()
	calm, before := qu.play(0.7, 20, byValue)
	_, during := qu.play(3, 6, byValue)
	require.Less(t, mean(during[len(during)/2:]), queueTarget/2, "the queue stays well below the target")
	_, settling := qu.play(0.7, 2, byValue)
	require.Less(t, settling[len(settling)-1], mean(before)+0.3)
	after, then := qu.play(0.7, 20, byValue)
	require.InDelta(t, calm, after, 0.05)
	require.Less(t, mean(then), mean(before)+0.1)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, va := range list {
		sum += va
	}
	return sum / float64(len(list))
}
