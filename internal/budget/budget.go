// Package budget bounds retries to a part of the first attempts, so that
// retries cannot multiply the load of an outage.
package budget

import "time"

const (
	// perSecond is what a quiet process may retry all the same.
	perSecond = 2.0
	// burst bounds what is saved up.
	burst = 20.0
)

// Budget counts what may be retried. The zero value, with Ratio set, starts
// full. It is not safe for concurrent use.
type Budget struct {
	// Ratio is how many retries each first attempt allows.
	Ratio float64

	// spent is what is missing from a full budget, from 0 to burst.
	spent float64
	// seen is when spent was last reckoned.
	seen time.Time
}

// Deposit notes a first attempt.
func (bu *Budget) Deposit(now time.Time) {
	bu.refill(now)
	bu.spent = max(0, bu.spent-bu.Ratio)
}

// Take reports whether one retry is allowed and takes it.
func (bu *Budget) Take(now time.Time) bool {
	bu.refill(now)
	if bu.spent+1 > burst {
		return false
	}
	bu.spent++
	return true
}

func (bu *Budget) refill(now time.Time) {
	if !bu.seen.IsZero() && now.After(bu.seen) {
		bu.spent = max(0, bu.spent-perSecond*now.Sub(bu.seen).Seconds())
	}
	bu.seen = now
}

// Teams holds a budget for each team, so that the refusals of one team's burst
// leave the others their retries. It is not safe for concurrent use.
type Teams struct {
	// Ratio is how many retries each first attempt allows.
	Ratio float64

	byTeam map[string]*Budget
}

// For returns a team's budget.
func (te *Teams) For(team string) *Budget {
	if te.byTeam == nil {
		te.byTeam = map[string]*Budget{}
	}
	bu := te.byTeam[team]
	if bu == nil {
		bu = &Budget{Ratio: te.Ratio}
		te.byTeam[team] = bu
	}
	return bu
}
