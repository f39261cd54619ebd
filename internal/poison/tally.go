package poison

import (
	"maps"
	"slices"
	"time"
)

// tally sums up the evidence against a part.
type tally struct {
	part Part
	// crashes is the number of servers that crashed, groups that of the times at which they did, the last
	// of which is grouped.
	crashes, groups int
	grouped         time.Time
	// teams holds the number of these crashes by team, requests the different requests.
	teams    map[string]*teamTally
	requests map[Fingerprint]bool
	// asked is when other processes were asked for clears of a part that was never cleared, askedAgain when
	// they were for those since the crashes. known is when the last of the crashes became known to this
	// process.
	asked, askedAgain, known time.Time
	// cleared is set if servers survived responses with the part before these crashes.
	cleared bool
}

// teamTally counts the crashes under the requests of one team, of which last is the last one.
type teamTally struct {
	crashes int
	last    *serverCrash
}

// add counts a suspect of a crash. Crashes are counted in their order.
func (ta *tally) add(cr *serverCrash, cs *crashSuspect, isNewCrash bool) {
	ta.requests[cs.Fingerprint] = true
	te := ta.teams[cs.Team]
	if te == nil {
		te = &teamTally{}
		ta.teams[cs.Team] = te
		if len(ta.teams) <= 2 {
			ta.asked = cr.recorded
		}
	}
	if te.last != cr {
		te.last = cr
		te.crashes++
	}
	if !isNewCrash {
		return
	}
	if ta.crashes == 0 || cr.at.Sub(ta.grouped) >= crashInterval {
		ta.groups++
		ta.grouped = cr.at
	}
	if cr.recorded.After(ta.known) {
		ta.known = cr.recorded
	}
	ta.crashes++
	if ta.crashes == minAskedCrashes {
		ta.askedAgain = cr.recorded
	}
}

// suffices reports whether the evidence is enough to convict the part if no clear contradicts it.
func (ta *tally) suffices() bool {
	if ta.crashes < minPartCrashes || ta.groups < minPartGroups || len(ta.requests) < minPartRequests {
		return false
	}
	if !ta.part.AllTeams {
		return true
	}
	most := 0
	for _, te := range ta.teams {
		most = max(most, te.crashes)
	}
	return ta.crashes-most >= minOtherTeamCrashes
}

// isSettled reports whether clears that contradict the evidence would be known by now.
func (ta *tally) isSettled(now time.Time) bool {
	if ta.cleared {
		return now.Sub(ta.askedAgain) >= confirmTime
	}
	return now.Sub(ta.asked) >= askTime
}

// weight is the weight of the evidence. A part that was cleared before counts half.
func (ta *tally) weight() int {
	if ta.cleared {
		return ta.crashes
	}
	return 2 * ta.crashes
}

func (ta *tally) verdict(duration time.Duration) Verdict {
	return Verdict{Part: ta.part, Crashes: ta.crashes, Requests: len(ta.requests), Duration: duration}
}

// evidence returns the tallies of all parts, without the crashes that a convicted part explains.
func (pd *PartDetector) evidence() map[Part]*tally {
	if pd.tallies != nil {
		return pd.tallies
	}
	pd.tallies = map[Part]*tally{}
	list := slices.SortedFunc(maps.Values(pd.crashes), func(a, b *serverCrash) int { return a.at.Compare(b.at) })
	for _, cr := range list {
		pd.count(cr)
	}
	return pd.tallies
}

// count adds a crash to the tallies of the parts that may have caused it.
func (pd *PartDetector) count(cr *serverCrash) {
	culprits := pd.culprits(cr)
	counted := map[Part]bool{}
	for i := range cr.suspects {
		cs := &cr.suspects[i]
		for _, id := range cs.Parts {
			pa := cs.part(id)
			if !mayHaveCaused(culprits, pa) {
				continue
			}
			for _, key := range [...]Part{pa, pa.forAllTeams()} {
				if !pd.isCleared(key, cs.began) {
					ta := pd.tally(key)
					ta.add(cr, cs, !counted[key])
					ta.cleared = pd.IsCleared(key)
					counted[key] = true
				}
			}
		}
	}
}

// tally returns the tally of a part.
func (pd *PartDetector) tally(pa Part) *tally {
	ta := pd.tallies[pa]
	if ta == nil {
		ta = &tally{part: pa, requests: map[Fingerprint]bool{}, teams: map[string]*teamTally{}}
		pd.tallies[pa] = ta
	}
	return ta
}

// culprits returns the convicted parts under which a server crashed.
func (pd *PartDetector) culprits(cr *serverCrash) []Part {
	var list []Part
	for pa := range pd.convicted {
		if cr.hasSuspect(pa) {
			list = append(list, pa)
		}
	}
	return list
}

// hasSuspect reports whether a request with a part is suspected of the crash.
func (cr *serverCrash) hasSuspect(pa Part) bool {
	return slices.ContainsFunc(cr.suspects, func(cs crashSuspect) bool { return cs.Has(pa) })
}

// mayHaveCaused reports whether a crash with the given culprits counts against a part. It counts
// against the culprits themselves, so that their evidence does not vanish.
func mayHaveCaused(culprits []Part, pa Part) bool {
	return len(culprits) == 0 || slices.ContainsFunc(culprits, func(cu Part) bool { return cu.Service == pa.Service && cu.ID == pa.ID })
}
