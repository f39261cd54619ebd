package gateway

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/departure"
	"github.com/linnetrudder/linnetrudder/internal/directory"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/revision"
)

// departuresKnownUntil returns the time up to which all departures of servers are known, and the process
// that confirmed it. The lock is held.
func (ga *Gateway) departuresKnownUntil() (at time.Time, source string) {
	at, source = ga.departures.Confirmed()
	if own := ga.freshness.ConfirmedAt(); !own.Before(at) {
		return own, ga.freshness.Source()
	}
	return at, source
}

// drainShare is the fraction of the bound on departures within which they are to be known. The rest is
// left to the attempts that are being sent.
const drainShare = 2.0 / 3

// checkDepartures logs when departures are no longer known recently enough, and when they are again.
func (ga *Gateway) checkDepartures(now time.Time) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	at, source := ga.departuresKnownUntil()
	if at.IsZero() {
		return
	}
	age := now.Sub(at)
	departuresAgeSeconds.Set(age.Seconds())
	outdated := ga.Bounds.MaxDrain != 0 && age > time.Duration(drainShare*float64(ga.Bounds.MaxDrain))
	if outdated == ga.departuresOutdated {
		return
	}
	ga.departuresOutdated = outdated
	id := event.DeparturesCurrent
	if outdated {
		id = event.DeparturesOutdated
	}
	ga.Log.Warn().Int("event", int(id)).Str("source", source).Dur("age_ms", age).Msg(event.Name(id))
}

// trackDeparture records whether a listed server accepts requests. The lock is held.
func (ga *Gateway) trackDeparture(se *directory.Server, wasDraining bool) {
	switch {
	case !se.Draining:
		ga.departures.Return(se.Key())
	case !wasDraining:
		ga.departed = append(ga.departed, se.Key())
	}
}

// takeDeparted returns the keys of the server instances that departed in the applied changes. The lock
// is held.
func (ga *Gateway) takeDeparted() []string {
	departed := ga.departed
	ga.departed = nil
	return departed
}

// departuresApplied records that the changes up to a revision have been applied, and reports the
// departures among them at once. The lock is held.
func (ga *Gateway) departuresApplied(to revision.Revision) {
	departed := ga.takeDeparted()
	ga.servers.StateReached(to)
	ga.departures.Append(to, departed)
	if len(departed) > 0 && ga.relayPlan.IsWatcher(ga.memberList()) {
		ga.reportAtOnce()
	}
}

// departureMessage returns the departures for a gateway that knows those up to a revision. The lock is
// held.
func (ga *Gateway) departureMessage(receiverKnows revision.Revision, now time.Time) *departure.Message {
	at, _ := ga.departuresKnownUntil()
	return ga.departures.Message(receiverKnows, now.Sub(at))
}

// receiveDepartures applies the departures that another gateway reports. If they are in the response to
// a request, sent is when the request was sent, otherwise zero. The lock is held.
func (ga *Gateway) receiveDepartures(box string, me *departure.Message, sent, now time.Time) {
	if me == nil {
		return
	}
	ga.completeUntil, _ = ga.departuresKnownUntil()
	unknown := ga.departures.Receive(*me, box, sent)
	for _, de := range unknown {
		if ga.servers.Exclude(de.Server, de.Revision) {
			ga.logDeparture(event.ServerExcluded, de.Server, "revision "+de.Revision.String(), box, now)
		}
	}
	if len(unknown) > 0 && ga.relayPlan.IsWatcher(ga.memberList()) {
		ga.reportAtOnce()
	}
}

// reportAtOnce makes the reports to other gateways due. The lock is held.
func (ga *Gateway) reportAtOnce() {
	close(ga.reportDue)
	ga.reportDue = make(chan struct{})
}
