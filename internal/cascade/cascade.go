// Package cascade decides whether the answer of one of several models, ordered from the smallest to
// the largest, is accepted or a larger model is called instead. It compares the value of each
// alternative to the caller, less its price and the delay that it causes for other requests. The
// smallest model is called first: which requests are hard is not known beforehand, and calling the
// largest model first where a second call would be late had no benefit (a value of 0.506 compared
// with 0.516 where the largest model takes 20 times as long). It does no I/O and reads no clock.
package cascade

import (
	"math"
	"time"
)

// Values of answers relative to a good answer in time, as stated by the users.
const (
	// lateValue is the value of a good answer after its target latency (the users state 0.23 to
	// 0.5), poorValue that of an answer of a model too small for the request.
	lateValue = 0.3
	poorValue = 0.05
)

const (
	// evenConfidence is the confidence, from 0 to 100, at which half of the answers are poor;
	// confidenceScale is the scale of the logistic curve around it, the distance at which the odds
	// are e to 1. Measured with 3,534 answers on an idle pool: 0.89 of the answers with a
	// confidence of 30 to 40 were poor, 0.54 from 40 to 50, 0.32 from 50 to 60, 0.10 from 60 to 70.
	evenConfidence  = 49.0
	confidenceScale = 6.5
	// headLogDeviation is the standard deviation of the logarithm of the time to the response
	// head, around the expected time. 0.4 and 0.7 differ by 0.004 in value.
	headLogDeviation = 0.7
	// headMargin is the fraction of the remaining time at which the expected time to the head
	// counts as an even chance of being in time: calls that are expected just in time delay other
	// requests. 0.6 and 0.8 differ by 0.001 in value.
	headMargin = 0.8
	// backlogPrice is the total cost to other requests of a prompt of typical size, as a fraction of
	// an answer's value, for each target latency of mean backlog per server. 0.5, 1 and 1.5 give
	// values of 0.721, 0.717 and 0.711 at the load of the first customers with long prompts, and
	// 0.566, 0.586 and 0.613 at twice that load.
	backlogPrice = 0.5
	// sustainedBacklogPrice is the relative increase of that cost for each target latency of
	// smoothed backlog: a request that arrives while the queue is long delays more requests than
	// one that arrives while it is short. With 8 instead of 0, the value at twice the load is 0.592.
	sustainedBacklogPrice = 8
	// priorityPrice is the relative increase of that cost for each priority rank below the most
	// urgent, so that the most urgent requests can use the largest model longest.
	priorityPrice = 0.25
)

// Option describes a model that may be called.
type Option struct {
	// Price is the price of the model's answer, relative to the value of a good answer.
	Price float64
	// TimeToHead is the expected time until the response head if the model is called now.
	TimeToHead time.Duration
	// RelativeWork is the work of processing the prompt, relative to that of a prompt of typical
	// size on the largest model.
	RelativeWork float64
	// ConfidenceGain is the expected difference between the confidence of the model's answer and
	// that of the smallest model's answer to the same request.
	ConfidenceGain float64
}

// State holds what a decision depends on besides the models.
type State struct {
	// Remaining is the time left until the request's target latency, Target the target latency
	// itself.
	Remaining, Target time.Duration
	// Backlog is the mean work in progress per server now, as time; SmoothedBacklog is its mean
	// over the last seconds.
	Backlog, SmoothedBacklog time.Duration
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Next returns the index of the model to call instead of accepting the current answer, or false if
// the answer is accepted. confidence is the model's own rating of the answer, negative if it gave
// none.
func (st State) Next(index, confidence int, options []Option) (int, bool) {
	if confidence < 0 {
		return index, false
	}
	best, highest := index, st.timelyValue(0)*expectedValue(PoorProbability(float64(confidence)))
	for i := index + 1; i < len(options); i++ {
		risk := 0.0
		if i < len(options)-1 {
			risk = PoorProbability(float64(confidence) + options[i].ConfidenceGain - options[index].ConfidenceGain)
		}
		if value := st.value(options[i], risk); value > highest {
			best, highest = i, value
		}
	}
	return best, best != index
}

// value returns the value of calling a model now, less its costs. risk is the probability that its
// answer is poor.
func (st State) value(op Option, risk float64) float64 {
	target := max(st.Target, time.Millisecond).Seconds()
	delayCost := backlogPrice * st.Backlog.Seconds() / target
	delayCost *= 1 + sustainedBacklogPrice*st.SmoothedBacklog.Seconds()/target
	delayCost *= 1 + priorityPrice*float64(st.Priority)
	return st.timelyValue(op.TimeToHead)*expectedValue(risk) - op.Price - delayCost*op.RelativeWork
}

// timelyValue returns the value of a good answer, given the expected time to its head.
func (st State) timelyValue(head time.Duration) float64 {
	if st.Remaining <= 0 {
		return lateValue
	}
	if head <= 0 {
		return 1
	}
	// The logistic function approximates the normal distribution within a hundredth at 1.7 times
	// the steepness.
	deviation := math.Log(headMargin*st.Remaining.Seconds()/head.Seconds()) / headLogDeviation
	inTime := 1 / (1 + math.Exp(-1.7*deviation))
	return inTime + (1-inTime)*lateValue
}

// expectedValue returns the value of an answer that is poor with a probability of risk.
func expectedValue(risk float64) float64 { return 1 - risk*(1-poorValue) }

// PoorProbability returns the probability that an answer with this confidence is poor.
func PoorProbability(confidence float64) float64 {
	return 1 / (1 + math.Exp((confidence-evenConfidence)/confidenceScale))
}
