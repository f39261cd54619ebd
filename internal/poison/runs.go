package poison

import (
	"slices"
	"time"
)

const (
	// suspectWindow is how long before a server's crash a request may have begun to run there to be
	// suspected, also if it was cancelled since: engines fail in the first steps of a request,
	// observed 0.04 to 0.13 s after the first token. With 1 s, requests that had already moved to
	// another server were suspected when four servers crashed together for another reason.
	suspectWindow = 500 * time.Millisecond
	// disconnectValidity is how long the time of a lost connection is taken as the time of a crash
	// that is detected later.
	disconnectValidity = time.Second
	// responseSurvivalTime is how long after the beginning of a response its server must still accept a
	// connection to show that the request does not crash it, although the response is not complete yet.
	responseSurvivalTime = 2 * suspectWindow
	// survivalTime is how long after the end of a request its server must still respond to any
	// request, or accept a connection, to show that the request did not crash it.
	survivalTime = suspectWindow
	// runRetention is how long finished runs are stored. A crash that no connection reveals is
	// detected when the server's registration expires, some three seconds later.
	runRetention = 5 * time.Second
)

// Run is the execution of one request on one server.
type Run struct {
	subject Subject
	server  string
	// sent is when the request was sent, first when the first part of its response arrived,
	// finished when it ended or was cancelled; each is zero before.
	sent, first, finished time.Time
	// complete is set if the complete response arrived, unsent if the request never reached the
	// server or the server reported that it did not run.
	complete, unsent bool
	// cleared is set once the run was returned by Prune although it had not finished.
	cleared bool
}

// Subject returns the request.
func (ru *Run) Subject() Subject { return ru.subject }

// ResponseBegan returns when the first part of the response arrived, zero before that.
func (ru *Run) ResponseBegan() time.Time { return ru.first }

// MarkUnsent records that the server never began the request.
func (ru *Run) MarkUnsent() { ru.unsent = true }

// Finish records that the request is no longer on the server; complete is set if its complete
// response arrived.
func (ru *Run) Finish(complete bool, now time.Time) {
	if ru.finished.IsZero() {
		ru.finished, ru.complete = now, complete
	}
}

// Runs tracks which requests are on which server, and which were until recently. The zero value
// tracks none. It is not safe for concurrent use.
type Runs struct {
	servers map[string]*serverRuns
}

// serverRuns holds the runs on one server process.
type serverRuns struct {
	// runs holds those in progress, and those that finished less than runRetention ago.
	runs []*Run
	// lastAlive is when the server last sent a part of a response or accepted a connection.
	lastAlive time.Time
	// disconnected is when a connection was lost, possibly because the server crashed; zero if none
	// was lost recently.
	disconnected time.Time
}

// Sent records that a request is sent to a server process.
func (rs *Runs) Sent(server string, su Subject, now time.Time) *Run {
	ru := &Run{subject: su, server: server, sent: now}
	sr := rs.server(server)
	sr.runs = append(sr.runs, ru)
	return ru
}

// Suspicion returns the suspicion against the request after its server process crashed.
func (ru *Run) Suspicion(server string, crashed, now time.Time) Suspicion {
	sn := Suspicion{
		Fingerprint: ru.subject.Fingerprint, Server: server, SinceCrash: now.Sub(crashed), RequestAge: max(0, crashed.Sub(ru.sent)),
		Team: ru.subject.Team, Service: ru.subject.Service,
	}
	if !ru.complete {
		sn.Parts = ru.subject.Parts // a part that crashes servers leaves no complete response
	}
	if !ru.first.IsZero() {
		sn.ResponseAge = max(0, crashed.Sub(ru.first))
	}
	return sn
}

// Answered records that a part of a response arrived.
func (rs *Runs) Answered(ru *Run, now time.Time) {
	if ru.first.IsZero() {
		ru.first = now
	}
	if sr := rs.servers[ru.server]; sr != nil {
		sr.lastAlive = now
	}
}

func (rs *Runs) server(name string) *serverRuns {
	if rs.servers == nil {
		rs.servers = map[string]*serverRuns{}
	}
	sr := rs.servers[name]
	if sr == nil {
		sr = &serverRuns{}
		rs.servers[name] = sr
	}
	return sr
}

// Disconnected records that a server closed a connection unexpectedly, possibly because it crashed.
func (rs *Runs) Disconnected(server string, now time.Time) {
	if sr := rs.server(server); sr.disconnected.IsZero() || now.Sub(sr.disconnected) > disconnectValidity {
		sr.disconnected = now
	}
}

// Alive records that a server has not crashed: it has just accepted a connection.
func (rs *Runs) Alive(server string, now time.Time) {
	if sr := rs.servers[server]; sr != nil {
		sr.disconnected, sr.lastAlive = time.Time{}, now
	}
}

// Unconfirmed returns the server processes that completed a suspected request and were not seen alive
// long enough after it to show that they survived it. The caller probes them: where all traffic
// consists of suspected requests, nothing else would show these to be harmless.
func (rs *Runs) Unconfirmed(suspected func(su Subject) bool, now time.Time) []string {
	var list []string
	for server, sr := range rs.servers {
		if slices.ContainsFunc(sr.runs, func(ru *Run) bool { return sr.isUnconfirmed(ru, now) && suspected(ru.subject) }) {
			list = append(list, server)
		}
	}
	return list
}

// isUnconfirmed reports whether a server may have survived a run, but was not seen alive since.
func (sr *serverRuns) isUnconfirmed(ru *Run, now time.Time) bool {
	if ru.isInResponse() {
		return now.Sub(ru.first) >= responseSurvivalTime && sr.lastAlive.Sub(ru.first) < responseSurvivalTime
	}
	return ru.complete && now.Sub(ru.finished) >= survivalTime && sr.lastAlive.Sub(ru.finished) < survivalTime
}

// isInResponse reports whether a part of the response has arrived and the run has not finished.
func (ru *Run) isInResponse() bool { return ru.finished.IsZero() && !ru.first.IsZero() }

// IsDisconnected reports whether a server recently closed a connection unexpectedly and has not
// been found alive since.
func (rs *Runs) IsDisconnected(server string, now time.Time) bool {
	sr := rs.servers[server]
	return sr != nil && !sr.disconnected.IsZero() && now.Sub(sr.disconnected) < runRetention
}

// CountWith returns the number of tracked runs of requests with a part.
func (rs *Runs) CountWith(pa Part) int {
	n := 0
	for _, sr := range rs.servers {
		for _, ru := range sr.runs {
			if ru.subject.Has(pa) {
				n++
			}
		}
	}
	return n
}

// HasIncomplete reports whether a run that has no complete response is recorded for a server.
func (rs *Runs) HasIncomplete(server string) bool {
	sr := rs.servers[server]
	return sr != nil && slices.ContainsFunc(sr.runs, func(ru *Run) bool { return !ru.complete && !ru.unsent })
}

// HasServer reports whether any recent run or lost connection of a server is recorded.
func (rs *Runs) HasServer(server string) bool { return rs.servers[server] != nil }

// Crashed returns the runs that may have caused the crash of a server and the best known time of
// the crash, and removes the server.
func (rs *Runs) Crashed(server string, now time.Time) (suspects []*Run, crashed time.Time) {
	sr := rs.servers[server]
	if sr == nil {
		return nil, now
	}
	delete(rs.servers, server)
	for _, ru := range sr.runs {
		if sr.mayHaveCrashed(ru, now) {
			suspects = append(suspects, ru)
		}
	}
	if sr.disconnected.IsZero() {
		return suspects, now
	}
	return suspects, sr.disconnected
}

// mayHaveCrashed reports whether a run may have caused the crash of its server, which is detected
// now.
func (sr *serverRuns) mayHaveCrashed(ru *Run, now time.Time) bool {
	if ru.unsent || !sr.disconnected.IsZero() && ru.sent.After(sr.disconnected) {
		return false // the server never began it, or had crashed before
	}
	crashed := sr.disconnected
	if crashed.IsZero() {
		// The server crashed at some time after its last response: take the end of the run, or now
		// if it has not finished.
		crashed = now
		if !ru.finished.IsZero() {
			crashed = ru.finished
		}
	}
	began := ru.first
	if began.IsZero() {
		began = ru.finished
	}
	return began.IsZero() || crashed.Sub(began) <= suspectWindow
}

// Prune removes the runs that finished long ago or that their server is known to have survived. It
// returns the survived ones that were answered completely, and as cleared those that show that no part
// of their prompts crashes servers: runs whose server survived their response so far, and complete ones
// whose server is not known to have crashed within runRetention, since by then it would be.
func (rs *Runs) Prune(now time.Time) (harmless, cleared []*Run) {
	for server, sr := range rs.servers {
		remaining := sr.runs[:0]
		for _, ru := range sr.runs {
			survived := !ru.finished.IsZero() && sr.lastAlive.Sub(ru.finished) >= survivalTime
			switch {
			case survived && ru.complete:
				harmless = append(harmless, ru)
			case !survived && (ru.finished.IsZero() || now.Sub(ru.finished) < runRetention):
				remaining = append(remaining, ru)
			case ru.complete:
				cleared = append(cleared, ru)
			}
			if ru.isInResponse() && !ru.cleared && sr.lastAlive.Sub(ru.first) >= responseSurvivalTime {
				ru.cleared = true
				cleared = append(cleared, ru)
			}
		}
		clear(sr.runs[len(remaining):])
		sr.runs = remaining
		if len(remaining) == 0 {
			delete(rs.servers, server)
		}
	}
	return harmless, cleared
}
