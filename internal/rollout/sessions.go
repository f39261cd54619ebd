package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SelectsSession reports whether a session's request on a route goes to the new version. Every
// gateway computes the same from the stored phase, and a process that starts anew does.
func (ca *Canary) SelectsSession(session, route string, now time.Time) bool {
	return ca.SelectsRequest(route, place(ca.Plan.Version, session), now)
}

// SelectsRequest reports whether a request on a route that belongs to no session goes to the
// new version. draw is uniform over [0, 1).
func (ca *Canary) SelectsRequest(route string, draw float64, now time.Time) bool {
	switch ca.Phase() {
	case Trying:
		return draw < ca.shareOf(route, now)
	case Shifting, Complete:
		return true
	}
	return false
}

// RetriesOnNew reports whether a request whose first attempt went to a server of the new
// version, or of another one, is sent to the new version again. What began elsewhere is no
// subject for a trial, and an answer of which the caller has a part ends on what is proved
// if only one run is left: a stream that a version on trial broke off could not go on any
// more. Requests that were not delivered yet stay, so that no session changes its version
// because one of its requests failed.
func (ca *Canary) RetriesOnNew(onNew, lastChance bool) bool {
	switch ca.Phase() {
	case Trying:
		return onNew && !lastChance
	case Shifting, Complete:
		return true
	}
	return false
}

const (
	// fewestTrialServers is the least number of servers that a trial is gathered on: those that
	// fail by themselves must not stand for the version. With three, two of four days with
	// good versions and failing servers ended in a false alarm.
	fewestTrialServers = 8
	// trialLoad is how many times the load to come the servers on trial get, where there
	// are enough requests to try: peaks are above the mean, and a version that is bad only
	// under load must show it before everything has moved.
	trialLoad = 1.25
)

// TrialServers returns on how many of so many servers the version is tried, 0 for all of them:
// that is so where too few requests may be tried to bring some servers to the load to come.
// The trial's share on as large a part of the servers is that load; on all of them it is some
// hundredths of it.
func (ca *Canary) TrialServers(servers int) int {
	if ca.Phase() != Trying || !ca.concentrated() {
		return 0
	}
	return max(fewestTrialServers, int((ca.sent.trialShare()+ca.burst)*float64(servers)/trialLoad))
}

// concentrated reports whether the trial is made on few of the servers.
func (ca *Canary) concentrated() bool { return ca.burst > 0 }

// inBurst reports whether the burst of the trial has begun.
func (ca *Canary) inBurst(now time.Time) bool { return now.Sub(ca.OrderedAt) >= ca.Plan.burstAfter() }

// shareOf returns the part of a route's requests that the version gets now while it is
// tried. The share only grows, so that no session goes back.
func (ca *Canary) shareOf(route string, now time.Time) float64 {
	share := ca.shares.Of(route)
	if ca.inBurst(now) {
		share = min(mostTrialShare, share+ca.burst)
	}
	return share
}

// place maps a session evenly to [0, 1).
func place(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}
