// Package cascade decides whether the answer of one of several models, ordered from the
// smallest to the largest, is kept or a larger one is asked instead: by what each would be
// worth to the caller now, less what it costs and what it takes from all others. The
// smallest is asked first: which requests are hard can't be told beforehand, and to ask the
// largest at once where it would be late otherwise was worth nothing or less (0.516 without
// and 0.506 with it where the largest takes 20 times as long). It does no I/O and reads no
// clock.
package cascade

import (
	"math"
	"time"
)

// What answers are worth, as parts of a good one in time, by the users' sheets.
const (
	// lateWorth is what a good answer after its target is worth (0.23 to 0.5 on the
	// sheets), poorWorth what one of a model too small for the request is.
	lateWorth = 0.3
	poorWorth = 0.05
)

const (
	// evenConfidence is the confidence, from 0 to 100, of answers of which as many are
	// poor as good, and confidenceWidth how far from it the odds are e to one. Measured
	// with 3,534 answers on an idle pool: of those from 30 to 40 0.89 were poor, from 40
	// to 50 0.54, from 50 to 60 0.32, from 60 to 70 0.10.
	evenConfidence  = 49.0
	confidenceWidth = 6.5
	// headSpread is how far the time to a head scatters about the expected one: the
	// standard deviation of its logarithm. 0.4 and 0.7 differ by 0.004 in worth.
	headSpread = 0.7
	// headMargin is the part of the time left in which a head is expected at the most
	// for even odds that it is in time: who asks when all are just in time makes others
	// late. 0.6 and 0.8 differ by 0.001 in worth.
	headMargin = 0.8
	// crowdPrice is the part of an answer's worth that a prompt of usual size costs all
	// others, for each target latency of work that servers have in progress on average.
	// 0.5, 1 and 1.5 are worth 0.721, 0.717 and 0.711 at the load of the first customers
	// with long prompts and 0.566, 0.586 and 0.613 at twice that.
	crowdPrice = 0.5
	// lastingPrice is how many times that is more for each target latency of work that
	// they had over the last seconds: what comes in the course of a long queue delays
	// more than what comes in a short one. 8 instead of 0: 0.592 at twice the load.
	lastingPrice = 8
	// priorityPrice is how much more that is for each rank of a less urgent request, so
	// that the most urgent keep the largest model longest.
	priorityPrice = 0.25
)

// Option is what is known of a model that may be asked.
type Option struct {
	// Price is what its answer costs, as a part of what a good one is worth.
	Price float64
	// TimeToHead is the time until the head of its answer if it is asked now.
	TimeToHead time.Duration
	// RelativeWork is the work of reading the prompt, as a part of that of a prompt of usual size
	// by the largest model.
	RelativeWork float64
	// ConfidenceGain is by how much its confidence is above that of the smallest model's answer to
	// the same request.
	ConfidenceGain float64
}

// State is what a decision depends on besides the models.
type State struct {
	// Remaining is the time to the request's target latency, Target the whole of it.
	Remaining, Target time.Duration
	// Backlog is how long servers have to work on average for what is in progress now,
	// SmoothedBacklog how long they had to over the last seconds.
	Backlog, SmoothedBacklog time.Duration
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Next returns the place of the model to ask instead of keeping an answer, or false if
// the answer is kept. confidence is the model's own rating of the answer, below zero if
// it gave none.
func (st State) Next(place, confidence int, options []Option) (int, bool) {
	if confidence < 0 {
		return place, false
	}
	best, most := place, st.timely(0)*usefulness(PoorProbability(float64(confidence)))
	for i := place + 1; i < len(options); i++ {
		risk := 0.0
		if i < len(options)-1 {
			risk = PoorProbability(float64(confidence) + options[i].ConfidenceGain - options[place].ConfidenceGain)
		}
		if value := st.value(options[i], risk); value > most {
			best, most = i, value
		}
	}
	return best, best != place
}

// value returns what asking a model now is worth, if its answer is poor by a chance.
func (st State) value(op Option, risk float64) float64 {
	target := max(st.Target, time.Millisecond).Seconds()
	crowd := crowdPrice * st.Backlog.Seconds() / target
	crowd *= 1 + lastingPrice*st.SmoothedBacklog.Seconds()/target
	crowd *= 1 + priorityPrice*float64(st.Priority)
	return st.timely(op.TimeToHead)*usefulness(risk) - op.Price - crowd*op.RelativeWork
}

// timely returns what a good answer is worth whose head is expected after a time.
func (st State) timely(head time.Duration) float64 {
	if st.Remaining <= 0 {
		return lateWorth
	}
	if head <= 0 {
		return 1
	}
	// A logistic curve in place of the normal distribution, which it follows within a
	// hundredth at 1.7 times the steepness.
	deviation := math.Log(headMargin*st.Remaining.Seconds()/head.Seconds()) / headSpread
	inTime := 1 / (1 + math.Exp(-1.7*deviation))
	return inTime + (1-inTime)*lateWorth
}

// usefulness returns what an answer is worth that is poor by a chance.
func usefulness(risk float64) float64 { return 1 - risk*(1-poorWorth) }

// PoorProbability returns the chance that an answer of a confidence is poor.
func PoorProbability(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceWidth))
}
