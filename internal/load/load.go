// Package load adds up how much work is in progress on each backend server over
// all gateways, from what they report to each other. It does no I/O and reads no
// clock.
//
// In each data centre one or two gateways, the collectors, take the reports of the
// others. A collector tells another one the sum of its group (its own work and that
// of the gateways that report to it), and each gateway of its group the sum of
// everything else.
package load

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a backend server in a few bytes. Two servers with the same key look
// as busy as both together, which does no harm; among 1,500 servers that is one
// chance in 4,000.
type Key uint32

// KeyOf returns the key of a server's id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is the work in progress by server, in attempts. Servers without any are
// left out.
type Work map[Key]uint32

func (wo Work) add(other Work) {
	for key, n := range other {
		wo[key] += n
	}
}

func (wo Work) subtract(other Work) {
	for key, n := range other {
		if wo[key] -= n; wo[key] == 0 {
			delete(wo, key)
		}
	}
}

// plus returns the sum of both.
func (wo Work) plus(other Work) Work {
	sum := make(Work, len(wo)+len(other))
	sum.add(wo)
	sum.add(other)
	return sum
}

// Busiest returns the part of it that is worth telling: the servers with the most
// work, so many at the most. Of equals all or none are in it.
func (wo Work) Busiest(most int) Work {
	if len(wo) <= most {
		return wo
	}
	least := slices.Sorted(maps.Values(wo))[len(wo)-most-1] + 1
	busiest := make(Work, most)
	for key, n := range wo {
		if n >= least {
			busiest[key] = n
		}
	}
	return busiest
}

type report struct {
	work Work
	at   time.Time
	// gateways is how many gateways the work is of, zero if that was not told.
	gateways int
}

// Table holds the newest report of each other gateway. The zero value holds none.
// It is not safe for concurrent use.
type Table struct {
	// members holds the reports of single gateways, groups those of collectors, by
	// box; no gateway's work is in two of them, but for a moment after it has changed
	// its collector.
	members, groups map[string]report
	// ofMembers is the sum of members, ofAll that of both.
	ofMembers, ofAll Work
}

// PutMember takes the report of a single gateway.
func (ta *Table) PutMember(box string, wo Work, now time.Time) {
	ta.prepare()
	ta.dropMember(box)
	ta.members[box] = report{work: wo, at: now, gateways: 1}
	ta.ofMembers.add(wo)
	ta.ofAll.add(wo)
}

// PutGroup takes the sum that a collector reports.
func (ta *Table) PutGroup(box string, wo Work, now time.Time) {
	ta.prepare()
	ta.dropGroup(box)
	ta.groups[box] = report{work: wo, at: now}
	ta.ofAll.add(wo)
}

// SetGroupSize notes how many gateways the newest report of a collector is of.
func (ta *Table) SetGroupSize(box string, gateways int) {
	if re, ok := ta.groups[box]; ok {
		re.gateways = gateways
		ta.groups[box] = re
	}
}

// GroupSize returns how many gateways the sum that Group returns is of.
func (ta *Table) GroupSize() int { return 1 + len(ta.members) }

// OtherGateways returns how many other gateways have reported, themselves or through a collector.
func (ta *Table) OtherGateways() int {
	others := len(ta.members)
	for _, re := range ta.groups {
		others += re.gateways
	}
	return others
}

func (ta *Table) prepare() {
	if ta.members == nil {
		ta.members, ta.groups = map[string]report{}, map[string]report{}
		ta.ofMembers, ta.ofAll = Work{}, Work{}
	}
}

func (ta *Table) dropMember(box string) {
	ta.ofMembers.subtract(ta.members[box].work)
	ta.ofAll.subtract(ta.members[box].work)
	delete(ta.members, box)
}

func (ta *Table) dropGroup(box string) {
	ta.ofAll.subtract(ta.groups[box].work)
	delete(ta.groups, box)
}

// Expire drops the reports that came before a time: their gateways are gone, or
// report to another collector.
func (ta *Table) Expire(before time.Time) {
	for box, re := range ta.members {
		if re.at.Before(before) {
			ta.dropMember(box)
		}
	}
	for box, re := range ta.groups {
		if re.at.Before(before) {
			ta.dropGroup(box)
		}
	}
}

// HasReports reports whether there is any report.
func (ta *Table) HasReports() bool { return len(ta.members)+len(ta.groups) > 0 }

// OnServer returns the work of all other gateways in progress on a server, in attempts.
func (ta *Table) OnServer(id string) uint32 { return ta.ofAll[KeyOf(id)] }

// GroupSum returns what a collector reports to another one.
func (ta *Table) GroupSum(own Work) Work { return own.plus(ta.ofMembers) }

// SumExcept returns what a collector tells a gateway of its group: everything but that
// gateway's own work.
func (ta *Table) SumExcept(box string, own Work) Work {
	rest := own.plus(ta.ofAll)
	rest.subtract(ta.members[box].work)
	return rest
}
