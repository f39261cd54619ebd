package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// pauseSlack is how long after a server asked for a pause requests may still reach it,
	// mostInPause how many may later.
	pauseSlack     = 500 * time.Millisecond
	maxDuringPause = 2
)

// way is one gateway's way to one server.
type gatewayServer struct {
	gateway int
	server  string
}

// steady reports whether a gateway's process kept running for a span: one that was replaced or stopped
// for a while is excused.
func (re *history) uninterrupted(gateway int, from, until time.Time) bool {
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
func (re *history) checkAnnouncedShutdowns() []Violation {
	told := map[gatewayServer]time.Time{}
	for _, ou := range re.outcomes {
		for _, ru := range re.executions.executionsOf(ou.id) {
			wa := gatewayServer{ou.gateway, ru.server}
			if at := told[wa]; ru.announced && ou.status == http.StatusOK && (at.IsZero() || ou.done.Before(at)) {
				told[wa] = ou.done
			}
		}
	}
	var list []Violation
	for _, ou := range re.outcomes {
		for _, ru := range re.executions.executionsOf(ou.id) {
			at, ok := told[gatewayServer{ou.gateway, ru.server}]
			if ok && ou.sent.Sub(at) > drainBound && re.uninterrupted(ou.gateway, at, ru.at) {
				list = append(list, Violation{DrainingServer, ou.id, fmt.Sprintf("reached %s %s after its announcement", ru.server, ou.sent.Sub(at))})
			}
		}
	}
	return list
}

// checkPauses looks for requests that reached a server in a pause that it had asked their gateway for.
func (re *history) checkPauses() []Violation {
	arrivals := map[gatewayServer][]time.Time{}
	for _, ou := range re.outcomes {
		for _, ru := range re.executions.rejectionsOf(ou.id) {
			wa := gatewayServer{ou.gateway, ru.server}
			arrivals[wa] = append(arrivals[wa], ru.at)
		}
		for _, ru := range re.executions.executionsOf(ou.id) {
			wa := gatewayServer{ou.gateway, ru.server}
			arrivals[wa] = append(arrivals[wa], ru.at)
		}
	}
	var list []Violation
	for _, ou := range re.outcomes {
		for _, ru := range re.executions.rejectionsOf(ou.id) {
			n, from, until := 0, ru.at.Add(pauseSlack), ru.at.Add(retryAfter)
			for _, at := range arrivals[gatewayServer{ou.gateway, ru.server}] {
				if at.After(from) && at.Before(until) {
					n++
				}
			}
			if n > maxDuringPause && re.undisturbed(ou.gateway, ru.at, until) {
				list = append(list, Violation{RetryAfterHonoured, ou.id, fmt.Sprintf("%s got %d requests in its pause", ru.server, n)})
			}
		}
	}
	return list
}
