package gateway

import (
	"errors"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/gossip"
	"github.com/linnetrudder/linnetrudder/internal/relay"
)

// ServerStatus is what a backend server reports about itself in the head of an answer. An
// adapter decodes it once, whatever the answer says about the request.
type ServerStatus struct {
	// Limit is the rate in requests per second that the server accepts from all gateways
	// together; nil if it reports none.
	Limit *float64
	// RetryAfter is how long the server wants no requests from this gateway; zero if it did
	// not ask for a pause.
	RetryAfter time.Duration
	// Leaving is set once the server shuts down. It stays set until its process ends.
	Leaving bool
}

// serverStatus returns what the attempt's server reported about itself. ok is false if the
// server did not answer.
func (se *sent) serverStatus() (st ServerStatus, ok bool) {
	var refusal *Refusal
	var doubt *Doubt
	switch {
	case se.answer != nil:
		return se.answer.Server, true
	case errors.As(se.err, &refusal):
		return refusal.Server, !refusal.Gone
	case errors.As(se.err, &doubt):
		return doubt.Server, true
	}
	return ServerStatus{}, false
}

// takeServerStatus records what an attempt's server reported about itself.
func (ga *Gateway) takeServerStatus(se *sent, now time.Time) {
	st, ok := se.serverStatus()
	if !ok {
		return
	}
	key := se.server.Key()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if se.answer != nil || st.Limit != nil {
		// A rejection without a limit does not end one: it may be older than the limit.
		ga.takeLimit(key, st.Limit, now)
	}
	if st.RetryAfter > 0 && ga.pool.Pauses.Begin(key, st.RetryAfter, now) {
		serverPauses.Inc()
		ga.Log.Info().Int("event", int(event.ServerPaused)).Str("server", key).Dur("for_ms", st.RetryAfter).
			Msg(event.Name(event.ServerPaused))
	}
	if st.Leaving {
		ga.serverLeaves(key, now, 0, "announced in an answer")
	}
}

// serverLeaves takes a server out of use that announced its shutdown, and passes that on to other
// gateways. The lock is held.
func (ga *Gateway) serverLeaves(key string, at time.Time, hops uint8, detail string) {
	if !ga.servers.Leave(key, at) {
		return
	}
	ga.leavingNews.Learn(key, hops, clock.Now())
	serversLeaving.Inc()
	ga.noteServer(event.ServerLeaving, key, detail)
}

// takeLeaving takes another gateway's notices of servers that announced their shutdown. The lock is
// held.
func (ga *Gateway) takeLeaving(re relay.Report, now time.Time) {
	for _, no := range re.Leaving {
		if no.Valid() {
			ga.serverLeaves(no.Server, now.Add(-no.Age), no.Hops+1, "announced to "+re.Box)
		}
	}
}

// leavingNotices returns what another gateway is told of servers that announced their shutdown. The
// lock is held.
func (ga *Gateway) leavingNotices(to gossip.Peer, now time.Time) []gossip.Notice {
	var list []gossip.Notice
	for _, fa := range ga.leavingNews.Due(to, now) {
		if at, ok := ga.servers.LeavingSince(fa.Key()); ok {
			list = append(list, gossip.Notice{Server: fa.Key(), Age: max(0, now.Sub(at)), Hops: fa.Hops()})
		}
	}
	return list
}

// noteUnwanted logs an attempt that is sent although its server asked for none. The lock is
// held.
func (ga *Gateway) noteUnwanted(se *sent, now time.Time) {
	key := se.server.Key()
	since, leaving := ga.servers.LeavingSince(key)
	pause := ga.pool.Pauses.Left(key, now)
	if !leaving && pause == 0 {
		return
	}
	attemptsUnwanted.Inc()
	le := ga.Log.Warn().Int("event", int(event.AttemptUnwanted)).Str("request", se.ex.as.ID).Int("attempt", se.step.Attempt()).
		Str("server", key).Dur("pause_left_ms", pause)
	if leaving {
		le = le.Dur("leaving_for_ms", now.Sub(since))
	}
	le.Msg(event.Name(event.AttemptUnwanted))
}

// endPauses logs the pauses of servers that are over.
func (ga *Gateway) endPauses(now time.Time) {
	for _, en := range ga.pool.Pauses.Tick(now) {
		ga.Log.Info().Int("event", int(event.ServerResumed)).Str("server", en.Server).Int("sent", en.Sent).
			Msg(event.Name(event.ServerResumed))
	}
}
