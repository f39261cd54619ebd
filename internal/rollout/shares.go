package rollout

import (
	"maps"
	"slices"
)

const (
	// maxTrialShare limits the trial share of a route, since the new version may have only one or
	// two servers.
	maxTrialShare = 0.5
	// maxBurstShare limits the share of all requests that is tried in a burst, since the trial
	// servers have no prompts cached yet. With 17 % of the requests on 8 of 58 servers for three
	// seconds, a simulated day without disruptions scored 0.737 instead of 0.752.
	maxBurstShare = 0.08
	// trialsPerRoute is how many requests of each route are tried if there are enough. Of a version
	// that fails 30 % of its requests, about twelve fail then (docs/design/rollouts.md).
	trialsPerRoute = 40
	// AnyRoute is the key of the share for routes without one of their own.
	AnyRoute = ""
)

// Shares maps routes to the fraction of their requests that a version receives during the trial.
// All gateways use the shares that are stored with the phase.
type Shares map[string]float64

// Of returns the share of a route.
func (sh Shares) Of(route string) float64 {
	if share, ok := sh[route]; ok {
		return share
	}
	return sh[AnyRoute]
}

// burstTrials returns how many requests to try in the burst, given the total request rate per
// second: enough to give minTrialServers servers their future load, or none if the trial budget is
// too small.
func (pl Plan) burstTrials(total, budget float64) float64 {
	if pl.Servers <= minTrialServers {
		return 0
	}
	loading := trialLoadFactor * minTrialServers / float64(pl.Servers)
	wanted := loading * total * burstTime.Seconds()
	if loading > maxBurstShare || wanted > burstBudgetFraction*budget {
		return 0
	}
	return wanted
}

// Shares returns the trial share of each route and the additional share in the burst, given the
// request rate of each route on this gateway per second. A version may be bad on one route only, so
// each route gets about the same number of trials, up to its number of requests.
func (pl Plan) Shares(perSecond map[string]float64) (shares Shares, burst float64) {
	total := 0.0
	for _, rate := range perSecond {
		total += rate
	}
	within, trial := pl.Within.Seconds(), pl.trialTime().Seconds()
	if trial <= 0 || within <= 0 {
		return Shares{}, 0
	}
	afterShift := pl.minShiftLead().Seconds()
	budget := pl.share()*total*within + plannedExtraFraction*pl.MostExtra - total*afterShift
	if total <= 0 {
		// The load is unknown: use a share that is safe at any load.
		return Shares{AnyRoute: min(maxTrialShare, (pl.share()*within-afterShift)/trial)}, 0
	}
	inBurst := pl.burstTrials(total, budget)
	burst = inBurst / (total * burstTime.Seconds())
	budget = min(budget-inBurst, trialsPerRoute*float64(len(perSecond)))
	shares = Shares{AnyRoute: min(maxTrialShare, budget/(total*trial))}
	routes := slices.SortedFunc(maps.Keys(perSecond), func(a, b string) int {
		if perSecond[a] < perSecond[b] {
			return -1
		}
		return 1
	})
	for i, route := range routes {
		requests := perSecond[route] * trial
		if requests <= 0 {
			continue
		}
		tried := min(budget/float64(len(routes)-i), maxTrialShare*requests)
		shares[route] = tried / requests
		budget -= tried
	}
	return shares, burst
}
