// Package cascade decides which of several models, ordered from the smallest to
// the largest, is asked first, and whether its answer is kept or a larger one is
// asked instead. It does no I/O and reads no clock.
package cascade

// defaultKeep is the confidence, from 0 to 100, from which a smaller model's
// answer is kept. Trials on the users' sites: 50 was worth 0.83, 70 was worth
// 0.82, 85 was worth 0.77 (docs/design/platform.md).
const defaultKeep = 55

// Policy holds what decides. The zero value uses the defaults.
type Policy struct {
	// Keep is the confidence from which an answer is kept; zero for the default.
	Keep int
}

// First returns the place of the model that is asked first.
func (Policy) First(int) int { return 0 }

// Next returns the place of the model to ask instead of keeping an answer, or
// false if the answer is kept. confidence is the model's own rating of the
// answer, below zero if it gave none.
func (po Policy) Next(models, place, confidence int) (int, bool) {
	keep := po.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	if place >= models-1 || confidence < 0 || confidence >= keep {
		return place, false
	}
	return models - 1, true
}
