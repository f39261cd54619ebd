package relay

import (
	"cmp"
	"slices"
	"strings"
)

// rootsOf returns the watchers that the other watchers ask, or none if all watchers call the
// service.
func rootsOf(members []Member) []Member {
	all := allWatchers(members)
	if len(all) <= maxDirectWatchers {
		return nil
	}
	centres := map[string]bool{}
	var roots []Member
	for _, wa := range sortByLink(all) {
		if !centres[wa.DataCentre] {
			centres[wa.DataCentre] = true
			roots = append(roots, wa)
		}
	}
	return roots[:min(maxRoots, len(roots))]
}

// watchersOf returns the watchers of a data centre.
func watchersOf(members []Member, dataCentre string) []Member {
	var own []Member
	for _, me := range members {
		if me.DataCentre == dataCentre && me.Address != "" {
			own = append(own, me)
		}
	}
	return sortByLink(own)[:min(watchersPerCentre, len(own))]
}

// sortByLink sorts the members by the capacity of their links, the largest first.
func sortByLink(list []Member) []Member {
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(a.Box, b.Box))
	})
	return list
}

// watchersOutside returns the watchers of all data centres but one.
func watchersOutside(members []Member, dataCentre string) []Member {
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
