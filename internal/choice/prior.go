package choice

import "github.com/linnetrudder/linnetrudder/internal/config"

// Prior is what the operators expect, for a system that has learnt nothing.
type Prior struct{}

// Quality returns the operators' expectation as both mean and bound.
func (Prior) Quality(_, _ string, ve *config.Version) (mean, lower float64) {
	return ve.Quality, ve.Quality
}

// PassRate takes the expected rating for the rate of good answers.
func (Prior) PassRate(_, _ string, ve *config.Version) float64 { return ve.Quality }

// Tokens returns a common shape of request.
func (Prior) Tokens(string) (prompt, completion float64) { return 500, 200 }
