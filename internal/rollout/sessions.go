package rollout

import "github.com/cespare/xxhash/v2"

// New reports whether a session's request on a route goes to the new version. Every
// gateway computes the same from the stored phase, and a process that starts anew does.
func (ca *Canary) New(session, route string) bool {
	return ca.NewSingle(route, place(ca.Plan.Version, session))
}

// NewSingle reports whether a request on a route that belongs to no session goes to the
// new version. draw is uniform over [0, 1).
func (ca *Canary) NewSingle(route string, draw float64) bool {
	switch ca.Phase() {
	case Trying:
		return draw < ca.shares.Of(route)
	case Shifting, Complete:
		return true
	}
	return false
}

// Continues reports whether a request whose first attempt went to a server of the new
// version, or of another one, is sent to the new version again. What began elsewhere is no
// subject for a trial, and an answer of which the caller has a part ends on what is proved
// if only one run is left: a stream that a version on trial broke off could not go on any
// more. Requests that were not delivered yet stay, so that no session changes its version
// because one of its requests failed.
func (ca *Canary) Continues(onNew, lastChance bool) bool {
	switch ca.Phase() {
	case Trying:
		return onNew && !lastChance
	case Shifting, Complete:
		return true
	}
	return false
}

// place maps a session evenly to [0, 1).
func place(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}
