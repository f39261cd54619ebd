// Package quality learns from ratings how good each version is for each kind
// of request and each team. Counts are sums, so that many small sites can put
// theirs together in any order. It does no I/O and reads no clock.
package quality

import (
	"math"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// Cell names what a count is of.
type Cell struct {
	Team    string `cbor:"1,keyasint" json:"team"`
	Kind    string `cbor:"2,keyasint,omitempty" json:"kind,omitempty"`
	Version string `cbor:"3,keyasint" json:"version"`
}

// Count is a sum of ratings from 0 to 1.
type Count struct {
	N   float64 `cbor:"1,keyasint" json:"n"`
	Sum float64 `cbor:"2,keyasint" json:"sum"`
	// Low counts the ratings below LowScore.
	Low float64 `cbor:"3,keyasint,omitempty" json:"low,omitempty"`
}

// LowScore is the rating below which an answer counts as bad.
const LowScore = 0.5

const (
	// priorN is how many ratings the operators' expectation is worth.
	priorN = 4
	// poolN is how many ratings of a team the ratings of all teams are worth.
	// It is small, so that a team's own experience soon counts for more.
	poolN = 12
	// z is how many standard errors the lower bound is below the mean.
	z = 1.64
	// maxN bounds the memory of a cell: beyond it the old counts half, so that
	// a change shows.
	maxN = 4000
)

// Add adds one rating.
func (co *Count) Add(score float64) {
	co.N++
	co.Sum += score
	if score < LowScore {
		co.Low++
	}
}

// Merge adds another count.
func (co *Count) Merge(ot Count) {
	co.N += ot.N
	co.Sum += ot.Sum
	co.Low += ot.Low
	if co.N > maxN {
		co.N /= 2
		co.Sum /= 2
		co.Low /= 2
	}
}

// Table holds the counts of all cells. The zero value is empty and ready. It
// is not safe for concurrent use.
type Table struct {
	cells map[Cell]Count
	// pooled sums the cells of all teams; the team of its keys is empty. Each
	// team's part is bounded, so that a large team hides no small one's
	// failures.
	pooled map[Cell]Count
}

// Add adds one rating.
func (ta *Table) Add(ce Cell, score float64) {
	var co Count
	co.Add(score)
	ta.Merge(ce, co)
}

// Merge adds a count.
func (ta *Table) Merge(ce Cell, co Count) {
	if ta.cells == nil {
		ta.cells = map[Cell]Count{}
		ta.pooled = map[Cell]Count{}
	}
	have := ta.cells[ce]
	have.Merge(co)
	ta.cells[ce] = have
	pool := Cell{Kind: ce.Kind, Version: ce.Version}
	all := ta.pooled[pool]
	all.Merge(co)
	ta.pooled[pool] = all
}

// Cells returns the table's counts; the map must not be changed.
func (ta *Table) Cells() map[Cell]Count { return ta.cells }

// Pooled returns the count of all teams for a kind and version.
func (ta *Table) Pooled(kind, version string) Count {
	return ta.pooled[Cell{Kind: kind, Version: version}]
}

// OfVersion returns the count of all teams and kinds for a version.
func (ta *Table) OfVersion(version string) Count {
	var all Count
	for ce, co := range ta.pooled {
		if ce.Version == version {
			all.Merge(co)
		}
	}
	return all
}

// Quality returns the expected rating and a bound that it is above with high
// confidence. A team's own ratings count fully, those of all teams as much as
// a few of its own, and the operators' expectation as much as a few of those.
func (ta *Table) Quality(team, kind string, ve *config.Version) (mean, lower float64) {
	pool := ta.pooled[Cell{Kind: kind, Version: ve.ID()}]
	poolMean := (pool.Sum + priorN*ve.Quality) / (pool.N + priorN)
	own := ta.cells[Cell{Team: team, Kind: kind, Version: ve.ID()}]
	mean = (own.Sum + poolN*poolMean) / (own.N + poolN)
	// The pool's weight grows with its own certainty, up to poolN.
	weight := own.N + poolN*pool.N/(pool.N+poolN)
	if weight < 1 {
		return mean, 0
	}
	// Ratings lie in [0, 1], so their variance is at most mean * (1 - mean).
	spread := math.Sqrt(max(0, mean*(1-mean)) / weight)
	return mean, max(0, mean-z*spread)
}

// PassRate returns how often an answer was good enough, as far as is known.
func (ta *Table) PassRate(team, kind string, ve *config.Version) float64 {
	own := ta.cells[Cell{Team: team, Kind: kind, Version: ve.ID()}]
	pool := ta.pooled[Cell{Kind: kind, Version: ve.ID()}]
	poolPass := (pool.N - pool.Low + priorN*ve.Quality) / (pool.N + priorN)
	return (own.N - own.Low + poolN*poolPass) / (own.N + poolN)
}
