package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// policy returns the index of the model that answers after the smallest one has.
type policy func(st State, ops []Option, confidence int) int

// valuePolicy uses this package; the other policies are naive.
func valuePolicy(st State, ops []Option, confidence int) int {
	next, _ := st.Next(0, confidence, ops)
	return next
}

func alwaysPolicy(index int) policy { return func(State, []Option, int) int { return index } }

func thresholdPolicy(confidence int) policy {
	return func(_ State, _ []Option, co int) int {
		if co < confidence {
			return 2
		}
		return 0
	}
}

// Properties of the simulated models: the prefill time of a prompt in seconds, the price, and the
// difficulty up to which requests are answered well, from 0 to 1.
var (
	prefillSeconds = []float64{0.05, 0.13, 0.5}
	prices         = []float64{0.01, 0.075, 0.15}
	quality        = []float64{0.54, 0.64, 1}
)

const (
	poolServers   = 12
	targetSeconds = 3.0
	stepSeconds   = 0.02
	// observationDelay is the number of steps after which the load is observed: 0.2 s.
	observationDelay = 10
)

// simulation models servers that process prompts in order of arrival.
type simulation struct {
	random *rand.Rand
	// work is the total work in progress, in server seconds.
	work             float64
	observedBacklogs []float64
	smoothedBacklog  float64
	// requests counts requests; value sums the value of their answers less prices.
	requests, value float64
}

// run generates requests for a duration, at loadFactor times the rate that the servers can process if
// the largest model answers all of them. It returns the mean value of a request and the backlogs.
func (sim *simulation) run(loadFactor, seconds float64, decide policy) (meanValue float64, backlogs []float64) {
	sim.requests, sim.value = 0, 0
	perStep := loadFactor * poolServers * stepSeconds / (prefillSeconds[0] + prefillSeconds[2])
	for at := 0.0; at < seconds; at += stepSeconds {
		sim.observedBacklogs = append(sim.observedBacklogs, sim.work/poolServers)
		backlog := sim.observedBacklogs[max(0, len(sim.observedBacklogs)-1-observationDelay)]
		sim.smoothedBacklog += stepSeconds / 6 * (backlog - sim.smoothedBacklog)
		for n := perStep; sim.random.Float64() < n; n-- {
			sim.serve(backlog, decide)
		}
		sim.work = max(0, sim.work-poolServers*stepSeconds)
		backlogs = append(backlogs, sim.work/poolServers)
	}
	return sim.value / sim.requests, backlogs
}

// serve simulates one request.
func (sim *simulation) serve(backlog float64, decide policy) {
	difficulty := sim.random.Float64()
	ops := make([]Option, len(prefillSeconds))
	for i := range ops {
		ops[i] = Option{
			Price: prices[i], TimeToHead: seconds(backlog + prefillSeconds[i]), RelativeWork: prefillSeconds[i] / prefillSeconds[2], ConfidenceGain: 154 * (quality[i] - quality[0]),
		}
	}
	index, remaining := sim.call(0, targetSeconds)
	confidence := min(100, max(0, 50+154*(quality[0]-difficulty)+12*sim.random.NormFloat64()))
	st := State{Remaining: seconds(remaining), Target: seconds(targetSeconds), Backlog: seconds(backlog), SmoothedBacklog: seconds(sim.smoothedBacklog)}
	if next := decide(st, ops, int(confidence)); next > 0 {
		index, remaining = sim.call(next, remaining)
	}
	value := 1.0
	if difficulty > quality[index] {
		value = poorValue
	}
	if remaining < 0 {
		value *= lateValue
	}
	sim.requests++
	sim.value += value
}

// call simulates a call of a model, which is queued behind the work in progress. It returns the
// model and the time that remains after its answer.
func (sim *simulation) call(index int, left float64) (answeredBy int, remaining float64) {
	wait := sim.work / poolServers
	sim.work += prefillSeconds[index]
	sim.value -= prices[index]
	return index, left - wait - prefillSeconds[index]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func newSimulation() *simulation { return &simulation{random: rand.New(rand.NewPCG(1, 2))} }

// Covers loads from an idle pool to three times the capacity.
func TestPolicyBeatsNaivePolicies(t *testing.T) {
	for _, loadFactor := range []float64{0.2, 0.7, 1, 1.5, 2, 3} {
		meanValues := map[string]float64{}
		for name, decide := range map[string]policy{"cascade": valuePolicy, "smallest": alwaysPolicy(0), "largest": alwaysPolicy(2), "below 60": thresholdPolicy(60)} {
			meanValues[name], _ = newSimulation().run(loadFactor, 30, decide)
		}
		t.Logf("%.1f times: %v", loadFactor, meanValues)
		for name := range meanValues {
			require.GreaterOrEqual(t, meanValues["cascade"], meanValues[name]-0.02, "%s at %.1f times", name, loadFactor)
		}
	}
}

// Although the load is observed with a delay, the backlog must not oscillate, and two seconds after a
// burst of three times the load it must be back to normal.
func TestPoolRecoversFromABurstWithoutOscillating(t *testing.T) {
	sim := newSimulation()
	before, backlogsBefore := sim.run(0.7, 20, valuePolicy)
	_, during := sim.run(3, 6, valuePolicy)
	require.Less(t, mean(during[len(during)/2:]), targetSeconds/2, "the queue stays well below the target")
	_, settling := sim.run(0.7, 2, valuePolicy)
	require.Less(t, settling[len(settling)-1], mean(backlogsBefore)+0.3)
	after, backlogsAfter := sim.run(0.7, 20, valuePolicy)
	require.InDelta(t, before, after, 0.05)
	require.Less(t, mean(backlogsAfter), mean(backlogsBefore)+0.1)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, va := range list {
		sum += va
	}
	return sum / float64(len(list))
}
