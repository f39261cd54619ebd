// Package load sums up the work in progress on each backend server over all gateways, from the
// reports that they exchange. It does no I/O and reads no clock.
//
// In each data centre one or two gateways, the collectors, receive the reports of the others. A
// collector sends the other collectors the sum of its group, which is its own work and that of the
// gateways that report to it, and sends each gateway of its group the sum of everything else.
package load

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a backend server in four bytes. Two servers with the same key both appear to have
// the work of both, which does no harm; among 1,500 servers the probability of a collision is one
// in 4,000.
type Key uint32

// KeyOf returns the key of a server's id.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is the number of attempts in progress by server. Idle servers are omitted.
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

// plus returns the sum of two works.
func (wo Work) plus(other Work) Work {
	sum := make(Work, len(wo)+len(other))
	sum.add(wo)
	sum.add(other)
	return sum
}

// Busiest returns the servers with the most work, at most the given number. Of servers with equal
// work, either all or none are included.
func (wo Work) Busiest(most int) Work {
	if len(wo) <= most {
		return wo
	}
	threshold := slices.Sorted(maps.Values(wo))[len(wo)-most-1] + 1
	busiest := make(Work, most)
	for key, n := range wo {
		if n >= threshold {
			busiest[key] = n
		}
	}
	return busiest
}

type report struct {
	work Work
	at   time.Time
	// gateways is the number of gateways that the report includes, zero if it is not known.
	gateways int
	// demand is the rate of requests of these gateways, per second.
	demand float64
}

// Table holds the newest report of each other gateway. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	// members holds the reports of single gateways, groups those of collectors, by box. Each
	// gateway's work is included in only one of them, except briefly after a change of its collector.
	members, groups map[string]report
	// memberSum is the sum of members, totalSum that of members and groups.
	memberSum, totalSum Work
}

// PutMember stores the report of a single gateway.
func (ta *Table) PutMember(box string, wo Work, now time.Time) {
	ta.init()
	ta.dropMember(box)
	ta.members[box] = report{work: wo, at: now, gateways: 1}
	ta.memberSum.add(wo)
	ta.totalSum.add(wo)
}

// PutGroup stores the sum that a collector reports.
func (ta *Table) PutGroup(box string, wo Work, now time.Time) {
	ta.init()
	ta.dropGroup(box)
	ta.groups[box] = report{work: wo, at: now}
	ta.totalSum.add(wo)
}

// SetGroupSize stores the number of gateways that the newest report of a collector includes.
func (ta *Table) SetGroupSize(box string, gateways int) {
	if re, ok := ta.groups[box]; ok {
		re.gateways = gateways
		ta.groups[box] = re
	}
}

// SetMemberDemand stores the rate of requests of a gateway with a report.
func (ta *Table) SetMemberDemand(box string, perSecond float64) {
	setDemand(ta.members, box, perSecond)
}

// SetGroupDemand stores the rate of requests of the gateways that the newest report of a collector
// includes.
func (ta *Table) SetGroupDemand(box string, perSecond float64) { setDemand(ta.groups, box, perSecond) }

func setDemand(reports map[string]report, box string, perSecond float64) {
	if re, ok := reports[box]; ok {
		re.demand = max(0, perSecond)
		reports[box] = re
	}
}

// GroupDemand returns the rate of requests of the gateways that the result of GroupSum includes. own is
// that of this gateway.
func (ta *Table) GroupDemand(own float64) float64 {
	for _, re := range ta.members {
		own += re.demand
	}
	return own
}

// Demand returns the rate of requests of all gateways.
func (ta *Table) Demand(own float64) float64 {
	own = ta.GroupDemand(own)
	for _, re := range ta.groups {
		own += re.demand
	}
	return own
}

// DemandExcept returns the rate of requests of all gateways except one with a report.
func (ta *Table) DemandExcept(box string, own float64) float64 {
	return ta.Demand(own) - ta.members[box].demand
}

// GroupSize returns the number of gateways that the result of GroupSum includes.
func (ta *Table) GroupSize() int { return 1 + len(ta.members) }

// OtherGateways returns the number of other gateways that are included in the reports.
func (ta *Table) OtherGateways() int {
	others := len(ta.members)
	for _, re := range ta.groups {
		others += re.gateways
	}
	return others
}

func (ta *Table) init() {
	if ta.members == nil {
		ta.members, ta.groups = map[string]report{}, map[string]report{}
		ta.memberSum, ta.totalSum = Work{}, Work{}
	}
}

func (ta *Table) dropMember(box string) {
	ta.memberSum.subtract(ta.members[box].work)
	ta.totalSum.subtract(ta.members[box].work)
	delete(ta.members, box)
}

func (ta *Table) dropGroup(box string) {
	ta.totalSum.subtract(ta.groups[box].work)
	delete(ta.groups, box)
}

// Expire removes the reports that arrived before a time: their gateways have ended or report to
// another collector.
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

// KeepGroup drops the reports of all collectors but one.
func (ta *Table) KeepGroup(box string) {
	for other := range ta.groups {
		if other != box {
			ta.dropGroup(other)
		}
	}
}

// HasReports reports whether there are any reports.
func (ta *Table) HasReports() bool { return len(ta.members)+len(ta.groups) > 0 }

// OnServer returns the number of attempts of all other gateways in progress on a server.
func (ta *Table) OnServer(id string) uint32 { return ta.totalSum[KeyOf(id)] }

// GroupSum returns the sum that a collector sends to other collectors. own is its own work.
func (ta *Table) GroupSum(own Work) Work { return own.plus(ta.memberSum) }

// SumExcept returns the sum that a collector sends to a gateway of its group: all work except that
// gateway's own.
func (ta *Table) SumExcept(box string, own Work) Work {
	rest := own.plus(ta.totalSum)
	rest.subtract(ta.members[box].work)
	return rest
}
