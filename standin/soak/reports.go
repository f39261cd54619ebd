package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// pauseSlack is how long after a server asked for a pause requests may still reach it,
	// mostInPause how many may later.
	pauseSlack  = 500 * time.Millisecond
	mostInPause = 2
)

// way is one gateway's way to one server.
type way struct {
	gateway int
	server  string
}

// steady reports whether a gateway's process kept running for a span: one that was replaced or stopped
// for a while is excused.
func (re *record) steady(gateway int, from, until time.Time) bool {
	for _, fa := range re.plan.Faults {
		switch fa.Kind {
		case Kill, Stop, Pause:
			if fa.Target == gateway && re.overlaps(fa, from, until) {
				return false
			}
		}
	}
	return true
}

// checkAnnounced looks for requests that reached a server through a gateway which had delivered its
// announcement.
func (re *record) checkAnnounced() []Violation {
	told := map[way]time.Time{}
	for _, ou := range re.outcomes {
		for _, ru := range re.ran.of(ou.id) {
			wa := way{ou.gateway, ru.server}
			if at := told[wa]; ru.announced && ou.status == http.StatusOK && (at.IsZero() || ou.done.Before(at)) {
				told[wa] = ou.done
			}
		}
	}
	var list []Violation
	for _, ou := range re.outcomes {
		for _, ru := range re.ran.of(ou.id) {
			at, ok := told[way{ou.gateway, ru.server}]
			if ok && ou.sent.Sub(at) > drainBound && re.steady(ou.gateway, at, ru.at) {
				list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("reached %s %s after its announcement", ru.server, ou.sent.Sub(at))})
			}
		}
	}
	return list
}

// checkPauses looks for requests that reached a server in a pause that it had asked their gateway for.
func (re *record) checkPauses() []Violation {
	arrivals := map[way][]time.Time{}
	for _, ou := range re.outcomes {
		for _, ru := range re.ran.shedOf(ou.id) {
			wa := way{ou.gateway, ru.server}
			arrivals[wa] = append(arrivals[wa], ru.at)
		}
		for _, ru := range re.ran.of(ou.id) {
			wa := way{ou.gateway, ru.server}
			arrivals[wa] = append(arrivals[wa], ru.at)
		}
	}
	var list []Violation
	for _, ou := range re.outcomes {
		for _, ru := range re.ran.shedOf(ou.id) {
			n, from, until := 0, ru.at.Add(pauseSlack), ru.at.Add(askedPause)
			for _, at := range arrivals[way{ou.gateway, ru.server}] {
				if at.After(from) && at.Before(until) {
					n++
				}
			}
			if n > mostInPause && re.calm(ou.gateway, ru.at, until) {
				list = append(list, Violation{RetryAfterHonoured, ou.id, fmt.Sprintf("%s got %d requests in its pause", ru.server, n)})
			}
		}
	}
	return list
}
