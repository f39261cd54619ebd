// Package quality estimates from ratings how good each version is for each kind of request and each
// team. Counts are sums, so that the counts of many sites can be merged in any order. It does no
// I/O and reads no clock.
package quality

import (
	"math"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// Cell identifies a count by team, kind of request and version.
type Cell struct {
	Team    string `cbor:"1,keyasint" json:"team"`
	Kind    string `cbor:"2,keyasint,omitempty" json:"kind,omitempty"`
	Version string `cbor:"3,keyasint" json:"version"`
}

// Count aggregates ratings from 0 to 1.
type Count struct {
	N   float64 `cbor:"1,keyasint" json:"n"`
	Sum float64 `cbor:"2,keyasint" json:"sum"`
	// Low counts the ratings below LowScore.
	Low float64 `cbor:"3,keyasint,omitempty" json:"low,omitempty"`
}

// LowScore is the rating below which a response counts as bad.
const LowScore = 0.5

const (
	// priorWeight is the weight of the operators' expected rating in numbers of ratings.
	priorWeight = 4
	// minSharedWeight and maxSharedWeight bound the weight of the ratings of all teams in numbers
	// of a team's own ratings. Between the bounds the weight depends on how much the teams agree.
	minSharedWeight = 10
	maxSharedWeight = 400
	// lowerBoundErrors is the distance of the lower bound from the mean in standard errors. A
	// version that is slightly below the requirement is soon detected by its own ratings, so that a
	// more cautious bound costs more than it saves (docs/design/versions.md).
	lowerBoundErrors = 1.0
	// maxCount bounds the number of ratings in a cell. Above it the count is halved, so that recent
	// ratings have enough weight to show a change.
	maxCount = 4000
	// minVariance prevents a standard error that is too small if there are few, equal ratings.
	minVariance = 0.01
)

// Add adds a rating.
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
	if co.N > maxCount {
		co.N /= 2
		co.Sum /= 2
		co.Low /= 2
	}
}

// pool aggregates the counts of all teams for a kind and version.
type pool struct {
	count Count
	// teams holds the cells that the count sums up.
	teams []Cell
	// sharedWeight is the weight of the pool in numbers of a team's own ratings. It is recomputed
	// if stale.
	sharedWeight float64
	stale        bool
}

// Table holds the counts of all cells. The zero value is empty. It is not safe for concurrent use.
type Table struct {
	cells map[Cell]Count
	// pools aggregates the cells of all teams; the team of its keys is empty.
	pools map[Cell]*pool
}

// Add adds a rating.
func (ta *Table) Add(ce Cell, score float64) {
	var co Count
	co.Add(score)
	ta.Merge(ce, co)
}

// Merge adds a count to a cell.
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
	merged, ok := ta.cells[ce]
	if !ok {
		po.teams = append(po.teams, ce)
	}
	merged.Merge(co)
	ta.cells[ce] = merged
	po.count.Merge(co)
	po.stale = true
}

// VersionTotal returns the sum of the counts of a version for all teams and kinds.
func (ta *Table) VersionTotal(version string) Count {
	var total Count
	for ce, co := range ta.cells {
		if ce.Version == version {
			total.N += co.N
			total.Sum += co.Sum
			total.Low += co.Low
		}
	}
	return total
}

// Quality returns the expected rating and a lower bound that the true rating exceeds with a
// probability of 5/6. A team's own ratings have full weight. The weight of the ratings of all teams
// depends on how much the teams agree, so that the estimate for a team that differs soon follows
// its own ratings.
func (ta *Table) Quality(team, kind string, ve *config.Version) (mean, lower float64) {
	po := ta.pools[Cell{Kind: kind, Version: ve.ID()}]
	if po == nil {
		return ve.Quality, 0
	}
	poolMean := (po.count.Sum + priorWeight*ve.Quality) / (po.count.N + priorWeight)
	shared := min(ta.sharedWeight(po), po.count.N)
	own := ta.cells[Cell{Team: team, Kind: kind, Version: ve.ID()}]
	weight := own.N + shared
	mean = (own.Sum + shared*poolMean) / max(1, weight)
	if weight < 1 {
		return ve.Quality, 0
	}
	// Ratings lie in [0, 1], so their variance is at most mean * (1 - mean).
	standardError := math.Sqrt(max(minVariance, mean*(1-mean)) / weight)
	return mean, max(0, mean-lowerBoundErrors*standardError)
}

// FirstAttemptKind returns the kind under which the acceptance of first attempts of a kind is
// counted.
func FirstAttemptKind(kind string) string { return kind + "/tries" }

// AddFirstAttempt records whether the response to a first attempt was accepted.
func (ta *Table) AddFirstAttempt(team, kind, version string, accepted bool) {
	score := 0.0
	if accepted {
		score = 1
	}
	ta.Add(Cell{Team: team, Kind: FirstAttemptKind(kind), Version: version}, score)
}

// PassRate returns how often the response to a first attempt is accepted.
func (ta *Table) PassRate(team, kind string, ve *config.Version) float64 {
	mean, _ := ta.Quality(team, FirstAttemptKind(kind), ve)
	return mean
}

// sharedWeight returns the weight of a pool in numbers of a team's own ratings. It compares the
// variance of the teams' means with that expected by chance, by the DerSimonian-Laird moment
// estimator of the variance between groups.
func (ta *Table) sharedWeight(po *pool) float64 {
	if !po.stale {
		return po.sharedWeight
	}
	po.stale = false
	po.sharedWeight = maxSharedWeight
	mean := po.count.Sum / po.count.N
	variance := max(minVariance, mean*(1-mean))
	cochranQ, n, squares := 0.0, 0.0, 0.0
	for _, ce := range po.teams {
		co := ta.cells[ce]
		if co.N > 0 {
			cochranQ += co.N * (co.Sum/co.N - mean) * (co.Sum/co.N - mean) / variance
			n += co.N
			squares += co.N * co.N
		}
	}
	excess := cochranQ - float64(len(po.teams)-1)
	if scale := n - squares/max(1, n); excess > 0 && scale > 0 {
		po.sharedWeight = min(maxSharedWeight, max(minSharedWeight, scale/excess))
	}
	return po.sharedWeight
}
