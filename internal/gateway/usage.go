package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/duty"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/usage"
)

// countUsage counts a request for the usage report when a server has begun to run it for the first
// time. The lock is held.
func (ex *exchange) countUsage() {
	if ex.ga.Usage == nil || ex.usageCounted || ex.keyTeam == nil {
		return
	}
	ex.usageCounted = true
	ex.ga.Usage.Count(ex.keyTeam.Name)
}

// setDutyHolder applies the stored holder of the duty of usage reports. The lock is held.
func (ga *Gateway) setDutyHolder(ho duty.Holder) {
	if ga.Usage != nil {
		ga.Usage.SetHolder(ho)
	}
}

// collectorRank returns this gateway's position among the collectors, negative if it is none or does
// not know them yet.
func (ga *Gateway) collectorRank() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.stateRead {
		return -1
	}
	return ga.relayPlan.CollectorRank(ga.memberList())
}

// needsUsage reports whether another collector needs this one's counts: it holds the duty, or would
// succeed this one. The lock is held.
func (ga *Gateway) needsUsage(box string, now time.Time) bool {
	holder := ga.Usage.Holder()
	if holder.IsZero() || holder.Process == ga.instanceID {
		return ga.loadPlan.FirstOtherCollector(ga.memberList(), now) == box
	}
	return holder.Box == box
}

// usageReplied applies the counts in the reply to a report.
func (ga *Gateway) usageReplied(cu usage.Cursor, sent, reply relay.Report) usage.Cursor {
	if ga.Usage == nil {
		return cu
	}
	return ga.Usage.Replied(cu, sent.Usage, reply.Usage, !sent.Collector)
}
