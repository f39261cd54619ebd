package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectHold is how long after a crash requests with its suspected parts are held back.
	suspectHold = 600 * time.Millisecond
	// leadCrashes is the number of crashes, and leadMargin that of crashes more than under all others, from
	// which on a part that was cleared before is suspected alone. Common parts are on most servers.
	leadCrashes = 4
	leadMargin  = 2
	// minAskedCrashes is the number of crashes from which on other processes are asked for later clears of a
	// part that was cleared before.
	minAskedCrashes = 2
	// MaxSuspects bounds the suspected parts in a message.
	MaxSuspects = 64
)

// Grade is how strongly a part is suspected of recent crashes.
type Grade string

// The grades.
const (
	// Weak suspects were never cleared and were on too few crashed servers to be convicted.
	Weak Grade = "weak"
	// Strong suspects were never cleared. Their conviction waits for clears by other processes.
	Strong Grade = "strong"
	// Asked parts were cleared before the crashes, and were on too few crashed servers to be convicted.
	// Other processes report later clears. Requests with two of them are held back; those with one are
	// sent, since they show which of the parts is harmless.
	Asked Grade = "asked"
	// Joint suspects were cleared before the crashes, and were on enough crashed servers to be convicted.
	Joint Grade = "joint"
	// Lead is the grade of a joint suspect that was on more crashed servers than all others.
	Lead Grade = "lead"
)

// Suspect is a part that may have caused a crash a moment ago. Its fields are exported because the codec
// needs them.
type Suspect struct {
	Part  Part  `cbor:"1,keyasint"`
	Grade Grade `cbor:"2,keyasint"`
}

// Hold is what is done with a request that has suspected parts.
type Hold string

// The holds.
const (
	// NoHold means that the request is sent.
	NoHold Hold = ""
	// HoldBriefly means that the request waits and is sent then.
	HoldBriefly Hold = "briefly"
	// HoldUntilDecided means that the request is not sent before the case is decided.
	HoldUntilDecided Hold = "until decided"
)

// HoldFor returns what is done with a request while the given parts are suspected.
func HoldFor(su Subject, suspects []Suspect) Hold {
	hold := NoHold
	asked, joint := map[string]bool{}, map[string]bool{}
	for _, sp := range suspects {
		if !su.Has(sp.Part) {
			continue
		}
		switch sp.Grade {
		case Strong, Lead:
			return HoldUntilDecided
		case Joint:
			asked[sp.Part.ID], joint[sp.Part.ID] = true, true
		case Asked:
			asked[sp.Part.ID] = true
		case Weak:
			hold = HoldBriefly
		}
	}
	switch {
	case len(joint) > 1:
		return HoldUntilDecided
	case len(asked) > 1:
		return HoldBriefly
	}
	return hold
}

// Suspects returns the parts that may have caused a crash a moment ago, those with the most crashes
// first.
func (pd *PartDetector) Suspects(now time.Time) []Suspect {
	if now.Sub(pd.recorded) >= confirmTime+suspectHold {
		return nil
	}
	var list []*tally
	for _, ta := range pd.evidence() {
		if ta.isSuspect(now) && !pd.isConvicted(ta.part) {
			list = append(list, ta)
		}
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Team, b.part.Team))
	})
	suspects := make([]Suspect, 0, min(MaxSuspects, len(list)))
	for _, ta := range list[:min(MaxSuspects, len(list))] {
		suspects = append(suspects, Suspect{ta.part, ta.grade(ta.leads(list))})
	}
	return suspects
}

// leads reports whether the part was on more crashed servers than all others that were cleared before.
func (ta *tally) leads(list []*tally) bool {
	return ta.crashes >= leadCrashes && !slices.ContainsFunc(list, func(other *tally) bool {
		return other.cleared && other.part.ID != ta.part.ID && ta.crashes-other.crashes < leadMargin
	})
}

// isSuspect reports whether the part may have caused a crash a moment ago, or its case is not settled.
func (ta *tally) isSuspect(now time.Time) bool {
	switch {
	case !ta.cleared:
		return now.Sub(ta.known) < suspectHold
	case ta.crashes < minAskedCrashes || len(ta.requests) < minPartRequests:
		return false
	}
	return now.Sub(ta.known) < suspectHold || !ta.isSettled(now)
}

// grade returns the grade of a suspect. leads is set if it was on more crashed servers than all others.
func (ta *tally) grade(leads bool) Grade {
	switch {
	case !ta.cleared && ta.suffices():
		return Strong
	case !ta.cleared:
		return Weak
	case !ta.suffices():
		return Asked
	case leads:
		return Lead
	}
	return Joint
}
