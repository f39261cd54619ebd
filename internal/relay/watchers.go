package relay

import (
	"cmp"
	"slices"
	"strings"
)

// rootsOf returns the watchers that the others ask, none where all call the service.
func rootsOf(members []Member) []Member {
	all := allWatchers(members)
	if len(all) <= fewWatchers {
		return nil
	}
	centres := map[string]bool{}
	var first []Member
	for _, wa := range ranked(all) {
		if !centres[wa.DataCentre] {
			centres[wa.DataCentre] = true
			first = append(first, wa)
		}
	}
	return first[:min(roots, len(first))]
}

// watchersOf returns the watchers of a data centre.
func watchersOf(members []Member, dataCentre string) []Member {
	var own []Member
	for _, me := range members {
		if me.DataCentre == dataCentre && me.Address != "" {
			own = append(own, me)
		}
	}
	return ranked(own)[:min(watchers, len(own))]
}

// ranked puts the members with the largest links first.
func ranked(list []Member) []Member {
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(a.Box, b.Box))
	})
	return list
}

// watchersElsewhere returns the watchers of all data centres but one.
func watchersElsewhere(members []Member, dataCentre string) []Member {
	return slices.DeleteFunc(allWatchers(members), func(me Member) bool { return me.DataCentre == dataCentre })
}

// allWatchers returns the watchers of all data centres.
func allWatchers(members []Member) []Member {
	centres := map[string]bool{}
	var all []Member
	for _, me := range members {
		if !centres[me.DataCentre] {
			centres[me.DataCentre] = true
			all = append(all, watchersOf(members, me.DataCentre)...)
		}
	}
	return all
}
