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
	// leastShared and mostShared bound how many of a team's own ratings those
	// of all teams are worth. Between them the teams' agreement decides.
	leastShared = 10
	mostShared  = 400
	// z is how many standard errors the lower bound is below the mean. A
	// version that is a little short is soon found out by its own ratings, so
	// more caution costs more than it saves (docs/design/versions.md).
	z = 1.0
	// maxN bounds the memory of a cell: beyond it the old counts half, so that
	// a change shows.
	maxN = 4000
	// minVariance keeps an estimate of few, equal ratings from looking sure.
	minVariance = 0.01
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

// pool is what all teams know of a kind and version.
type pool struct {
	count Count
	// teams holds the cells that the count is the sum of.
	teams []Cell
	// shared is how many own ratings the pool is worth to a team; it is
	// reckoned anew when stale.
	shared float64
	stale  bool
}

// Table holds the counts of all cells. The zero value is empty and ready. It
// is not safe for concurrent use.
type Table struct {
	cells map[Cell]Count
	// pools sums the cells of all teams; the team of its keys is empty.
	pools map[Cell]*pool
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
		ta.pools = map[Cell]*pool{}
	}
	key := Cell{Kind: ce.Kind, Version: ce.Version}
	po := ta.pools[key]
	if po == nil {
		po = &pool{}
		ta.pools[key] = po
	}
	have, ok := ta.cells[ce]
	if !ok {
		po.teams = append(po.teams, ce)
	}
	have.Merge(co)
	ta.cells[ce] = have
	po.count.Merge(co)
	po.stale = true
}

// VersionTotal returns the count of all teams and kinds for a version.
func (ta *Table) VersionTotal(version string) Count {
	var all Count
	for ce, co := range ta.cells {
		if ce.Version == version {
			all.N += co.N
			all.Sum += co.Sum
			all.Low += co.Low
		}
	}
	return all
}

// Quality returns the expected rating and a bound that the true one is above
// five times in six. A team's own ratings count fully. Those of all teams count for
// as much as the teams agree: where one differs, it soon goes by its own.
func (ta *Table) Quality(team, kind string, ve *config.Version) (mean, lower float64) {
	po := ta.pools[Cell{Kind: kind, Version: ve.ID()}]
	if po == nil {
		return ve.Quality, 0
	}
	poolMean := (po.count.Sum + priorN*ve.Quality) / (po.count.N + priorN)
	shared := min(ta.shared(po), po.count.N)
	own := ta.cells[Cell{Team: team, Kind: kind, Version: ve.ID()}]
	weight := own.N + shared
	mean = (own.Sum + shared*poolMean) / max(1, weight)
	if weight < 1 {
		return ve.Quality, 0
	}
	// Ratings lie in [0, 1], so their variance is at most mean * (1 - mean).
	spread := math.Sqrt(max(minVariance, mean*(1-mean)) / weight)
	return mean, max(0, mean-z*spread)
}

// FirstAttemptKind is the kind under which it is counted how many first tries of a kind
// were kept.
func FirstAttemptKind(kind string) string { return kind + "/tries" }

// AddFirstAttempt notes whether a first try was kept.
func (ta *Table) AddFirstAttempt(team, kind, version string, kept bool) {
	score := 0.0
	if kept {
		score = 1
	}
	ta.Add(Cell{Team: team, Kind: FirstAttemptKind(kind), Version: version}, score)
}

// PassRate returns how often a first try is kept.
func (ta *Table) PassRate(team, kind string, ve *config.Version) float64 {
	mean, _ := ta.Quality(team, FirstAttemptKind(kind), ve)
	return mean
}

// shared returns how many own ratings a pool is worth. It compares the spread
// of the teams' means with what chance alone makes, by the moment estimator of
// DerSimonian and Laird for the variance between groups.
func (ta *Table) shared(po *pool) float64 {
	if !po.stale {
		return po.shared
	}
	po.stale = false
	po.shared = mostShared
	mean := po.count.Sum / po.count.N
	variance := max(minVariance, mean*(1-mean))
	spread, n, squares := 0.0, 0.0, 0.0
	for _, ce := range po.teams {
		co := ta.cells[ce]
		if co.N > 0 {
			spread += co.N * (co.Sum/co.N - mean) * (co.Sum/co.N - mean) / variance
			n += co.N
			squares += co.N * co.N
		}
	}
	excess := spread - float64(len(po.teams)-1)
	if room := n - squares/max(1, n); excess > 0 && room > 0 {
		po.shared = min(mostShared, max(leastShared, room/excess))
	}
	return po.shared
}
