package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// New reports whether a session's request goes to the new version. Every
// gateway computes the same from the stored phase. Sessions from before the
// order keep the old version, so that none moves in the first gap of a session;
// one that this process has seen keeps what it had.
func (ca *Canary) New(session string, now time.Time) bool {
	switch ca.Phase() {
	case Trying:
		if was, ok := ca.kept(session, now); ok {
			return was
		}
		isNew := now.Sub(ca.Began) >= ca.Plan.SessionGap && place(ca.Plan.Version, session) < ca.Plan.tryingShare()
		ca.keep(session, isNew, now)
		return isNew
	case Shifting, Complete:
		return true
	}
	return false
}

// NewSingle reports whether a request that belongs to no session goes to the new
// version. draw is uniform over [0, 1).
func (ca *Canary) NewSingle(draw float64) bool {
	ca.singles = true
	if ca.Phase() == Trying {
		return draw < ca.Plan.singleShare()
	}
	return ca.Phase() != Failed
}

// seen is what a session had when it was last seen.
type seen struct {
	isNew bool
	at    time.Time
}

// kept returns what a session had, if it still goes on.
func (ca *Canary) kept(session string, now time.Time) (isNew, ok bool) {
	se, ok := ca.sessions[session]
	if !ok || now.Sub(se.at) > ca.Plan.SessionGap {
		return false, false
	}
	ca.keep(session, se.isNew, now)
	return se.isNew, true
}

// keep remembers a session, and forgets those that are over once in a while.
func (ca *Canary) keep(session string, isNew bool, now time.Time) {
	if ca.sessions == nil || now.Sub(ca.swept) > ca.Plan.SessionGap {
		for id, se := range ca.sessions {
			if now.Sub(se.at) > ca.Plan.SessionGap {
				delete(ca.sessions, id)
			}
		}
		ca.swept = now
	}
	if ca.sessions == nil {
		ca.sessions = map[string]seen{}
	}
	ca.sessions[session] = seen{isNew: isNew, at: now}
}

// place maps a session evenly to [0, 1).
func place(version, session string) float64 {
	return float64(xxhash.Sum64String(version+"\x00"+session)>>11) / (1 << 53)
}
