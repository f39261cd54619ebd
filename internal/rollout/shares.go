package rollout

import (
	"maps"
	"slices"
)

const (
	// mostTrialShare is the most of a route's requests that are tried: the new version
	// may have as few as a server or two.
	mostTrialShare = 0.5
	// mostBurst is the most of all requests that are tried in a burst: its servers hold no
	// prompts yet, and with 17 in 100 requests on 8 of 58 servers for three seconds a quiet
	// day was worth 0.737 instead of 0.752.
	mostBurst = 0.08
	// wantedTrials is how many requests of each route are tried, where there are so
	// many: of a version that fails three requests in ten, some twelve fail then
	// (docs/design/rollouts.md).
	wantedTrials = 40
	// AnyRoute names the share of the routes that no share is named for.
	AnyRoute = ""
)

// Shares holds the part of the requests that a version gets while it is tried, by
// route. All gateways use those that are kept with the phase.
type Shares map[string]float64

// Of returns the share of a route.
func (sh Shares) Of(route string) float64 {
	if share, ok := sh[route]; ok {
		return share
	}
	return sh[AnyRoute]
}

// burst returns how many requests to try in the burst, given all that come in a second: as
// many as bring the fewest servers that a trial is gathered on to the load to come, none if
// the budget of the whole trial does not allow it.
func (pl Plan) burst(total, budget float64) float64 {
	if pl.Servers <= fewestTrialServers {
		return 0
	}
	loading := trialLoad * fewestTrialServers / float64(pl.Servers)
	wanted := loading * total * burstTime.Seconds()
	if loading > mostBurst || wanted > burstPart*budget {
		return 0
	}
	return wanted
}

// Shares returns what to try of each route, and what besides in the burst, given how many
// requests of each come to this gateway in a second. A version may be bad on one route
// only, so that each route gets about as many trials as every other one, as far as it has
// requests.
func (pl Plan) Shares(perSecond map[string]float64) (shares Shares, burst float64) {
	total := 0.0
	for _, rate := range perSecond {
		total += rate
	}
	within, trial := pl.Within.Seconds(), pl.trial().Seconds()
	if trial <= 0 || within <= 0 {
		return Shares{}, 0
	}
	afterShift := pl.leastTail().Seconds()
	budget := pl.share()*total*within + extraPart*pl.MostExtra - total*afterShift
	if total <= 0 {
		// Nothing is known of the load: what holds for any.
		return Shares{AnyRoute: min(mostTrialShare, (pl.share()*within-afterShift)/trial)}, 0
	}
	inBurst := pl.burst(total, budget)
	burst = inBurst / (total * burstTime.Seconds())
	budget = min(budget-inBurst, wantedTrials*float64(len(perSecond)))
	shares = Shares{AnyRoute: min(mostTrialShare, budget/(total*trial))}
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
		tried := min(budget/float64(len(routes)-i), mostTrialShare*requests)
		shares[route] = tried / requests
		budget -= tried
	}
	return shares, burst
}
