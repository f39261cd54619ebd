// Package cascade decides which of several models, ordered from the smallest to
// the largest, is asked first, and whether its answer is kept or a larger one is
// asked instead. It does no I/O and reads no clock.
package cascade

const (
	// keepCalm is the confidence, from 0 to 100, from which a smaller model's
	// answer is kept while the pool has room. Measured (docs/experiments): of the
	// answers between 50 and 58 a third are poor, above 60 hardly any.
	keepCalm = 55
	// calmPressure is the pressure up to which the pool counts as having room.
	calmPressure = 0.4
	// fullPressure is the pressure at which only answers with hardly any
	// confidence are asked for again.
	fullPressure = 1.0
	// keepFull is the confidence from which answers are kept at full pressure.
	keepFull = 10
	// nearBand is how far below that confidence the next larger model is most
	// likely good enough, at half the cost of the largest.
	nearBand = 16
	// priorityPressure is how much more the pressure counts for each rank of a
	// less urgent request, so that the most urgent keep the largest model longest.
	priorityPressure = 0.25
)

// State is what a decision depends on besides the answer.
type State struct {
	// Models is how many models may answer.
	Models int
	// Pressure is the time that the heads of the smallest and the largest model's
	// answers usually take now, one after the other, over the time in which
	// answers are to come. Both count: the larger model's are served first.
	Pressure float64
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// First returns the place of the model that is asked first. Which requests are
// hard can't be told beforehand: on the users' sites the small model's confidence
// depends on nothing that a request shows.
func (State) First() int { return 0 }

// Next returns the place of the model to ask instead of keeping an answer, or
// false if the answer is kept. confidence is the model's own rating of the
// answer, below zero if it gave none.
func (st State) Next(place, confidence int) (int, bool) {
	if place >= st.Models-1 || confidence < 0 || float64(confidence) >= st.keep() {
		return place, false
	}
	if place == 0 && st.Models > 2 && float64(confidence) >= st.keep()-nearBand {
		return 1, true
	}
	return st.Models - 1, true
}

// keep returns the confidence from which an answer is kept.
func (st State) keep() float64 {
	pressure := st.Pressure * (1 + priorityPressure*float64(st.Priority))
	part := (pressure - calmPressure) / (fullPressure - calmPressure)
	part = min(1, max(0, part))
	return keepCalm + part*(keepFull-keepCalm)
}
