package gateway

import (
	"errors"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/relay"
	"github.com/linnetrudder/linnetrudder/internal/selfreport"
)

// selfReport returns what the attempt's server reported about itself. ok is false if the
// server did not respond.
func (se *attemptState) selfReport() (re selfreport.Report, ok bool) {
	var refusal *RefusedError
	var ambiguous *AmbiguousError
	switch {
	case se.response != nil:
		return se.response.Report, true
	case errors.As(se.err, &refusal):
		return refusal.Report, !refusal.Gone
	case errors.As(se.err, &ambiguous):
		return ambiguous.Report, true
	}
	return selfreport.Report{}, false
}

// applySelfReport applies what an attempt's server reported about itself.
func (ga *Gateway) applySelfReport(se *attemptState, now time.Time) {
	re, ok := se.selfReport()
	if !ok {
		return
	}
	key := se.server.Key()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if re.Err != nil {
		ga.logUnreadableReport(key, re.Err)
	}
	if se.response != nil && re.Err == nil || re.Limit != nil {
		// A rejection without a limit does not end one: it may be older than the limit.
		ga.applyLimit(key, re.Limit, now)
	}
	switch {
	case re.RetryAfter > 0:
		ga.pauseServer(key, re.RetryAfter, now)
	case se.response == nil:
		if ga.pool.Pauses.RecordRejected(key, now) {
			ga.pauseGossip.Add(key, 0, now)
		}
	default:
		ga.pool.Pauses.RecordAccepted(key, now)
	}
	if re.Leaving {
		ga.markLeaving(key, now, 0, sourceServer)
	}
}

// pauseServer stops sending requests to a server for as long as it asked for. The lock is held.
func (ga *Gateway) pauseServer(key string, lasts time.Duration, now time.Time) {
	if !ga.pool.Pauses.Begin(key, lasts, now) {
		return
	}
	ga.pauseGossip.Add(key, 0, now)
	serverPauses.Inc()
	ga.Log.Info().Int("event", int(event.ServerPaused)).Str("server", key).Dur("for_ms", lasts).Msg(event.Name(event.ServerPaused))
}

// logUnreadableReport counts a report that could not be read, and logs a sample of them.
func (ga *Gateway) logUnreadableReport(key string, err error) {
	reportsUnreadable.Inc()
	lo := ga.Log.Sample(&ga.unreadableLog)
	lo.Warn().Int("event", int(event.ReportUnreadable)).Str("server", key).Err(err).Msg(event.Name(event.ReportUnreadable))
}

// markLeaving takes a server that announced its shutdown out of use, and propagates the announcement
// to other gateways. source is the process that reported it. The lock is held.
func (ga *Gateway) markLeaving(key string, at time.Time, hops uint8, source string) {
	if !ga.servers.MarkLeaving(key, at) {
		return
	}
	ga.leavingGossip.Add(key, hops, clock.Now())
	serversLeaving.Inc()
	ga.logDeparture(event.ServerLeaving, key, "announced", source, clock.Now())
}

// receiveNotices applies another gateway's notices of what servers reported. The lock is held.
func (ga *Gateway) receiveNotices(re relay.Report, now time.Time) {
	ga.receiveLimitNotices(re, now)
	for _, no := range re.Leaving {
		if no.Valid() {
			ga.markLeaving(no.Server, now.Add(-no.Age), no.Hops+1, re.Box)
		}
	}
	ga.receiveCrashes(re, now)
	for _, no := range re.Pauses {
		if no.Valid() && ga.servers.ByKey(no.Server) != nil && ga.pool.Pauses.RecordRemote(no.Server, no.Duration-no.Age, now) {
			ga.pauseGossip.Add(no.Server, no.Hops+1, now)
		}
	}
}

// addNotices adds notices of what servers reported to a report for another gateway. The lock is
// held.
func (ga *Gateway) addNotices(re *relay.Report, to gossip.Direction, now time.Time) {
	re.Limits = ga.pool.Limits.Notices(to, now)
	re.Crashes = ga.crashes.Notices(to, now)
	for _, fa := range ga.leavingGossip.Due(to, now) {
		if at, ok := ga.servers.LeavingSince(fa.Key()); ok {
			re.Leaving = append(re.Leaving, gossip.Notice{Server: fa.Key(), Age: max(0, now.Sub(at)), Hops: fa.Hops()})
		}
	}
	for _, fa := range ga.pauseGossip.Due(to, now) {
		if left := ga.pool.Pauses.Remaining(fa.Key(), now); left > 0 {
			re.Pauses = append(re.Pauses, gossip.Notice{Server: fa.Key(), Hops: fa.Hops(), Duration: left})
		}
	}
}

// logUnwantedAttempt logs an attempt that is sent although its server is leaving or asked for a
// pause. The lock is held.
func (ga *Gateway) logUnwantedAttempt(se *attemptState, now time.Time) {
	key := se.server.Key()
	since, leaving := ga.servers.LeavingSince(key)
	pause := ga.pool.Pauses.LocalRemaining(key, now)
	if !leaving && pause == 0 {
		return
	}
	attemptsUnwanted.Inc()
	le := ga.Log.Warn().Int("event", int(event.AttemptUnwanted)).Str("request", se.ex.rq.ID).Int("attempt", se.step.Attempt()).
		Str("server", key).Dur("pause_left_ms", pause)
	if leaving {
		le = le.Dur("leaving_for_ms", now.Sub(since))
	}
	le.Msg(event.Name(event.AttemptUnwanted))
}

// expirePauses ends the pauses of servers whose time has passed, and logs their end.
func (ga *Gateway) expirePauses(now time.Time) {
	for _, en := range ga.pool.Pauses.Tick(now) {
		ga.Log.Info().Int("event", int(event.ServerResumed)).Str("server", en.Server).Int("sent", en.Sent).
			Msg(event.Name(event.ServerResumed))
	}
}
