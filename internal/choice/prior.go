package choice

import "github.com/linnetrudder/linnetrudder/internal/config"

// Prior provides estimates from the operators' configuration, for use before there are ratings.
type Prior struct{}

// Quality returns the configured quality as both the mean and the lower bound.
func (Prior) Quality(_, _ string, ve *config.Version) (mean, lower float64) {
	return ve.Quality, ve.Quality
}

// PassRate returns the configured quality as the rate of good answers.
func (Prior) PassRate(_, _ string, ve *config.Version) float64 { return ve.Quality }

// Tokens returns the token counts of a typical request.
func (Prior) Tokens(string) (prompt, completion float64) { return 500, 200 }
