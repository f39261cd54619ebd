package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SelectsSession reports whether a session's request on a route goes to the new version. All
// gateways compute the same result from the stored phase, also after a restart.
func (ca *Canary) SelectsSession(session, route string, now time.Time) bool {
	return ca.SelectsRequest(route, unitHash(ca.Plan.Version, session), now)
}

// SelectsRequest reports whether a request on a route that belongs to no session goes to the new
// version. draw is uniform over [0, 1).
func (ca *Canary) SelectsRequest(route string, draw float64, now time.Time) bool {
	switch ca.Phase() {
	case Trying:
		return draw < ca.shareOf(route, now)
	case Shifting, Complete:
		return true
	}
	return false
}

// RetriesOnNew reports whether a request is retried on the new version, given whether its first
// attempt was. During the trial, requests that started on another version stay off the new one. A
// partially delivered response with only one attempt left is continued on the old version, because
// the stream could not be continued if the version on trial broke it again. Requests of which
// nothing was delivered stay on the new version, so that a failed request does not change the
// version of its session.
func (ca *Canary) RetriesOnNew(onNew, lastAttempt bool) bool {
	switch ca.Phase() {
	case Trying:
		return onNew && !lastAttempt
	case Shifting, Complete:
		return true
	}
	return false
}

const (
	// minTrialServers is the minimum number of servers for a concentrated trial, so that servers
	// that fail on their own are not attributed to the version. With three servers, two of four
	// simulated days with good versions and failing servers ended in a false alarm.
	minTrialServers = 8
	// trialLoadFactor is the ratio of the load on the trial servers to the future load, where
	// enough requests may be tried. Peaks exceed the mean, and a version that is bad only under
	// load must fail before the shift.
	trialLoadFactor = 1.25
)

// TrialServers returns on how many of the version's servers the trial runs, 0 for all of them. It
// returns 0 if too few requests may be tried to give some servers their future load. The trial
// share of the requests on the same share of the servers produces that load; on all servers it
// would produce a few percent of it.
func (ca *Canary) TrialServers(servers int) int {
	if ca.Phase() != Trying || !ca.concentrated() {
		return 0
	}
	return max(minTrialServers, int((ca.exposure.trialShare()+ca.burst)*float64(servers)/trialLoadFactor))
}

// concentrated reports whether the trial runs on a subset of the servers.
func (ca *Canary) concentrated() bool { return ca.burst > 0 }

// inBurst reports whether the burst of the trial has started.
func (ca *Canary) inBurst(now time.Time) bool { return now.Sub(ca.OrderedAt) >= ca.Plan.burstStart() }

// shareOf returns the present trial share of a route. It never decreases, so that no session
// returns to the old version.
func (ca *Canary) shareOf(route string, now time.Time) float64 {
	share := ca.shares.Of(route)
	if ca.inBurst(now) {
		share = min(maxTrialShare, share+ca.burst)
	}
	return share
}

// unitHash maps a session evenly to [0, 1).
func unitHash(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}
