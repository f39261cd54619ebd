// Package budget limits retries to a fraction of the first attempts, so that retries can't multiply
// the load during an outage.
package budget

import "time"

const (
	// minRetriesPerSecond is the number of retries per second that are allowed without any first
	// attempts.
	minRetriesPerSecond = 2.0
	// burst bounds the retries that accumulate while none are made.
	burst = 20.0
)

// Budget is a token bucket of retries. With Ratio set, the zero value is full. It is not safe for
// concurrent use.
type Budget struct {
	// Ratio is the number of retries that each first attempt allows.
	Ratio float64

	// spent is the number of tokens missing from a full budget, from 0 to burst.
	spent float64
	// updated is when spent was last computed.
	updated time.Time
}

// Deposit records a first attempt, which adds Ratio tokens.
func (bu *Budget) Deposit(now time.Time) {
	bu.refill(now)
	bu.spent = max(0, bu.spent-bu.Ratio)
}

// Take reports whether a retry is allowed and, if so, spends a token on it.
func (bu *Budget) Take(now time.Time) bool {
	bu.refill(now)
	if bu.spent+1 > burst {
		return false
	}
	bu.spent++
	return true
}

func (bu *Budget) refill(now time.Time) {
	if !bu.updated.IsZero() && now.After(bu.updated) {
		bu.spent = max(0, bu.spent-minRetriesPerSecond*now.Sub(bu.updated).Seconds())
	}
	bu.updated = now
}

// Teams holds a budget for each team, so that a burst of one team that is refused does not use up
// the retries of the others. It is not safe for concurrent use.
type Teams struct {
	// Ratio is the number of retries that each first attempt allows.
	Ratio float64

	byTeam map[string]*Budget
}

// For returns the budget of a team.
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
