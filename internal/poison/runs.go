package poison

import (
	"slices"
	"time"
)

const (
	// beganWithin is how long before its server's end a request began to run that may have
	// caused it, also one that was dropped since: engines fail in the first steps of a
	// request, seen 0.04 to 0.13 s after the first token. With 1 s, requests that had moved on
	// were suspected when four servers ended together for another reason.
	beganWithin = 500 * time.Millisecond
	// breakKept is how long a broken connection is taken for the moment of an end that is
	// noticed later.
	breakKept = time.Second
	// livesOn is how long after a request was over its server must have answered something
	// for the request to have done it no harm.
	livesOn = beganWithin
	// kept is how long what is over is remembered. A server that ends unseen is noticed when
	// its entry runs out, some three seconds later.
	kept = 5 * time.Second
)

// Run is one request at one server.
type Run struct {
	print   Fingerprint
	request string
	server  string
	// sent is when it was sent, first when the first part of its answer came, over when it
	// came to its end or was dropped; each is zero before.
	sent, first, over time.Time
	// whole is set if the whole answer came, unsent if the request never was at the server or
	// the server said that it did not run.
	whole, unsent bool
}

// Fingerprint returns the request's fingerprint.
func (ru *Run) Fingerprint() Fingerprint { return ru.print }

// RequestID returns the caller's id of the request.
func (ru *Run) RequestID() string { return ru.request }

// MarkUnsent notes that the server never began the request.
func (ru *Run) MarkUnsent() { ru.unsent = true }

// Finish notes that the request is not at the server any more; whole is set if all of its
// answer came.
func (ru *Run) Finish(whole bool, now time.Time) {
	if ru.over.IsZero() {
		ru.over, ru.whole = now, whole
	}
}

// Runs knows which requests are with which server, and were until just now. The zero value
// knows of none. It is not safe for concurrent use.
type Runs struct {
	servers map[string]*served
}

// served is what one life of a server got.
type served struct {
	// runs holds what is there, and what is over for less than kept.
	runs []*Run
	// heard is when the server answered last.
	heard time.Time
	// broke is when a connection to it broke off that it may have ended with; zero if none
	// did lately.
	broke time.Time
}

// Sent notes that a request is sent to a server's life.
func (rs *Runs) Sent(server string, pr Fingerprint, request string, now time.Time) *Run {
	ru := &Run{print: pr, request: request, server: server, sent: now}
	sv := rs.of(server)
	sv.runs = append(sv.runs, ru)
	return ru
}

// Suspicion returns what is held against the request once the life of a server has ended that
// it was at.
func (ru *Run) Suspicion(server string, at, now time.Time) Suspicion {
	return Suspicion{Fingerprint: ru.print, Server: server, SinceCrash: now.Sub(at), RequestAge: max(0, at.Sub(ru.sent))}
}

// Answered notes that the first part of an answer came.
func (rs *Runs) Answered(ru *Run, now time.Time) {
	if ru.first.IsZero() {
		ru.first = now
	}
	if sv := rs.servers[ru.server]; sv != nil {
		sv.heard = now
	}
}

func (rs *Runs) of(server string) *served {
	if rs.servers == nil {
		rs.servers = map[string]*served{}
	}
	sv := rs.servers[server]
	if sv == nil {
		sv = &served{}
		rs.servers[server] = sv
	}
	return sv
}

// Disconnected notes that a server broke a connection off, which may be its end.
func (rs *Runs) Disconnected(server string, now time.Time) {
	if sv := rs.of(server); sv.broke.IsZero() || now.Sub(sv.broke) > breakKept {
		sv.broke = now
	}
}

// Alive notes that a server has not ended after all: it just took a connection.
func (rs *Runs) Alive(server string, now time.Time) {
	if sv := rs.servers[server]; sv != nil {
		sv.broke, sv.heard = time.Time{}, now
	}
}

// Unconfirmed returns the lives of servers that gave a whole answer to a suspected request and have
// answered nothing since by which they would be known to have lived on. Where suspected requests
// are all that was asked for, nothing else would ever speak for them: in 15 of 30 plays without
// a network a harmless one was refused until the block's end.
func (rs *Runs) Unconfirmed(suspected func(pr Fingerprint) bool, now time.Time) []string {
	var list []string
	for server, sv := range rs.servers {
		if slices.ContainsFunc(sv.runs, func(ru *Run) bool {
			return ru.whole && now.Sub(ru.over) >= livesOn && sv.heard.Sub(ru.over) < livesOn && suspected(ru.print)
		}) {
			list = append(list, server)
		}
	}
	return list
}

// IsDisconnected reports whether a server broke a connection off lately and has not been found alive
// since.
func (rs *Runs) IsDisconnected(server string, now time.Time) bool {
	sv := rs.servers[server]
	return sv != nil && !sv.broke.IsZero() && now.Sub(sv.broke) < kept
}

// HasServer reports whether anything is known of what a server got lately.
func (rs *Runs) HasServer(server string) bool { return rs.servers[server] != nil }

// Crashed returns the requests that may have caused the end of a server, and when that was as
// far as is known, and forgets the server.
func (rs *Runs) Crashed(server string, now time.Time) (suspects []*Run, at time.Time) {
	sv := rs.servers[server]
	if sv == nil {
		return nil, now
	}
	delete(rs.servers, server)
	for _, ru := range sv.runs {
		if sv.suspects(ru, now) {
			suspects = append(suspects, ru)
		}
	}
	if sv.broke.IsZero() {
		return suspects, now
	}
	return suspects, sv.broke
}

// suspects reports whether a request may have caused the end of its server, which is noticed
// now.
func (sv *served) suspects(ru *Run, now time.Time) bool {
	if ru.unsent || !sv.broke.IsZero() && ru.sent.After(sv.broke) {
		return false // the server never began it, or had ended before
	}
	end := sv.broke
	if end.IsZero() {
		// It ended at some moment since it answered last.
		end = now
		if !ru.over.IsZero() {
			end = ru.over
		}
	}
	from := ru.first
	if from.IsZero() {
		from = ru.over
	}
	return from.IsZero() || end.Sub(from) <= beganWithin
}

// Prune forgets what is over for long or surely did no harm, and returns the fingerprints of
// those whose whole answers came from servers that are known to have lived on.
func (rs *Runs) Prune(now time.Time) []Fingerprint {
	var sound []Fingerprint
	for server, sv := range rs.servers {
		left := sv.runs[:0]
		for _, ru := range sv.runs {
			livedOn := !ru.over.IsZero() && sv.heard.Sub(ru.over) >= livesOn
			switch {
			case livedOn && ru.whole:
				sound = append(sound, ru.print)
			case !livedOn && (ru.over.IsZero() || now.Sub(ru.over) < kept):
				left = append(left, ru)
			}
		}
		clear(sv.runs[len(left):])
		sv.runs = left
		if len(left) == 0 {
			delete(rs.servers, server)
		}
	}
	return sound
}
