package poison

import (
	"maps"
	"slices"
	"time"
)

// remoteSuspectTTL is how long a part is suspected after the last report of another process that does.
// It spans several reports, since they may be late.
const remoteSuspectTTL = 300 * time.Millisecond

// remoteSuspect is a part that another process suspects.
type remoteSuspect struct {
	grade Grade
	until time.Time
}

// AddRemoteSuspects records the parts that another process suspects.
func (pd *PartDetector) AddRemoteSuspects(list []Suspect, now time.Time) {
	if pd.remote == nil {
		pd.remote = map[Part]remoteSuspect{}
	}
	maps.DeleteFunc(pd.remote, func(_ Part, rs remoteSuspect) bool { return !now.Before(rs.until) })
	for _, sp := range list[:min(len(list), MaxSuspects)] {
		pd.remote[sp.Part] = remoteSuspect{sp.Grade, now.Add(remoteSuspectTTL)}
	}
}

// AllSuspects returns the suspects of this process and those of others.
func (pd *PartDetector) AllSuspects(now time.Time) []Suspect {
	list := pd.Suspects(now)
	for pa, rs := range pd.remote {
		known := slices.ContainsFunc(list, func(sp Suspect) bool { return sp.Part == pa })
		if !known && now.Before(rs.until) {
			list = append(list, Suspect{pa, rs.grade})
		}
	}
	return list
}

// SuspectedParts returns the parts that this process or another one suspects.
func (pd *PartDetector) SuspectedParts(now time.Time) []Part {
	var parts []Part
	for _, sp := range pd.AllSuspects(now) {
		parts = append(parts, sp.Part)
	}
	return parts
}

// Hold returns what is done with a request while its parts are suspected.
func (pd *PartDetector) Hold(su Subject, now time.Time) Hold {
	suspects := slices.DeleteFunc(pd.AllSuspects(now), func(sp Suspect) bool {
		// Weak suspects of others were never cleared there. This process may know better.
		return sp.Grade == Weak && pd.IsCleared(sp.Part)
	})
	return HoldFor(su, suspects)
}
